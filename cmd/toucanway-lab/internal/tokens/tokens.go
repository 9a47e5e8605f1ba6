package tokens

import (
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"

	"toucanway/core/fleet"
)

const (
	// DefaultLimit is the largest number of tokens in the answer to a request that sets no limit.
	DefaultLimit = 256
	// BlockLength is the number of prompt tokens in a block of the prefix cache.
	BlockLength = 16
	// lengthMark in a prompt sets the length of its answer in tokens, as in "[out:200]".
	lengthMark = "[out:"
	// keyMark in a prompt holds the caller's key of the request, so that its runs can be counted across repetitions.
	keyMark     = "[key:"
	minLength   = 8
	lengthRange = 57
)

// Message is one message of a chat.
type Message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// Chat returns the prompt that engines build from the messages of a chat.
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

// Count returns the number of tokens in a prompt; each word is one token.
func Count(prompt string) fleet.Tokens { return fleet.Tokens(len(strings.Fields(prompt))) }

// Token returns the token at an index of the answer to a prompt, counted from 0.
func Token(target fleet.Target, prompt string, index int) string {
	var h xxhash.Digest
	h.Reset()
	_, _ = h.WriteString(target.String())
	_, _ = h.WriteString("\x00" + prompt + "\x00")
	_, _ = h.WriteString(strconv.Itoa(index))
	return strconv.FormatUint(h.Sum64()>>24, 36) + " "
}

// Answer returns the first length tokens of the answer to a prompt.
func Answer(target fleet.Target, prompt string, length int) string {
	var b strings.Builder
	for i := range length {
		b.WriteString(Token(target, prompt, i))
	}
	return b.String()
}

// LengthMark returns the part of a prompt that sets the length of its answer.
func LengthMark(length int) string { return lengthMark + strconv.Itoa(length) + "]" }

// KeyMark returns the part of a prompt that holds the caller's key of the request.
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

// Length returns the number of tokens in the answer to a prompt: as its length mark says, else derived from a hash of the
// prompt. It is at most the limit, or DefaultLimit if the limit is not positive.
func Length(prompt string, limit int) int {
	n := minLength + int(xxhash.Sum64String(prompt)%lengthRange)
	if _, rest, ok := strings.Cut(prompt, lengthMark); ok {
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

// Blocks returns the hash of each prefix of a prompt that consists of complete blocks, shortest first. The hash covers the
// target and the words of the prefix, joined by single spaces.
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
