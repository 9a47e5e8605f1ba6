package controlapi

import (
	"bytes"
	"compress/flate"
	"io"
)

// maxConfiguration bounds the size of a configuration after decompression.
const maxConfiguration = 64 << 20

// Compress compresses a configuration, which is sent to every host.
func Compress(data []byte) ([]byte, error) {
	var b bytes.Buffer
	w, err := flate.NewWriter(&b, flate.BestSpeed)
	if err != nil {
		return nil, err
	}
	if _, err := w.Write(data); err != nil {
		return nil, err
	}
	if err := w.Close(); err != nil {
		return nil, err
	}
	return b.Bytes(), nil
}

// Decompress decompresses the result of Compress.
func Decompress(data []byte) ([]byte, error) {
	return io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(data)), maxConfiguration))
}
