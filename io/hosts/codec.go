package hosts

import (
	"github.com/fxamacker/cbor/v2"
)

// cborCodec encodes the messages of all procedures; it implements connect.Codec.
type cborCodec struct{}

// Name returns the codec's name in content types.
func (cborCodec) Name() string { return "cbor" }

// Marshal encodes a message as CBOR.
func (cborCodec) Marshal(msg any) ([]byte, error) { return cbor.Marshal(msg) }

// Unmarshal decodes a message from CBOR.
func (cborCodec) Unmarshal(data []byte, msg any) error { return decoding.Unmarshal(data, msg) }

// decoding takes names of any bytes: they come from callers and backend servers, and one that is not valid UTF-8 must not make the whole
// message unreadable.
var decoding = newDecoding()

func newDecoding() cbor.DecMode {
	m, err := cbor.DecOptions{UTF8: cbor.UTF8DecodeInvalid}.DecMode()
	if err != nil {
		panic(err)
	}
	return m
}
