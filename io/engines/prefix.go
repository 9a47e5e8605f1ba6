package engines

import (
	"strings"

	"github.com/cespare/xxhash/v2"

	"toucanway/core/fleet"
	"toucanway/core/routing"
)

// prefixBlock is the number of words between the prefixes that engines name in cache events.
const prefixBlock = 16

// maxPrefixes bounds the prefixes of one prompt; a longer prompt is matched by its beginning only.
const maxPrefixes = 256

// Prefixes returns the prefixes of a prompt, longest first, as engines name them in cache events: the xxhash64 of the
// target's name, a zero byte and the words of the prefix joined by single spaces, for every 16 words.
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
		if n%prefixBlock == 0 && len(out) < maxPrefixes {
			out = append(out, routing.Prefix{Hash: h.Sum64(), Length: fleet.Tokens(n)})
		}
	}
	for i, j := 0, len(out)-1; i < j; i, j = i+1, j-1 {
		out[i], out[j] = out[j], out[i]
	}
	return out
}
