package engines

import (
	"strings"

	"github.com/cespare/xxhash/v2"

	"toucanway/core/fleet"
	"toucanway/core/routing"
)

// prefixStep is the step, in words, between the lengths of the prefixes that engines report in cache events.
const prefixStep = 16

// maxPrefixes bounds the prefixes of one prompt; only the beginning of a longer prompt is matched.
const maxPrefixes = 256

// Prefixes returns the prefixes of a prompt at every 16th word, longest first. Each is identified as in the cache events of
// engines: by the xxhash64 of the target's name, a zero byte and the words of the prefix joined by single spaces.
func Prefixes(t fleet.Target, prompt string) []routing.Prefix {
	var h xxhash.Digest
	h.Reset()
	_, _ = h.WriteString(t.String())
	_, _ = h.WriteString("\x00")
	var out []routing.Prefix
	n := 0
	for word := range strings.FieldsSeq(prompt) {
		if n > 0 {
			_, _ = h.WriteString(" ")
		}
		_, _ = h.WriteString(word)
		n++
		if n%prefixStep == 0 && len(out) < maxPrefixes {
			out = append(out, routing.Prefix{Hash: h.Sum64(), Length: fleet.Tokens(n)})
		}
	}
	for i, j := 0, len(out)-1; i < j; i, j = i+1, j-1 {
		out[i], out[j] = out[j], out[i]
	}
	return out
}
