package tokens

import (
	"strings"
	"testing"

	"github.com/cespare/xxhash/v2"
	"github.com/stretchr/testify/require"

	"toucanway/core/fleet"
)

// Guards against equal tokens for different prompts, targets or indexes.
func TestTokensDiffer(t *testing.T) {
	seen := map[string]bool{}
	for _, target := range []string{"m", "m:a", "n"} {
		for _, prompt := range []string{"p", "q", "p\x000"} {
			for i := range 50 {
				seen[Token(fleet.ParseTarget(target), prompt, i)] = true
			}
		}
	}
	require.Len(t, seen, 3*3*50)
	require.Equal(t, Token(fleet.Target{Model: "m"}, "p", 0)+Token(fleet.Target{Model: "m"}, "p", 1),
		Answer(fleet.Target{Model: "m"}, "p", 2))
}

// Guards against lengths that ignore the length mark of the prompt or the caller's limit.
func TestLength(t *testing.T) {
	cases := map[string]struct {
		prompt string
		limit  int
		want   int
	}{
		"mark":           {prompt: "write " + LengthMark(300), limit: 400, want: 300},
		"default limit":  {prompt: "write " + LengthMark(300), want: DefaultLimit},
		"limit":          {prompt: "write " + LengthMark(300), limit: 20, want: 20},
		"malformed mark": {prompt: "[out:x]", limit: 3, want: 3},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) { require.Equal(t, c.want, Length(c.prompt, c.limit)) })
	}
	require.GreaterOrEqual(t, Length("any", 0), minLength)
}

// Guards against prefix hashes that depend on the text after the prefix, since two prompts with the same prefix would then
// share no cache entry.
func TestBlocks(t *testing.T) {
	target := fleet.Target{Model: "m", Adapter: "a"}
	prefix := strings.TrimSpace(strings.Repeat("word ", 2*BlockLength))
	require.Equal(t, Blocks(target, prefix), Blocks(target, prefix+"  and more"))
	require.Equal(t, xxhash.Sum64String("m:a\x00"+prefix), Blocks(target, prefix)[1])
	require.Empty(t, Blocks(target, "short"))
	require.EqualValues(t, 2, Count(Chat([]Message{{Role: "user", Content: "hello"}})))
}
