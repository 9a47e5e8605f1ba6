package wire

import (
	"bufio"
	"bytes"
	"errors"
	"io"
)

// MaxEvent bounds the data of one event.
const MaxEvent = 1 << 20

// ErrEventTooLong reports an event whose data exceeds MaxEvent.
var ErrEventTooLong = errors.New("server-sent event is longer than 1 MiB")

// Decoder reads server-sent events. Fields other than data are ignored.
type Decoder struct {
	r *bufio.Reader
	// size counts the bytes of the present event, over all its lines.
	size int
}

// NewDecoder returns a decoder of a stream.
func NewDecoder(r io.Reader) *Decoder { return &Decoder{r: bufio.NewReader(r)} }

// Next returns the data of the next event, with newlines between its data lines. At the end of the stream it returns
// io.EOF, or io.ErrUnexpectedEOF when an event is cut short.
func (d *Decoder) Next() ([]byte, error) {
	var data []byte
	d.size = 0
	seen := false
	for {
		line, err := d.line()
		if err != nil {
			if err == io.EOF && (seen || len(line) > 0) {
				err = io.ErrUnexpectedEOF
			}
			return nil, err
		}
		if len(line) == 0 {
			if seen {
				return data, nil
			}
			continue
		}
		field, value, _ := bytes.Cut(line, []byte(":"))
		if string(field) != "data" {
			continue
		}
		if seen {
			data = append(data, '\n')
		}
		seen = true
		data = append(data, bytes.TrimPrefix(value, []byte(" "))...)
	}
}

// line returns the next line without its end; an unfinished last line comes with io.EOF.
func (d *Decoder) line() ([]byte, error) {
	var line []byte
	for {
		part, err := d.r.ReadSlice('\n')
		d.size += len(part)
		if d.size > MaxEvent {
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
