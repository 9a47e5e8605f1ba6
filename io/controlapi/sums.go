package controlapi

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"

	"toucanway/core/balance"
	"toucanway/core/fleet"
)

// promptStep is the unit to which prompt tokens are rounded up.
const promptStep fleet.Tokens = 64

// errSums means that packed sums end early.
var errSums = Errors.NewType("sums").New("the packed sums of loads end early; the host that sent them may run another version")

// Sums are packed, since they are sent often: each is a key of the backend server in 4 bytes, and its numbers as varints. The
// shape is keys and numbers one after the other, without a count.
type Sums []byte

// Add returns the sums with that of another backend server.
func (s Sums) Add(id fleet.BackendID, sum balance.TotalLoad) Sums {
	s = binary.LittleEndian.AppendUint32(s, sumKey(id))
	s = binary.AppendUvarint(s, uint64(max(sum.Active, 0)))
	return binary.AppendUvarint(s, uint64(max(sum.Prompt+promptStep-1, 0)/promptStep))
}

// Unpack returns a function that finds the sum of a backend server.
func (s Sums) Unpack() (balance.OtherHostsLoad, error) {
	sums := map[uint32]balance.TotalLoad{}
	for len(s) > 0 {
		if len(s) < 4 {
			return nil, errSums
		}
		key := binary.LittleEndian.Uint32(s)
		active, n := binary.Uvarint(s[4:])
		if n <= 0 {
			return nil, errSums
		}
		prompt, m := binary.Uvarint(s[4+n:])
		if m <= 0 {
			return nil, errSums
		}
		sums[key] = balance.TotalLoad{Active: int(active), Prompt: fleet.Tokens(prompt) * promptStep}
		s = s[4+n+m:]
	}
	return func(id fleet.BackendID) balance.TotalLoad { return sums[sumKey(id)] }, nil
}

// sumKey returns the key of a backend server. Two servers with the same key are taken to have the load of one of them.
func sumKey(id fleet.BackendID) uint32 { return uint32(xxhash.Sum64String(string(id))) }
