package http1

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"strconv"

	"github.com/joomcode/errorx"
)

// Errors is the namespace of this package's errors.
var Errors = errorx.NewNamespace("http1")

// ErrMalformed means that a head or a trailer is not one that HTTP allows. Its text quotes at most maxQuoted bytes of the head, which may belong to another
// request; it is meant for the log.
var ErrMalformed = Errors.NewType("malformed")

// maxQuoted bounds the bytes of a head that an error quotes.
const maxQuoted = 64

// Range of status codes that RFC 9110, section 15, allows; those below minFinalStatus are of interim answers.
const (
	minStatus      = 100
	minFinalStatus = 200
	maxStatus      = 599
	statusDigits   = 3
)

// statusSwitchingProtocols ends HTTP on the connection, so that no further answer follows it.
const statusSwitchingProtocols = 101

// Head describes the head of an answer, from its status line to the empty line.
type Head struct {
	// Status is the status code, from 100 to 599.
	Status int
	// Size is the number of bytes.
	Size int
}

// IsInterim reports whether another head follows on the connection.
func (h Head) IsInterim() bool {
	return h.Status < minFinalStatus && h.Status != statusSwitchingProtocols
}

// PeekHead waits for a whole head and judges each line as it arrives. The head stays in the reader, whose buffer bounds its size. Errors are
// ErrMalformed and those of the reader; an end of input within the head is io.ErrUnexpectedEOF.
func PeekHead(r *bufio.Reader) (Head, error) {
	line, size, err := peekLine(r, 0)
	if err != nil {
		return Head{}, err
	}
	h := Head{Size: size}
	if h.Status, err = parseStatusLine(line); err != nil {
		return Head{}, err
	}
	hasChunks := bytes.HasPrefix(line, []byte(versionWithChunks))
	var f framing
	h.Size, err = peekFields(r, h.Size, f.add)
	if err != nil {
		return Head{}, err
	}
	return h, f.check(hasChunks)
}

// peekLine waits for the line that begins behind the first from bytes of the reader. It returns the line without its end, which is valid until
// the next read, and its size with the end. RFC 9112, section 2.2, allows LF alone as the end of a line.
func peekLine(r *bufio.Reader, from int) (line []byte, size int, err error) {
	for searched := from; ; {
		// All these bytes are in the buffer, so that there is no error.
		b, _ := r.Peek(r.Buffered())
		if i := bytes.IndexByte(b[searched:], '\n'); i >= 0 {
			line = b[from : searched+i]
			return bytes.TrimSuffix(line, []byte{'\r'}), len(line) + 1, nil
		}
		searched = len(b)
		if _, err := r.Peek(searched + 1); err != nil {
			if errors.Is(err, io.EOF) {
				err = io.ErrUnexpectedEOF
			}
			return nil, 0, err
		}
	}
}

// versionWithChunks is the only version whose answers may be sent in chunks.
const versionWithChunks = "HTTP/1.1 "

// parseStatusLine returns the status code of a status line, whose reason may be empty or missing.
func parseStatusLine(line []byte) (int, error) {
	rest, ok := bytes.CutPrefix(line, []byte("HTTP/1."))
	if !ok || len(rest) < 2 || !isDigit(rest[0]) || rest[1] != ' ' {
		return 0, malformed("the answer does not begin with a status line of HTTP/1", line)
	}
	code, reason, _ := bytes.Cut(rest[2:], []byte{' '})
	if hasControl(reason) {
		return 0, malformed("the reason in the status line has a control byte", line)
	}
	if len(code) != statusDigits || !isDigit(code[0]) || !isDigit(code[1]) || !isDigit(code[2]) {
		return 0, malformed("the status is not three digits", line)
	}
	// Three digits are a number.
	status, _ := strconv.Atoi(string(code))
	if status < minStatus || status > maxStatus {
		return 0, malformed("the status is not between 100 and 599", line)
	}
	return status, nil
}

func isDigit(c byte) bool { return c >= '0' && c <= '9' }

// hasControl reports whether text has a control byte other than a tab.
func hasControl(text []byte) bool {
	return bytes.ContainsFunc(text, func(c rune) bool { return c < ' ' && c != '\t' || c == 0x7f })
}

func malformed(what string, line []byte) error {
	return ErrMalformed.New("%s: %q", what, line[:min(len(line), maxQuoted)])
}
