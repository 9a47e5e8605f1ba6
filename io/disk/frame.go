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
	// Head begins a segment; it is nil in other frames.
	Head    *head        `cbor:"2,keyasint,omitempty"`
	Entries []raft.Entry `cbor:"3,keyasint,omitempty"`
}

// head is the place of a segment in the log.
type head struct {
	// Last is the last entry before the segment.
	Last fleet.Index `cbor:"1,keyasint"`
	// Reset drops all entries of earlier segments, after a snapshot was received.
	Reset bool `cbor:"2,keyasint,omitempty"`
}

// decoding lifts the library's bound on elements: the checksum shows that this program wrote the frame, and one Save may
// hold more entries than the bound.
func decoding() (cbor.DecMode, error) {
	return cbor.DecOptions{MaxArrayElements: math.MaxInt32, MaxMapPairs: math.MaxInt32}.DecMode()
}

const (
	frameMagic  = 0x7463_7731
	frameHeader = 16
)

// place is where a frame stands; it is part of the checksum, so that a copied frame is not taken for a valid one.
type place struct {
	storage raft.StorageID
	segment uint64
	offset  int
}

func (p place) hash(payload []byte) uint64 {
	var b [24]byte
	binary.LittleEndian.PutUint64(b[:], uint64(p.storage))
	binary.LittleEndian.PutUint64(b[8:], p.segment)
	binary.LittleEndian.PutUint64(b[16:], uint64(p.offset))
	d := xxhash.New()
	_, _ = d.Write(b[:])
	_, _ = d.Write(payload)
	return d.Sum64()
}

// frame returns the stored form of a value.
func frame(p place, v any) ([]byte, error) {
	payload, err := cbor.Marshal(v)
	if err != nil {
		return nil, err
	}
	b := make([]byte, frameHeader, frameHeader+len(payload))
	binary.LittleEndian.PutUint32(b, frameMagic)
	binary.LittleEndian.PutUint32(b[4:], uint32(len(payload)))
	binary.LittleEndian.PutUint64(b[8:], p.hash(payload))
	return append(b, payload...), nil
}

// payloadAt returns the payload of the frame at an offset; false if there is no intact one.
func payloadAt(p place, data []byte) ([]byte, bool) {
	b := data[p.offset:]
	if len(b) < frameHeader || binary.LittleEndian.Uint32(b) != frameMagic {
		return nil, false
	}
	size := int(binary.LittleEndian.Uint32(b[4:]))
	if size > len(b)-frameHeader {
		return nil, false
	}
	payload := b[frameHeader : frameHeader+size]
	return payload, p.hash(payload) == binary.LittleEndian.Uint64(b[8:])
}

// intactAfter says whether any intact frame begins after an offset.
func intactAfter(p place, data []byte) bool {
	for p.offset++; p.offset+frameHeader <= len(data); p.offset++ {
		if _, ok := payloadAt(p, data); ok {
			return true
		}
	}
	return false
}
