package config

import (
	"slices"
	"strings"

	"toucanway/core/fleet"
)

// Conflict is the error of a merge in which both sides changed the same sections.
type Conflict struct{ Sections []Section }

// Error names the sections and the remedy.
func (c *Conflict) Error() string {
	return "sections changed on both sides: " + strings.Join(SectionNames(c.Sections), ", ") +
		"; read the document in force, repeat the change there and submit it"
}

// Rebase applies the change from base to mine to the document in force, theirs. It returns a *Conflict if both sides changed the
// same section in different ways, and Problems if the merged document is not valid.
func Rebase(base, mine, theirs string) (string, error) {
	myChange, theirChange := Diff(base, mine), Diff(base, theirs)
	mineTexts, theirTexts := sectionTexts(mine), sectionTexts(theirs)
	var conflicting []Section
	for _, s := range myChange.Sections {
		if slices.Contains(theirChange.Sections, s) && trimBlank(mineTexts[s]) != trimBlank(theirTexts[s]) {
			conflicting = append(conflicting, s)
		}
	}
	if len(conflicting) > 0 {
		return "", &Conflict{Sections: conflicting}
	}
	merged := merge(mine, theirs, myChange.Sections)
	if _, problems := Parse("merged document", merged); len(problems) > 0 {
		return "", problems
	}
	return merged, nil
}

// merge takes the given sections from mine and everything else from theirs. A section that is only in mine is inserted after the
// section that precedes it there.
func merge(mine, theirs string, sections []Section) string {
	myTexts := map[Section]string{}
	blocks := splitSections(theirs)
	for _, b := range splitSections(mine) {
		if !slices.Contains(sections, owningSection(b.name)) {
			continue
		}
		myTexts[b.name] += b.text
		if !slices.ContainsFunc(blocks, func(x block) bool { return x.name == b.name }) {
			blocks = slices.Insert(blocks, insertionIndex(mine, blocks, b.name), b)
		}
	}
	var out strings.Builder
	for _, b := range blocks {
		text := b.text
		if slices.Contains(sections, owningSection(b.name)) {
			text = myTexts[b.name]
		}
		if out.Len() > 0 && text != "" && !strings.HasSuffix(out.String(), "\n") {
			out.WriteByte('\n')
		}
		out.WriteString(text)
	}
	return out.String()
}

// insertionIndex returns the index in blocks after the nearest section that precedes the named one in mine and occurs in blocks.
func insertionIndex(mine string, blocks []block, name Section) int {
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

// NotOwner is the error of an operator that changed sections that it may not change.
type NotOwner struct {
	Operator fleet.OperatorID
	Sections []Section
}

// Error names the sections and the remedy.
func (n *NotOwner) Error() string {
	return "operator " + string(n.Operator) + " may not change " + strings.Join(SectionNames(n.Sections), ", ") +
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
