package disk

import (
	"encoding/binary"
	"math"

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"

	"toucanway/core/fleet"
	"toucanway/core/raft"
)

// record is the payload of a frame.
type record struct {
	State *raft.HardState `cbor:"1,keyasint,omitempty"`
	// Header is the header of a segment; it is nil in all but the first frame.
	Header  *segmentHeader `cbor:"2,keyasint,omitempty"`
	Entries []raft.Entry   `cbor:"3,keyasint,omitempty"`
}

// segmentHeader is the header of a segment, which gives its position in the log.
type segmentHeader struct {
	// PrevIndex is the index of the last entry before the segment.
	PrevIndex fleet.Index `cbor:"1,keyasint"`
	// Reset drops all entries of earlier segments, after a snapshot was received.
	Reset bool `cbor:"2,keyasint,omitempty"`
}

// newDecMode returns a decoder without the library's default limit on elements: the checksum shows that this program wrote
// the frame, and one Save may contain more entries than the limit.
func newDecMode() (cbor.DecMode, error) {
	return cbor.DecOptions{MaxArrayElements: math.MaxInt32, MaxMapPairs: math.MaxInt32}.DecMode()
}

const (
	frameMagic      = 0x7463_7731
	frameHeaderSize = 16
)

// framePosition is the position of a frame. It is part of the checksum, so that a frame copied to another position is not
// valid.
type framePosition struct {
	storage raft.StorageID
	segment uint64
	offset  int
}

func (p framePosition) hash(payload []byte) uint64 {
	var b [24]byte
	binary.LittleEndian.PutUint64(b[:], uint64(p.storage))
	binary.LittleEndian.PutUint64(b[8:], p.segment)
	binary.LittleEndian.PutUint64(b[16:], uint64(p.offset))
	d := xxhash.New()
	_, _ = d.Write(b[:])
	_, _ = d.Write(payload)
	return d.Sum64()
}

// encodeFrame encodes a value as a frame for the given position.
func encodeFrame(p framePosition, v any) ([]byte, error) {
	payload, err := cbor.Marshal(v)
	if err != nil {
		return nil, err
	}
	b := make([]byte, frameHeaderSize, frameHeaderSize+len(payload))
	binary.LittleEndian.PutUint32(b, frameMagic)
	binary.LittleEndian.PutUint32(b[4:], uint32(len(payload)))
	binary.LittleEndian.PutUint64(b[8:], p.hash(payload))
	return append(b, payload...), nil
}

// payloadAt returns the payload of the frame at a position; it returns false if there is no intact frame.
func payloadAt(p framePosition, data []byte) ([]byte, bool) {
	b := data[p.offset:]
	if len(b) < frameHeaderSize || binary.LittleEndian.Uint32(b) != frameMagic {
		return nil, false
	}
	size := int(binary.LittleEndian.Uint32(b[4:]))
	if size > len(b)-frameHeaderSize {
		return nil, false
	}
	payload := b[frameHeaderSize : frameHeaderSize+size]
	return payload, p.hash(payload) == binary.LittleEndian.Uint64(b[8:])
}

// hasIntactFrameAfter reports whether any intact frame begins after a position.
func hasIntactFrameAfter(p framePosition, data []byte) bool {
	for p.offset++; p.offset+frameHeaderSize <= len(data); p.offset++ {
		if _, ok := payloadAt(p, data); ok {
			return true
		}
	}
	return false
}
