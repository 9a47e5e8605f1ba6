package controlapi

import (
	"encoding/binary"
	"slices"

	"github.com/cespare/xxhash/v2"

	"toucanway/core/overload"
)

// MaxPackedWork bounds the classes in one list of waiting work; a list is cut off behind it.
const MaxPackedWork = 512

// errTruncatedWork means that a packed list of waiting work is truncated.
var errTruncatedWork = Errors.NewType("work").New("the packed waiting work is truncated; the host that sent it may run another version")

// WaitingWork is the work of one class that waits for room at a host.
type WaitingWork struct {
	Class overload.Class `cbor:"1,keyasint"`
	Work  overload.Work  `cbor:"2,keyasint"`
}

// PackedWork is a packed list of waiting work by class. Each class has a key of 4 bytes for its service and model, followed by the
// priority and the numbers of requests that can and that can't be on time, as varints.
type PackedWork []byte

// Add appends the work of another class.
func (s PackedWork) Add(c overload.Class, w overload.Work) PackedWork {
	s = binary.LittleEndian.AppendUint32(s, workKey(c))
	s = binary.AppendVarint(s, int64(c.Priority))
	s = binary.AppendUvarint(s, uint64(max(w.OnTime, 0)))
	return binary.AppendUvarint(s, uint64(max(w.Late, 0)))
}

// Unpack returns a view of the work that was counted as of no particular time.
func (s PackedWork) Unpack() (overload.Scarcity, error) {
	type key struct {
		class    uint32
		priority int
	}
	sums := map[key]overload.Work{}
	var out overload.Scarcity
	for len(s) > 0 {
		if len(s) < 4 {
			return overload.Scarcity{}, errTruncatedWork
		}
		k := key{class: binary.LittleEndian.Uint32(s)}
		s = s[4:]
		priority, n := binary.Varint(s)
		if n <= 0 {
			return overload.Scarcity{}, errTruncatedWork
		}
		onTime, m := binary.Uvarint(s[n:])
		if m <= 0 {
			return overload.Scarcity{}, errTruncatedWork
		}
		late, l := binary.Uvarint(s[n+m:])
		if l <= 0 {
			return overload.Scarcity{}, errTruncatedWork
		}
		s = s[n+m+l:]
		k.priority = int(priority)
		sums[k] = overload.Work{OnTime: int(onTime), Late: int(late)}
		if !slices.Contains(out.Priorities, k.priority) {
			out.Priorities = append(out.Priorities, k.priority)
		}
	}
	slices.Sort(out.Priorities)
	out.Waiting = func(c overload.Class) overload.Work { return sums[key{workKey(c), c.Priority}] }
	return out, nil
}

// workKey returns the key of a class's service and model. If two have the same key, the work of the later one is used for both.
func workKey(c overload.Class) uint32 {
	return uint32(xxhash.Sum64String(string(c.Service) + "/" + string(c.Model)))
}
