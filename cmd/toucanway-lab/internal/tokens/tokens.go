package tokens

import (
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"

	"toucanway/core/fleet"
)

const (
	// DefaultLimit is the longest answer to a request that sets no limit.
	DefaultLimit = 256
	// BlockLength is the number of prompt tokens in a block of the prefix cache.
	BlockLength = 16
	// outputMark in a prompt sets the length of its answer in tokens, as in "[out:200]".
	outputMark = "[out:"
	// keyMark names the caller's request, so that its runs can be counted across resends.
	keyMark    = "[key:"
	minOutput  = 8
	spanOutput = 57
)

// Message is one message of a chat.
type Message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// Chat returns the prompt of a chat as engines see it.
func Chat(messages []Message) string {
	var b strings.Builder
	for _, m := range messages {
		b.WriteString(m.Role)
		b.WriteString(": ")
		b.WriteString(m.Content)
		b.WriteByte('\n')
	}
	return b.String()
}

// Count returns the number of tokens of a prompt: its words.
func Count(prompt string) fleet.Tokens { return fleet.Tokens(len(strings.Fields(prompt))) }

// Text returns the token at an index, from 0, of the answer to a prompt.
func Text(target fleet.Target, prompt string, index int) string {
	var h xxhash.Digest
	h.Reset()
	_, _ = h.WriteString(target.String())
	_, _ = h.WriteString("\x00" + prompt + "\x00")
	_, _ = h.WriteString(strconv.Itoa(index))
	return strconv.FormatUint(h.Sum64()>>24, 36) + " "
}

// Answer returns the whole answer to a prompt.
func Answer(target fleet.Target, prompt string, length int) string {
	var b strings.Builder
	for i := range length {
		b.WriteString(Text(target, prompt, i))
	}
	return b.String()
}

// Mark returns the part of a prompt that sets the length of its answer.
func Mark(length int) string { return outputMark + strconv.Itoa(length) + "]" }

// KeyMark returns the part of a prompt that names the caller's key of the request.
func KeyMark(key string) string { return keyMark + key + "]" }

// Key returns the caller's key in a prompt, empty if there is none.
func Key(prompt string) string {
	_, rest, ok := strings.Cut(prompt, keyMark)
	if !ok {
		return ""
	}
	key, _, _ := strings.Cut(rest, "]")
	return key
}

// Length returns the length of the answer to a prompt in tokens, at most the limit, or DefaultLimit if that is zero.
func Length(prompt string, limit int) int {
	n := minOutput + int(xxhash.Sum64String(prompt)%spanOutput)
	if _, rest, ok := strings.Cut(prompt, outputMark); ok {
		digits, _, _ := strings.Cut(rest, "]")
		if v, err := strconv.Atoi(digits); err == nil && v > 0 {
			n = v
		}
	}
	if limit <= 0 {
		limit = DefaultLimit
	}
	return min(n, limit)
}

// Blocks returns the hash of each prefix of a prompt that is a whole number of blocks long, shortest first. The hash is
// that of the target and the prefix's words joined by single spaces.
func Blocks(target fleet.Target, prompt string) []uint64 {
	words := strings.Fields(prompt)
	var h xxhash.Digest
	h.Reset()
	_, _ = h.WriteString(target.String())
	_, _ = h.WriteString("\x00")
	out := make([]uint64, 0, len(words)/BlockLength)
	for i, w := range words {
		if i > 0 {
			_, _ = h.WriteString(" ")
		}
		_, _ = h.WriteString(w)
		if (i+1)%BlockLength == 0 {
			out = append(out, h.Sum64())
		}
	}
	return out
}
