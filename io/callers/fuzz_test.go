package callers

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against bodies that make the host panic, and against accepted bodies whose values are out of range.
func FuzzCompletionBody(f *testing.F) {
	f.Add(`{"model":"m:a","prompt":"hello","max_tokens":3,"stream":true}`, false)
	f.Add(`{"model":"m","prompt":["hello"]}`, false)
	f.Add(`{"model":"m","messages":[{"role":"user","content":"hello"}],"max_completion_tokens":1}`, true)
	f.Add(`{"model":"m","messages":null,"max_tokens":-1}`, true)
	f.Fuzz(func(t *testing.T, body string, chat bool) {
		c := &Completion{Body: []byte(body), Chat: chat}
		if r := parseCompletion(c); r != nil {
			require.NotEmpty(t, r.Message)
			return
		}
		require.Positive(t, c.MaxTokens)
		require.LessOrEqual(t, int64(c.MaxTokens), int64(1<<20))
		require.GreaterOrEqual(t, int64(c.PromptTokens()), int64(0))
	})
}
