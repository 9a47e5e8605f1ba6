package wire

import (
	"errors"
	"io"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/stretchr/testify/require"
)

func readEvents(r io.Reader) ([]string, error) {
	d := NewDecoder(r)
	var out []string
	for {
		data, err := d.Next()
		if err != nil {
			return out, err
		}
		out = append(out, string(data))
	}
}

// Guards against events that are split, joined or returned without being sent, and against truncated streams that look
// complete.
func TestDecoder(t *testing.T) {
	cases := map[string]struct {
		in   string
		want []string
		err  error
	}{
		"two events":                {in: "data: a\n\ndata: b\n\n", want: []string{"a", "b"}, err: io.EOF},
		"carriage returns":          {in: "data: a\r\n\r\n", want: []string{"a"}, err: io.EOF},
		"several lines":             {in: "data: a\ndata:b\n\n", want: []string{"a\nb"}, err: io.EOF},
		"other fields":              {in: ": ping\n\nid: 1\nevent: x\ndata:  a\n\n", want: []string{" a"}, err: io.EOF},
		"empty data":                {in: "data\n\n", want: []string{""}, err: io.EOF},
		"truncated within an event": {in: "data: a\n\ndata: b\n", want: []string{"a"}, err: io.ErrUnexpectedEOF},
		"truncated within a line":   {in: "data: a\n\ndat", want: []string{"a"}, err: io.ErrUnexpectedEOF},
		"event too long":            {in: "data: " + strings.Repeat("x", MaxEvent), err: ErrEventTooLong},
		"empty stream":              {err: io.EOF},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			got, err := readEvents(iotest.HalfReader(strings.NewReader(c.in)))
			require.ErrorIs(t, err, c.err)
			require.Equal(t, c.want, got)
		})
	}
}

// Guards against panics and endless loops on arbitrary input, and against results that depend on how the input is split into
// reads.
func FuzzDecoder(f *testing.F) {
	for _, seed := range []string{"data: a\n\n", "data:\r\n\r\n: c\n", "data: {\"id\":1}\n\ndata: [DONE]\n\n", "\n\n\n", "data"} {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, in string) {
		atOnce, errAtOnce := readEvents(strings.NewReader(in))
		split, errSplit := readEvents(iotest.OneByteReader(strings.NewReader(in)))
		if !errors.Is(errAtOnce, errSplit) {
			t.Fatalf("errors differ: %v and %v", errAtOnce, errSplit)
		}
		require.Equal(t, atOnce, split)
	})
}
