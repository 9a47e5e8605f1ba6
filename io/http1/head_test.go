package http1

import (
	"bufio"
	"errors"
	"io"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/joomcode/errorx"
	"github.com/stretchr/testify/require"
)

// Guards against status lines that the library corrects, such as status 000, which it reports as 200.
func TestStatusLine(t *testing.T) {
	tests := map[string]struct {
		line   string
		status int
	}{
		"usual":                {"HTTP/1.1 200 OK", 200},
		"old version":          {"HTTP/1.0 404 Not Found", 404},
		"no reason":            {"HTTP/1.1 200 ", 200},
		"no blank":             {"HTTP/1.1 200", 200},
		"reason of more words": {"HTTP/1.1 200 a  b\tc ", 200},
		"lowest":               {"HTTP/1.1 100 Continue", 100},
		"highest":              {"HTTP/1.1 599 X", 599},
		"other bytes":          {"HTTP/1.1 200 \x80\xff", 200},
		"000":                  {"HTTP/1.1 000 OK", 0},
		"099":                  {"HTTP/1.1 099 OK", 0},
		"600":                  {"HTTP/1.1 600 OK", 0},
		"two digits":           {"HTTP/1.1 20 OK", 0},
		"four digits":          {"HTTP/1.1 2000 OK", 0},
		"sign":                 {"HTTP/1.1 -20 OK", 0},
		"hexadecimal":          {"HTTP/1.1 0x1 OK", 0},
		"digits of others":     {"HTTP/1.1 ٢٠٠ OK", 0},
		"two blanks":           {"HTTP/1.1  200 OK", 0},
		"tab":                  {"HTTP/1.1\t200 OK", 0},
		"tab behind":           {"HTTP/1.1 200\tOK", 0},
		"major version":        {"HTTP/2.0 200 OK", 0},
		"minor version":        {"HTTP/1.10 200 OK", 0},
		"no version":           {"HTTP 200 OK", 0},
		"blank before":         {" HTTP/1.1 200 OK", 0},
		"empty":                {"", 0},
		"only a version":       {"HTTP/1.1", 0},
		"NUL":                  {"HTTP/1.1 200 \x00", 0},
		"CR":                   {"HTTP/1.1 200 O\rK", 0},
		"DEL":                  {"HTTP/1.1 200 \x7f", 0},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			for _, end := range []string{"\r\n", "\n"} {
				text := tt.line + end + "A: b\r\n\r\n"
				h, err := PeekHead(bufio.NewReader(iotest.OneByteReader(strings.NewReader(text + "rest"))))
				if tt.status == 0 {
					require.True(t, errorx.IsOfType(err, ErrMalformed), "%v", err)
					continue
				}
				require.NoError(t, err)
				require.Equal(t, Head{Status: tt.status, Size: len(text)}, h)
			}
		})
	}
}

// Guards against fields that the library corrects or lets pass.
func TestFields(t *testing.T) {
	tests := map[string]struct {
		lines string
		valid bool
	}{
		"none":                   {"", true},
		"usual":                  {"A: b\r\nC-D: e f\r\n", true},
		"no blank":               {"A:b\r\n", true},
		"no value":               {"A:\r\nB: \t\r\n", true},
		"colons in a value":      {"A: b:c : d\r\n", true},
		"other bytes in a value": {"A: \x80\xff\t\"\r\n", true},
		"token":                  {"!#$%&'*+-.^_`|~09azAZ: x\r\n", true},
		"LF":                     {"A: b\nC: d\r\n", true},
		"length":                 {"content-length: 5\r\n", true},
		"encoding":               {"TRANSFER-ENCODING: chunked\r\n", true},
		"blank in a name":        {"A b: c\r\n", false},
		"blank before the colon": {"A : c\r\n", false},
		"tab before the colon":   {"A\t: c\r\n", false},
		"blank before a name":    {" A: c\r\n", false},
		"folded":                 {"A: b\r\n c\r\n", false},
		"folded with a tab":      {"A: b\r\n\tc: d\r\n", false},
		"no name":                {": c\r\n", false},
		"no colon":               {"A\r\n", false},
		"blank line":             {" \r\nA: b\r\n", false},
		"NUL in a name":          {"A\x00: c\r\n", false},
		"DEL in a name":          {"A\x7f: c\r\n", false},
		"other byte in a name":   {"A\x80: c\r\n", false},
		"letter of others":       {"\xc3\x89: c\r\n", false},
		"separator in a name":    {"A/b: c\r\n", false},
		"NUL in a value":         {"A: \x00\r\n", false},
		"CR in a value":          {"A: b\rc\r\n", false},
		"CR behind a value":      {"A: b\r\r\n", false},
		"DEL in a value":         {"A: \x7f\r\n", false},
		"end after LF":           {"A: b\n", false},
		"two lengths":            {"Content-Length: 5\r\nContent-Length: 5\r\n", false},
		"length and encoding":    {"content-length: 5\r\ntransfer-encoding: chunked\r\n", false},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			text := "HTTP/1.1 200 OK\r\n" + tt.lines + "\r\n"
			h, err := PeekHead(bufio.NewReader(iotest.OneByteReader(strings.NewReader(text + "rest\r\n\r\n"))))
			require.Equal(t, tt.valid, err == nil, "%v", err)
			if tt.valid {
				require.Equal(t, Head{Status: 200, Size: len(text)}, h)
			} else {
				require.True(t, errorx.IsOfType(err, ErrMalformed), "%v", err)
			}
		})
	}
}

// Guards against chunks in a version that has none, whose sizes the library passes on as a part of the body.
func TestEncodingByVersion(t *testing.T) {
	for version, valid := range map[string]bool{"1.1": true, "1.0": false, "1.2": false} {
		_, err := PeekHead(bufio.NewReader(strings.NewReader("HTTP/" + version + " 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")))
		require.Equal(t, valid, err == nil, "%s: %v", version, err)
	}
}

// Guards against a head that is judged only once it is complete: a server that sends no answer may keep the connection open.
func TestLineIsJudgedAsItArrives(t *testing.T) {
	r, w := io.Pipe()
	defer r.Close()
	go io.WriteString(w, "garbage\r\n")
	_, err := PeekHead(bufio.NewReader(r))
	require.True(t, errorx.IsOfType(err, ErrMalformed), "%v", err)
}

// Guards against a head that counts as whole although it is cut or does not end.
func TestCutHead(t *testing.T) {
	const text = "HTTP/1.1 200 OK\r\nA: b\r\n\r\n"
	for n := range len(text) {
		_, err := PeekHead(bufio.NewReader(strings.NewReader(text[:n])))
		require.ErrorIs(t, err, io.ErrUnexpectedEOF, text[:n])
		reset := errors.New("reset")
		_, err = PeekHead(bufio.NewReader(io.MultiReader(strings.NewReader(text[:n]), iotest.ErrReader(reset))))
		require.ErrorIs(t, err, reset, text[:n])
	}
	_, err := PeekHead(bufio.NewReaderSize(strings.NewReader("HTTP/1.1 200 OK\r\n"+strings.Repeat("A: b\r\n", 100)), 64))
	require.ErrorIs(t, err, bufio.ErrBufferFull)
}

// Guards against errors with all bytes of a head.
func TestErrorQuotesFewBytes(t *testing.T) {
	_, err := PeekHead(bufio.NewReader(strings.NewReader(strings.Repeat("x", 1000) + "\r\n")))
	require.Error(t, err)
	require.Less(t, len(err.Error()), 200)
}
