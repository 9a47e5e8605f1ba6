package membership

import (
	"encoding/binary"
	"math/bits"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"toucanway/core/fleet"
)

// Path describes how a live host can be reached from this host.
type Path uint8

// Paths to a live host.
const (
	// PathDirect means that the host answers direct probes.
	PathDirect Path = iota
	// PathIndirect means that the host answers other hosts but not this one.
	PathIndirect
	// PathOneWay means that the host answers other hosts and its own probes arrive here, but it does not answer this host.
	PathOneWay
)

var pathNames = [...]string{"direct", "indirect", "one-way"}

// String returns the path's name.
func (p Path) String() string {
	if int(p) >= len(pathNames) {
		return "unknown"
	}
	return pathNames[p]
}

// Member is another host in the view of this one.
type Member struct {
	Host    fleet.HostID
	Version Version
	State   State
	Path    Path
	Address string
	Place   fleet.Place
}

// member is a Member with the state that is local to this host.
type member struct {
	Member
	// since is when the state began.
	since time.Time
	// lastRequest is when the host's last request arrived; missed counts consecutive direct probes without an answer.
	lastRequest time.Time
	missed      int
	// firstMissed is when the first of these probes was missed.
	firstMissed time.Time
	suspicion   *suspicion
	// deathReport is another host's record that says this host is dead. The next probe carries it, so that the host can
	// refute it.
	deathReport *Update
}

// table holds the other hosts, including dead ones and those that left, in the order in which they became known.
type table struct {
	byID   map[fleet.HostID]*member
	all    []*member
	live   int
	digest uint32
}

func newTable() table { return table{byID: map[fleet.HostID]*member{}} }

// hashMember returns the contribution of a live host to the digest. The state is not part of it: suspicions are short,
// and dead hosts and hosts that left are pruned at different times on different hosts.
func hashMember(host fleet.HostID, v Version) uint32 {
	b := make([]byte, 0, 64)
	b = append(b, host...)
	b = binary.BigEndian.AppendUint64(b, uint64(v.Incarnation))
	b = binary.BigEndian.AppendUint32(b, v.Refutations)
	return uint32(xxhash.Sum64(b))
}

// countLive adds a host to the number of live hosts and the digest, or removes it. A change of version or state must
// come between the removal and the addition.
func (t *table) countLive(m *member, add bool) {
	if m.State.gone() {
		return
	}
	if add {
		t.live++
		t.digest += hashMember(m.Host, m.Version)
		return
	}
	t.live--
	t.digest -= hashMember(m.Host, m.Version)
}

func (t *table) add(m *member) {
	t.byID[m.Host] = m
	t.all = append(t.all, m)
	t.countLive(m, true)
}

func (t *table) remove(m *member) {
	t.countLive(m, false)
	delete(t.byID, m.Host)
	t.all = slices.DeleteFunc(t.all, func(o *member) bool { return o == m })
}

// oldestGone returns the host that has been dead or left for the longest time, or nil.
func (t *table) oldestGone() *member {
	var old *member
	for _, m := range t.all {
		if m.State.gone() && (old == nil || m.since.Before(old.since)) {
			old = m
		}
	}
	return old
}

// bucketOf returns the bucket of a host; n is a power of two.
func bucketOf(host fleet.HostID, n int) int {
	return int(xxhash.Sum64String(string(host)) & uint64(n-1))
}

// bucketCount returns the number of buckets for a number of live hosts.
func bucketCount(live int) int {
	n := 1 << bits.Len(uint(live/recordsPerBucket))
	return min(max(n, 8), maxBuckets)
}

// buckets returns the digests of n buckets, four bytes each, including this host's own record.
func (t *table) buckets(own *Member, n int) []byte {
	sums := make([]uint32, n)
	sums[bucketOf(own.Host, n)] += hashMember(own.Host, own.Version)
	for _, m := range t.all {
		if !m.State.gone() {
			sums[bucketOf(m.Host, n)] += hashMember(m.Host, m.Version)
		}
	}
	out := make([]byte, 0, 4*n)
	for _, s := range sums {
		out = binary.BigEndian.AppendUint32(out, s)
	}
	return out
}

// update returns the record of a member as it is sent to other hosts; full includes address and place.
func (m *Member) update(full bool) Update {
	u := Update{Host: m.Host, Version: m.Version, State: m.State}
	if full {
		u.Address, u.Place = m.Address, m.Place
	}
	return u
}
