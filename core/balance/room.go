package balance

import (
	"encoding/binary"
	"math"

	"github.com/cespare/xxhash/v2"

	"toucanway/core/fleet"
)

// Room says whether a server has free slots and memory for a request.
type Room uint8

// Values of Room.
const (
	// RoomUnknown means that the server has not announced what it holds.
	RoomUnknown Room = iota
	// RoomFree means that the request fits, whatever the other hosts send meanwhile within their own shares.
	RoomFree
	// RoomContested means that the request fits, but that this host has used its share of the room until it hears of the other hosts
	// again. The leader can tell with Candidate.Fits.
	RoomContested
	// RoomNone means that the request doesn't fit.
	RoomNone
)

// String returns the name of the value.
func (r Room) String() string { return [...]string{"unknown", "free", "contested", "none"}[r] }

const (
	// viewsUnseen is the number of views during which a request of another host may be unseen: the host reports it up to one
	// interval later and this host hears of it up to another one later, which may touch three views.
	viewsUnseen = 3
	// roomDeviations is the number of standard deviations of the hosts' shares that are kept free: which hosts have a share is random
	// if there are more hosts than free places.
	roomDeviations = 2
)

// Fits reports whether the request fits into the slots and the memory of the server, given the load of other hosts. A server whose
// capacity isn't known takes any request, and so does an idle one.
func (o *Candidate) Fits(others TotalLoad) bool { return o.places(others) >= 1 }

// places returns the number of requests like this one that fit; it is at least 1 if the server is idle. Parts that several requests
// share count for each of them, since only their own host knows them.
func (o *Candidate) places(others TotalLoad) float64 {
	n := math.Inf(1)
	if o.Slots > 0 {
		n = float64(o.Slots - o.Active - others.Active)
	}
	if o.Memory > 0 && o.Need > 0 {
		n = min(n, float64(o.Memory-o.Held-others.Held)/float64(o.Need))
	}
	if o.Active+others.Active == 0 {
		n = max(n, 1)
	}
	return n
}

// SetHosts sets the number of hosts, including this one, that share the servers.
func (b *Balancer) SetHosts(n int) { b.hosts = n }

// Room returns whether the server of a candidate has room, as this host sees it. The candidate must be one of the present instances.
func (b *Balancer) Room(o *Candidate) Room {
	s := b.servers[o.Instance]
	if o.Slots == 0 && o.Memory == 0 {
		return RoomUnknown
	}
	places := o.places(s.otherHosts)
	if places < 1 {
		return RoomNone
	}
	// The share was used in requests of any size, so that it counts what this host has sent and what was free before.
	if b.hosts < 2 || b.share(o.Instance, places+s.sentPlaces(o)) >= s.sentPlaces(o)+1 {
		return RoomFree
	}
	return RoomContested
}

// sentPlaces returns the room that this host's requests have taken since its last view, in requests like that of the candidate.
func (s *server) sentPlaces(o *Candidate) float64 {
	n := float64(s.sentInView)
	if o.Memory > 0 && o.Need > 0 {
		n = max(n, float64(s.sentTokens)/float64(o.Need))
	}
	return n
}

// share returns the number of requests that this host may send to a server until its next view without the other hosts' knowledge. The
// shares of all hosts add up to less than the free places. If there are more hosts than places, some hosts have a share of one, other
// ones in each view.
func (b *Balancer) share(id fleet.BackendID, places float64) float64 {
	each := max(places-roomDeviations*math.Sqrt(places), 0) / float64(viewsUnseen*b.hosts)
	whole := math.Floor(each)
	var d xxhash.Digest
	d.ResetWithSeed(b.seed)
	_, _ = d.WriteString(string(id))
	_, _ = d.Write(binary.LittleEndian.AppendUint64(nil, b.views))
	if float64(d.Sum64()>>11)/(1<<53) < each-whole {
		whole++
	}
	return whole
}
