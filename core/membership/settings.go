package membership

import (
	"math/rand/v2"
	"time"

	"toucanway/core/fleet"
)

// Defaults of Settings.
const (
	DefaultInterval          = time.Second
	DefaultTimeout           = 400 * time.Millisecond
	DefaultSyncInterval      = 10 * time.Second
	DefaultReconnectInterval = 10 * time.Second
	DefaultRetention         = time.Hour
	DefaultMaxMembers        = 4096
)

const (
	// helpers is the number of other hosts asked to probe a host that did not answer.
	helpers = 3
	// maxHealth bounds how far a host that misses answers lengthens its timeouts: by the factor maxHealth+1.
	maxHealth = 8
	// suspicionFactor times the logarithm of the group's size is the shortest suspicion, in intervals.
	suspicionFactor = 5
	// loneSuspicionFactor is how much longer a suspicion lasts that no other host shares.
	loneSuspicionFactor = 3
	// sharedSuspicions is the number of further hosts after whose suspicion the shortest time holds.
	sharedSuspicions = 3
	// maxUpdates bounds the records that travel on a probe or its answer.
	maxUpdates = 16
	// sendFactor times the logarithm of the group's size is how often a host passes on a record.
	sendFactor = 4
	// maxRecords bounds the records in an answer to KindSync.
	maxRecords = 64
	// maxBuckets bounds the buckets of KindSync; recordsPerBucket sets their number.
	maxBuckets       = 256
	recordsPerBucket = 4
	// maxRelayed bounds the probes under way for other hosts; more are refused with KindNack.
	maxRelayed = 64
	// startTime is how long a host that starts compares tables at every interval.
	startTime = 30 * time.Second
	// maxUrgent bounds the hosts to be probed before their turn; others wait for it.
	maxUrgent  = 256
	maxIDBytes = 128
	// lateFactor times the interval is how long the answer to a probe is still taken: a slow host refutes in it.
	lateFactor = 4
)

// Settings configures a Detector; zero fields mean the defaults.
type Settings struct {
	Host    fleet.HostID
	Address string
	Place   fleet.Place
	// Life is the host's incarnation, 0 while it is not known; Detector.SetLife raises it later.
	Life fleet.Incarnation
	// Seeds are addresses of hosts to join through; the host's own may be among them.
	Seeds []string
	// Rand is the source of all randomness; it must not be nil.
	Rand *rand.Rand
	// Interval is the time between probes, Timeout the time until other hosts are asked to probe as well.
	Interval time.Duration
	Timeout  time.Duration
	// SyncInterval is the shortest time between two comparisons of tables.
	SyncInterval time.Duration
	// ReconnectInterval is the time between attempts to reach a dead host or a seed that is no member.
	ReconnectInterval time.Duration
	// Retention is how long hosts that are gone stay on record.
	Retention time.Duration
	// MaxMembers bounds the table; when it is full, the host gone longest is dropped, or else the new one refused.
	MaxMembers int
}

func (s *Settings) setDefaults() {
	set := func(d *time.Duration, v time.Duration) {
		if *d <= 0 {
			*d = v
		}
	}
	set(&s.Interval, DefaultInterval)
	set(&s.Timeout, DefaultTimeout)
	set(&s.SyncInterval, DefaultSyncInterval)
	set(&s.ReconnectInterval, DefaultReconnectInterval)
	set(&s.Retention, DefaultRetention)
	if s.MaxMembers <= 0 {
		s.MaxMembers = DefaultMaxMembers
	}
}
