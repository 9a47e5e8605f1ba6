package wire

import (
	"bufio"
	"bytes"
	"errors"
	"io"
)

// MaxEvent bounds the size of one event in bytes.
const MaxEvent = 1 << 20

// ErrEventTooLong is the error for an event that exceeds MaxEvent.
var ErrEventTooLong = errors.New("server-sent event is longer than 1 MiB")

// Decoder reads server-sent events. Fields other than data are ignored.
type Decoder struct {
	r *bufio.Reader
	// eventSize counts the bytes of the current event over all its lines.
	eventSize int
}

// NewDecoder returns a decoder of a stream.
func NewDecoder(r io.Reader) *Decoder { return &Decoder{r: bufio.NewReader(r)} }

// Next returns the data of the next event, with newlines between its data lines. At the end of the stream it returns
// io.EOF, or io.ErrUnexpectedEOF when the last event is incomplete.
func (d *Decoder) Next() ([]byte, error) {
	var data []byte
	d.eventSize = 0
	hasData := false
	for {
		line, err := d.readLine()
		if err != nil {
			if err == io.EOF && (hasData || len(line) > 0) {
				err = io.ErrUnexpectedEOF
			}
			return nil, err
		}
		if len(line) == 0 {
			if hasData {
				return data, nil
			}
			continue
		}
		field, value, _ := bytes.Cut(line, []byte(":"))
		if string(field) != "data" {
			continue
		}
		if hasData {
			data = append(data, '\n')
		}
		hasData = true
		data = append(data, bytes.TrimPrefix(value, []byte(" "))...)
	}
}

// readLine returns the next line without its line ending. An unterminated last line is returned with io.EOF.
func (d *Decoder) readLine() ([]byte, error) {
	var line []byte
	for {
		part, err := d.r.ReadSlice('\n')
		d.eventSize += len(part)
		if d.eventSize > MaxEvent {
			return nil, ErrEventTooLong
		}
		line = append(line, part...)
		if errors.Is(err, bufio.ErrBufferFull) {
			continue
		}
		if err != nil {
			return line, err
		}
		line = bytes.TrimSuffix(line, []byte("\n"))
		return bytes.TrimSuffix(line, []byte("\r")), nil
	}
}
