//go:build !race

package hosts

import (
	"bytes"
	"context"
	"encoding/binary"
	"io"
	"net"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

// Types and flags of HTTP/2 frames, RFC 9113, section 6.
const (
	frameData       = 0x0
	frameHeaders    = 0x1
	frameSettings   = 0x4
	flagAck         = 0x1
	flagEndStream   = 0x1
	flagEndHeaders  = 0x4
	frameHeadBytes  = 9
	clientPreface   = "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n"
	firstStream     = 1
	emptyCBORMap    = "\xa0"
	literalNewField = 0x00
)

// field is a header field that a server encodes as it is.
type field struct{ name, value string }

// encodeFields encodes fields as literals without an index, RFC 7541, section 6.2.2.
func encodeFields(fields []field) []byte {
	var out []byte
	for _, f := range fields {
		out = append(out, literalNewField, byte(len(f.name)))
		out = append(append(out, f.name...), byte(len(f.value)))
		out = append(out, f.value...)
	}
	return out
}

func frame(kind, flags byte, stream uint32, payload []byte) []byte {
	out := binary.BigEndian.AppendUint32(nil, uint32(len(payload))<<8|uint32(kind))
	out = binary.BigEndian.AppendUint32(append(out, flags), stream)
	return append(out, payload...)
}

// frameServer connects each dial to a host that answers the first call with frames.
type frameServer struct{ answer []byte }

func (s frameServer) Listen(string) (net.Listener, error) { return nil, net.ErrClosed }

func (s frameServer) Dial(context.Context, string) (net.Conn, error) {
	near, far := net.Pipe()
	go s.serve(far)
	return near, nil
}

func (s frameServer) serve(c net.Conn) {
	defer c.Close()
	if _, err := io.ReadFull(c, make([]byte, len(clientPreface))); err != nil {
		return
	}
	answer := append(frame(frameSettings, 0, 0, nil), frame(frameSettings, flagAck, 0, nil)...)
	for {
		var head [frameHeadBytes]byte
		if _, err := io.ReadFull(c, head[:]); err != nil {
			return
		}
		size := int64(binary.BigEndian.Uint32(head[:4]) >> 8)
		if _, err := io.CopyN(io.Discard, c, size); err != nil {
			return
		}
		if head[3] != frameHeaders {
			continue
		}
		go c.Write(append(answer, s.answer...))
		// The client closes the connection.
		io.Copy(io.Discard, c)
		return
	}
}

// Guards against an answer between hosts with a malformed head or trailer that counts as the answer to a call. The heads are judged by the
// HTTP/2 library: no text is parsed, and each field comes with its length.
func TestMalformedHeads(t *testing.T) {
	kind := field{"content-type", "application/cbor"}
	head := func(flags byte, fields ...field) []byte {
		return frame(frameHeaders, flags|flagEndHeaders, firstStream, encodeFields(fields))
	}
	body := frame(frameData, flagEndStream, firstStream, []byte(emptyCBORMap))
	open := frame(frameData, 0, firstStream, []byte(emptyCBORMap))
	ok := field{":status", "200"}
	tests := map[string]struct {
		answer [][]byte
		valid  bool
	}{
		"sound":                   {[][]byte{head(0, ok, kind), body}, true},
		"sound, odd field":        {[][]byte{head(0, ok, kind, field{"odd!#", "\x80 \t"}), body}, true},
		"sound, interim":          {[][]byte{head(0, field{":status", "103"}), head(0, ok, kind), body}, true},
		"sound, trailer":          {[][]byte{head(0, ok, kind), open, head(flagEndStream, field{"sum", "1"})}, true},
		"status 000":              {[][]byte{head(0, field{":status", "000"}, kind), body}, false},
		"status 099":              {[][]byte{head(0, field{":status", "099"}, kind), body}, false},
		"status 600":              {[][]byte{head(0, field{":status", "600"}, kind), body}, false},
		"status of letters":       {[][]byte{head(0, field{":status", "2OO"}, kind), body}, false},
		"no status":               {[][]byte{head(0, kind), body}, false},
		"blank in a name":         {[][]byte{head(0, ok, kind, field{"odd name", "x"}), body}, false},
		"blank behind a name":     {[][]byte{head(0, ok, kind, field{"odd ", "x"}), body}, false},
		"NUL in a name":           {[][]byte{head(0, ok, kind, field{"odd\x00", "x"}), body}, false},
		"upper case":              {[][]byte{head(0, ok, kind, field{"Odd", "x"}), body}, false},
		"no name":                 {[][]byte{head(0, ok, kind, field{"", "x"}), body}, false},
		"NUL in a value":          {[][]byte{head(0, ok, kind, field{"odd", "x\x00"}), body}, false},
		"CRLF in a value":         {[][]byte{head(0, ok, kind, field{"odd", "x\r\nset: y"}), body}, false},
		"field of interim answer": {[][]byte{head(0, field{":status", "103"}, field{"odd name", "x"}), head(0, ok, kind), body}, false},
		"trailer":                 {[][]byte{head(0, ok, kind), open, head(flagEndStream, field{"odd name", "x"})}, false},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := NewClient("a", frameServer{bytes.Join(tt.answer, nil)}, nil)
				defer c.Close()
				ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
				defer cancel()
				_, err := Call[struct{}, struct{}](ctx, c, "10.0.0.1:1", "/x/Y", &struct{}{})
				require.Equal(t, tt.valid, err == nil, "%v", err)
			})
		})
	}
}
