package membership

import (
	"encoding/binary"
	"math/bits"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"toucanway/core/fleet"
)

// Path is how a live host can be reached from this one.
type Path uint8

// Paths.
const (
	// PathDirect is the normal one.
	PathDirect Path = iota
	// PathIndirect means that the host answers others but not this one.
	PathIndirect
	// PathOneWay means that the host answers others and its own probes arrive here, but it does not answer this host.
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

// Member is a host as this one knows it.
type Member struct {
	Host    fleet.HostID
	Version Version
	State   State
	Path    Path
	Address string
	Place   fleet.Place
}

// member is a Member with what only this host needs of it.
type member struct {
	Member
	// since is when the state began.
	since time.Time
	// heard is when the host's last own probe arrived; missed counts direct probes without answer in a row.
	heard  time.Time
	missed int
	// missedSince is when the first of them was missed.
	missedSince time.Time
	suspicion   *suspicion
	// told is a record of the host as dead by another host, to be shown to it with the next probe.
	told *Update
}

// table holds the other hosts, those gone included, in the order in which they became known.
type table struct {
	byID   map[fleet.HostID]*member
	all    []*member
	live   int
	digest uint32
}

func newTable() table { return table{byID: map[fleet.HostID]*member{}} }

// mark is the contribution of a live host to the digest. States other than alive are not part of it: suspicions are
// short, and hosts that are gone are forgotten at different times on different hosts.
func mark(host fleet.HostID, v Version) uint32 {
	b := make([]byte, 0, 64)
	b = append(b, host...)
	b = binary.BigEndian.AppendUint64(b, uint64(v.Life))
	b = binary.BigEndian.AppendUint32(b, v.Refutations)
	return uint32(xxhash.Sum64(b))
}

// count adds a host to, or takes it from, the live ones; a change of version or state is made between the two.
func (t *table) count(m *member, add bool) {
	if m.State.gone() {
		return
	}
	if add {
		t.live++
		t.digest += mark(m.Host, m.Version)
		return
	}
	t.live--
	t.digest -= mark(m.Host, m.Version)
}

func (t *table) add(m *member) {
	t.byID[m.Host] = m
	t.all = append(t.all, m)
	t.count(m, true)
}

func (t *table) drop(m *member) {
	t.count(m, false)
	delete(t.byID, m.Host)
	t.all = slices.DeleteFunc(t.all, func(o *member) bool { return o == m })
}

// oldestGone returns the host that has been gone for longest, or nil.
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

// bucketCount returns the number of buckets for a table of some live hosts.
func bucketCount(live int) int {
	n := 1 << bits.Len(uint(live/recordsPerBucket))
	return min(max(n, 8), maxBuckets)
}

// buckets returns n digests of four bytes, own included.
func (t *table) buckets(own *Member, n int) []byte {
	sums := make([]uint32, n)
	sums[bucketOf(own.Host, n)] += mark(own.Host, own.Version)
	for _, m := range t.all {
		if !m.State.gone() {
			sums[bucketOf(m.Host, n)] += mark(m.Host, m.Version)
		}
	}
	out := make([]byte, 0, 4*n)
	for _, s := range sums {
		out = binary.BigEndian.AppendUint32(out, s)
	}
	return out
}

// update returns the record of a member as it is passed on.
func (m *Member) update(full bool) Update {
	u := Update{Host: m.Host, Version: m.Version, State: m.State}
	if full {
		u.Address, u.Place = m.Address, m.Place
	}
	return u
}
