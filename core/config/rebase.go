package config

import (
	"slices"
	"strings"

	"toucanway/core/fleet"
)

// Conflict says that both sides changed the same sections.
type Conflict struct{ Sections []Section }

// Error names the sections and the remedy.
func (c *Conflict) Error() string {
	return "sections changed on both sides: " + strings.Join(Strings(c.Sections), ", ") +
		"; read the document in force, repeat the change there and submit it"
}

// Rebase moves a change from the base to the document in force. It returns a *Conflict when both sides changed the same
// section in different ways, and Problems when the merged document is not valid.
func Rebase(base, mine, theirs string) (string, error) {
	ours, other := Diff(base, mine), Diff(base, theirs)
	mineTexts, theirTexts := sectionTexts(mine), sectionTexts(theirs)
	var both []Section
	for _, s := range ours.Sections {
		if slices.Contains(other.Sections, s) && trim(mineTexts[s]) != trim(theirTexts[s]) {
			both = append(both, s)
		}
	}
	if len(both) > 0 {
		return "", &Conflict{Sections: both}
	}
	merged := merge(mine, theirs, ours.Sections)
	if _, problems := Parse("merged document", merged); len(problems) > 0 {
		return "", problems
	}
	return merged, nil
}

// merge takes the given sections from mine and all else from theirs. A section that only mine has follows the section that
// precedes it in mine.
func merge(mine, theirs string, sections []Section) string {
	own := map[Section]string{}
	blocks := splitSections(theirs)
	for _, b := range splitSections(mine) {
		if !slices.Contains(sections, ownedName(b.name)) {
			continue
		}
		own[b.name] += b.text
		if !slices.ContainsFunc(blocks, func(x block) bool { return x.name == b.name }) {
			blocks = slices.Insert(blocks, precedent(mine, blocks, b.name), b)
		}
	}
	var out strings.Builder
	for _, b := range blocks {
		text := b.text
		if slices.Contains(sections, ownedName(b.name)) {
			text = own[b.name]
		}
		if out.Len() > 0 && text != "" && !strings.HasSuffix(out.String(), "\n") {
			out.WriteByte('\n')
		}
		out.WriteString(text)
	}
	return out.String()
}

// precedent returns the position behind the nearest section that precedes a name in mine and occurs in blocks.
func precedent(mine string, blocks []block, name Section) int {
	at := 0
	for _, b := range splitSections(mine) {
		if b.name == name {
			break
		}
		if i := slices.IndexFunc(blocks, func(x block) bool { return x.name == b.name }); i >= 0 {
			at = i + 1
		}
	}
	return at
}

// NotOwner says that an operator may not change some of the sections that it changed.
type NotOwner struct {
	Operator fleet.OperatorID
	Sections []Section
}

// Error names the sections and the remedy.
func (n *NotOwner) Error() string {
	return "operator " + string(n.Operator) + " may not change " + strings.Join(Strings(n.Sections), ", ") +
		"; ask an owner of the section to submit the change"
}

// CheckOwner returns a *NotOwner unless the operator owns every changed section in the document that is in force.
func CheckOwner(d *Document, operator fleet.OperatorID, changed []Section) error {
	var missing []Section
	for _, s := range changed {
		if !d.Owns(operator, s) {
			missing = append(missing, s)
		}
	}
	if len(missing) > 0 {
		return &NotOwner{Operator: operator, Sections: missing}
	}
	return nil
}
