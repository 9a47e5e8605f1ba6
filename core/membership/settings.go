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
	// helpersPerProbe is the number of other hosts asked to probe a host that did not answer.
	helpersPerProbe = 3
	// maxHealth bounds the health score, so that a host that misses answers multiplies its timeouts by at most maxHealth+1.
	maxHealth = 8
	// suspicionFactor times the logarithm of the group size is the shortest duration of a suspicion, in intervals.
	suspicionFactor = 5
	// unconfirmedFactor is how many times longer a suspicion lasts that no other host confirms.
	unconfirmedFactor = 3
	// maxConfirmations is the number of confirmations by other hosts after which a suspicion has its shortest duration.
	maxConfirmations = 3
	// maxUpdates bounds the gossiped records on a probe or its answer.
	maxUpdates = 16
	// sendFactor times the logarithm of the group size is the number of times that a host sends a record.
	sendFactor = 4
	// maxRecords bounds the records in an answer to KindSync.
	maxRecords = 64
	// maxBuckets bounds the number of buckets in KindSync; recordsPerBucket is the intended number of hosts per bucket.
	maxBuckets       = 256
	recordsPerBucket = 4
	// maxRelayedProbes bounds the probes in progress for other hosts; further requests are answered with KindNack.
	maxRelayedProbes = 64
	// startupSyncTime is how long after its start a host may compare tables at every Interval instead of every SyncInterval.
	startupSyncTime = 30 * time.Second
	// maxUrgent bounds the hosts that are probed before their turn; others wait for their turn.
	maxUrgent = 256
	// maxIDBytes bounds host ids, addresses and parts of places in messages.
	maxIDBytes = 128
	// lateAnswerFactor times the interval is how long the answer to a probe is accepted. A late answer may carry the
	// refutation of a slow host.
	lateAnswerFactor = 4
)

// Settings configures a Detector; zero fields stand for the defaults.
type Settings struct {
	Host    fleet.HostID
	Address string
	Place   fleet.Place
	// Incarnation is the host's incarnation, 0 while it is unknown; Detector.SetIncarnation sets it later.
	Incarnation fleet.Incarnation
	// Seeds are addresses of hosts to join through; the host's own address may be among them.
	Seeds []string
	// Rand is the source of all randomness; it must not be nil.
	Rand *rand.Rand
	// Interval is the time between probes, Timeout the time without an answer after which other hosts are asked to probe.
	Interval time.Duration
	Timeout  time.Duration
	// SyncInterval is the average of the randomised minimum time between two comparisons of tables.
	SyncInterval time.Duration
	// ReconnectInterval is the average time between attempts to reach a dead host or a seed that is not a live member.
	ReconnectInterval time.Duration
	// Retention is how long records of dead hosts and of hosts that left are kept.
	Retention time.Duration
	// MaxMembers bounds the table. When it is full, the host that has been dead or left for longest is dropped for a new
	// one; if there is none, the new host is rejected.
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
