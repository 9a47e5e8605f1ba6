package http1

import (
	"bufio"
	"bytes"
	"strings"
)

// Names of the fields that say where a body ends.
const (
	contentLength    = "Content-Length"
	transferEncoding = "Transfer-Encoding"
)

// peekFields waits for the field lines that begin behind the first from bytes of the reader, and for the empty line that ends them. It calls add
// with the name of each, and returns the position behind the empty line.
//
// The end must be CRLF twice: the library looks for that, and would read a body that holds it as a part of the fields behind any other end. With
// no field, the first CRLF is that of the line before.
func peekFields(r *bufio.Reader, from int, add func(name []byte)) (int, error) {
	for pos := from; ; {
		line, size, err := peekLine(r, pos)
		if err != nil {
			return 0, err
		}
		pos += size
		if len(line) > 0 {
			name, err := parseField(line)
			if err != nil {
				return 0, err
			}
			add(name)
			continue
		}
		// All these bytes are in the buffer, so that there is no error.
		b, _ := r.Peek(pos)
		if fields := b[from:]; string(fields) != "\r\n" && !bytes.HasSuffix(fields, []byte("\r\n\r\n")) {
			return 0, malformed("the fields do not end with CRLF twice", fields)
		}
		return pos, nil
	}
}

// PeekTrailers waits for the fields behind the last chunk of a body and judges each line as it arrives. They stay in the reader, whose buffer
// bounds their size. Errors are those of PeekHead.
func PeekTrailers(r *bufio.Reader) error {
	var f framing
	if _, err := peekFields(r, 0, f.add); err != nil {
		return err
	}
	if f.lengths+f.encodings > 0 {
		return ErrMalformed.New("the trailers have %d fields %s and %d fields %s, which say nothing behind a body", f.lengths, contentLength, f.encodings, transferEncoding)
	}
	return nil
}

// parseField returns the name in a field line. A line that continues the one before is malformed: RFC 9112, section 5.2, forbids servers to send
// one, and lets gateways discard the answer.
func parseField(line []byte) ([]byte, error) {
	name, value, ok := bytes.Cut(line, []byte{':'})
	switch {
	case !ok:
		return nil, malformed("a line among the fields has no colon", line)
	case len(name) == 0 || bytes.ContainsFunc(name, isNoTokenChar):
		return nil, malformed("the name of a field is not a token", line)
	case hasControl(value):
		return nil, malformed("the value of a field has a control byte", line)
	}
	return name, nil
}

// isNoTokenChar reports whether a character may not be part of a token, as RFC 9110, section 5.6.2, defines it.
func isNoTokenChar(c rune) bool {
	switch {
	case c >= 'a' && c <= 'z', c >= 'A' && c <= 'Z', c >= '0' && c <= '9':
		return false
	}
	return !strings.ContainsRune("!#$%&'*+-.^_`|~", c)
}

// framing counts the fields that say where a body ends.
type framing struct{ lengths, encodings int }

func (f *framing) add(name []byte) {
	switch {
	case bytes.EqualFold(name, []byte(contentLength)):
		f.lengths++
	case bytes.EqualFold(name, []byte(transferEncoding)):
		f.encodings++
	}
}

// check returns ErrMalformed for fields that are ambiguous about the end of the body; the values are those of the library to check. Answers have
// chunks only if their version allows them.
func (f framing) check(hasChunks bool) error {
	switch {
	case f.lengths+f.encodings > 1:
		return ErrMalformed.New("the answer has %d fields %s and %d fields %s, of which it may have one", f.lengths, contentLength, f.encodings, transferEncoding)
	case f.encodings > 0 && !hasChunks:
		return ErrMalformed.New("the answer has the field %s in a version other than HTTP/1.1", transferEncoding)
	}
	return nil
}
