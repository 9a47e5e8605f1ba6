package caller

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against panics of the client on arbitrary streams, and against streams that pass as complete answers although
// tokens are missing.
func FuzzStream(f *testing.F) {
	const done = "data: [DONE]\n\n"
	chunk := func(text string) string { return `data: {"id":"r","choices":[{"text":"` + text + `"}]}` + "\n\n" }
	f.Add(chunk(token(0)) + chunk(token(1)) + chunk(token(2)) + done)
	f.Add(chunk(token(0)+token(1)+token(2)) + done)
	f.Add(chunk(token(1)) + done)
	f.Add(`data: {"error":{"code":"queue-full"}}` + "\n\n")
	f.Add(`data: {"token_index":7,"choices":[{"delta":{"content":"x"}},{}]}` + "\n\n" + done)
	f.Fuzz(func(t *testing.T, in string) {
		var o Outcome
		a := &answer{request: request(), outcome: &o, progress: func() {}}
		refusal, err := a.readStream(strings.NewReader(in))
		if err == nil && refusal == nil && a.wrongReason == "" {
			require.Equal(t, 3, o.Tokens)
			require.Contains(t, in, "[DONE]")
			// JSON may escape characters of a token; the input then does not contain it literally.
			for i := range 3 {
				if strings.Contains(in, `\`) {
					break
				}
				require.Contains(t, in, strings.TrimSpace(token(i)))
			}
		}
	})
}
