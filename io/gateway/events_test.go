package gateway

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against events that are found at different places, or searched again from the start, when they arrive in pieces.
func TestEventBuffer(t *testing.T) {
	text := "id: 1\ndata: a\n\n\n\n: c\n\nid: 2\ndata: b\n\nid: 3"
	want := []string{"id: 1\ndata: a\n\n", "\n\n", ": c\n\n", "id: 2\ndata: b\n\n"}
	for _, size := range []int{1, 2, 3, 7, len(text)} {
		var b eventBuffer
		var got []string
		for rest := text; rest != ""; {
			n := min(size, len(rest))
			b.add([]byte(rest[:n]))
			rest = rest[n:]
			for e := b.next(); e != nil; e = b.next() {
				got = append(got, string(e))
			}
			require.GreaterOrEqual(t, b.searched, b.size()-1)
		}
		require.Equal(t, want, got)
		require.Equal(t, "id: 3", string(b.data))
	}
}
