package control

import (
	"crypto/sha256"
	"encoding/hex"
	"slices"
	"strings"

	"toucanway/core/fleet"
)

// Digest returns the digest of a document's text, for SubmitDocument.Digest.
func Digest(text string) string {
	sum := sha256.Sum256([]byte(text))
	return hex.EncodeToString(sum[:16])
}

// ApplyHunks returns the text with the hunks applied. Hunks must be in ascending order, inside the text and must not
// overlap; otherwise it returns false.
func ApplyHunks(text string, hunks []Hunk) (string, bool) {
	lines := SplitLines(text)
	var out []string
	at := 0
	for _, h := range hunks {
		if h.Start < at || h.End < h.Start || h.End > len(lines) {
			return "", false
		}
		out = append(out, lines[at:h.Start]...)
		out = append(out, h.Lines...)
		at = h.End
	}
	out = append(out, lines[at:]...)
	return strings.Join(out, ""), true
}

// SplitLines returns the lines of a text including their line ends, as Hunk counts them.
func SplitLines(text string) []string {
	if text == "" {
		return nil
	}
	lines := strings.SplitAfter(text, "\n")
	if lines[len(lines)-1] == "" {
		lines = lines[:len(lines)-1]
	}
	return lines
}

func (s *State) submitDocument(index fleet.Index, c *SubmitDocument) Result {
	cur := s.Document()
	for _, d := range s.d.Documents {
		if d.Base == c.Base && d.Digest == c.Digest && d.Version != 0 {
			return Result{Version: d.Version, Sections: d.Sections}
		}
	}
	if c.Base != cur.Version {
		return Result{
			Reason:   RejectConflict,
			Message:  "the document changed since it was read; submit --rebase when only other sections changed",
			Version:  cur.Version,
			Sections: s.sectionsSince(c.Base),
		}
	}
	text, ok := ApplyHunks(cur.Text, c.Hunks)
	if !ok || Digest(text) != c.Digest {
		return reject(RejectDigest, "the changed lines do not give the submitted document; read it again and resubmit")
	}
	if len(text) > MaxDocumentBytes {
		return reject(RejectLimit, "the document is larger than 1 MiB; remove unused models or adapters")
	}
	if n := len(s.d.Documents); n > 0 {
		s.d.Documents[n-1].Text = ""
	}
	doc := Document{
		Version: cur.Version + 1, Base: c.Base, Digest: c.Digest, Operator: c.Operator,
		Sections: slices.Clone(c.Sections), Index: index, Text: text,
	}
	s.d.Documents = append(s.d.Documents, doc)
	if over := len(s.d.Documents) - MaxDocumentHistory; over > 0 {
		s.d.Documents = slices.Delete(s.d.Documents, 0, over)
	}
	return Result{Version: doc.Version, Sections: doc.Sections}
}

// sectionsSince returns the sections that changed after a version, sorted.
func (s *State) sectionsSince(v fleet.DocumentVersion) []string {
	var out []string
	for _, d := range s.d.Documents {
		if d.Version > v {
			out = append(out, d.Sections...)
		}
	}
	slices.Sort(out)
	return slices.Compact(out)
}
