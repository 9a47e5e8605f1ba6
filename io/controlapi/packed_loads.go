package controlapi

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"

	"toucanway/core/balance"
	"toucanway/core/fleet"
)

// promptUnit is the unit in which prompt tokens are packed, rounded up.
const promptUnit fleet.Tokens = 64

// errTruncatedLoads means that packed loads are truncated.
var errTruncatedLoads = Errors.NewType("sums").New("the packed loads are truncated; the host that sent them may run another version")

// PackedLoads is a packed list of loads; it is compact because it is sent often. Each backend server has a key of 4 bytes
// followed by the number of active requests and the prompt tokens, both as varints. There is no count of the servers.
type PackedLoads []byte

// Add appends the load of another backend server.
func (s PackedLoads) Add(id fleet.BackendID, load balance.TotalLoad) PackedLoads {
	s = binary.LittleEndian.AppendUint32(s, loadKey(id))
	s = binary.AppendUvarint(s, uint64(max(load.Active, 0)))
	return binary.AppendUvarint(s, uint64(max(load.Prompt+promptUnit-1, 0)/promptUnit))
}

// Unpack returns a function that looks up the load of a backend server.
func (s PackedLoads) Unpack() (balance.OtherHostsLoad, error) {
	sums := map[uint32]balance.TotalLoad{}
	for len(s) > 0 {
		if len(s) < 4 {
			return nil, errTruncatedLoads
		}
		key := binary.LittleEndian.Uint32(s)
		active, n := binary.Uvarint(s[4:])
		if n <= 0 {
			return nil, errTruncatedLoads
		}
		prompt, m := binary.Uvarint(s[4+n:])
		if m <= 0 {
			return nil, errTruncatedLoads
		}
		sums[key] = balance.TotalLoad{Active: int(active), Prompt: fleet.Tokens(prompt) * promptUnit}
		s = s[4+n+m:]
	}
	return func(id fleet.BackendID) balance.TotalLoad { return sums[loadKey(id)] }, nil
}

// loadKey returns the key of a backend server. If two servers have the same key, the load of the later one is used for both.
func loadKey(id fleet.BackendID) uint32 { return uint32(xxhash.Sum64String(string(id))) }
