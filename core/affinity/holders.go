package affinity

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"toucanway/core/fleet"
)

// holdersPerStream is the number of members that hold a stream's origin, so that the loss of two of them loses none.
const holdersPerStream = 3

// Holders returns the members of the control group that hold the origin of a stream, by rendezvous hashing: another member changes only
// the holders of the streams that it holds itself.
func Holders(id fleet.RequestID, members []fleet.HostID) []fleet.HostID {
	out := slices.Clone(members)
	weight := func(h fleet.HostID) uint64 { return xxhash.Sum64String(string(id) + "\x00" + string(h)) }
	slices.SortFunc(out, func(a, b fleet.HostID) int { return cmp.Or(cmp.Compare(weight(b), weight(a)), cmp.Compare(a, b)) })
	return out[:min(len(out), holdersPerStream)]
}
