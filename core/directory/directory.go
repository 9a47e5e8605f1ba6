package directory

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"toucanway/core/fleet"
)

const (
	// MinHosts is the number of hosts of a data centre that callers are told of at least, so that the loss of most of them
	// leaves some.
	MinHosts = 6
	// requestsPerHost is the number of requests in flight for each of these hosts above which there are more of them.
	requestsPerHost = 20
	// shrinkShare is the share of requestsPerHost below which there are fewer again. It keeps the number from changing with each
	// peak: a caller whose host is no longer named opens new connections.
	shrinkShare = 0.25
)

// Size is the number of hosts of each data centre that callers are told of; the zero value is ready to use. It is not safe for
// concurrent use.
type Size struct {
	doublings int
}

// Hosts returns the number of hosts.
func (s *Size) Hosts() int { return MinHosts << s.doublings }

// Update follows the number of requests in flight through the hosts of the busiest data centre, and reports whether the number of
// hosts has changed.
func (s *Size) Update(busiest int) bool {
	before := s.doublings
	for busiest > s.Hosts()*requestsPerHost && s.doublings < maxDoublings {
		s.doublings++
	}
	if s.doublings == before && s.doublings > 0 && float64(busiest) < shrinkShare*float64(s.Hosts()*requestsPerHost) {
		s.doublings--
	}
	return s.doublings != before
}

// maxDoublings keeps the number of hosts far above that of any data centre.
const maxDoublings = 12

// Choose returns n of the hosts, or all if there are no more. The loss of a host adds one other and moves none.
func Choose[T any](hosts []T, n int, id func(T) fleet.HostID) []T {
	if len(hosts) <= n {
		return hosts
	}
	type ranked struct {
		hash uint64
		host T
	}
	list := make([]ranked, len(hosts))
	for i, h := range hosts {
		list[i] = ranked{xxhash.Sum64String(string(id(h))), h}
	}
	slices.SortFunc(list, func(a, b ranked) int {
		return cmp.Or(cmp.Compare(a.hash, b.hash), cmp.Compare(id(a.host), id(b.host)))
	})
	out := make([]T, n)
	for i := range out {
		out[i] = list[i].host
	}
	return out
}
