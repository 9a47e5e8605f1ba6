package config

import (
	"reflect"
	"slices"
	"strings"

	"toucanway/core/control"
)

// Change is the difference between two texts.
type Change struct {
	// Sections are the changed sections, sorted.
	Sections []Section
	Hunks    []control.Hunk
}

// block holds the lines of one section and of the comments directly above it.
type block struct {
	name    Section
	keyLine int
	text    string
}

// splitSections splits a text into the blocks of its sections. Lines above the first section and its comments form a block
// without a name.
func splitSections(text string) []block {
	lines := control.SplitLines(text)
	var out []block
	start, contentEnd := 0, 0
	cur := block{}
	for i, line := range lines {
		if name, ok := sectionKey(line); ok {
			if contentEnd > start {
				cur.text = strings.Join(lines[start:contentEnd], "")
				out = append(out, cur)
			}
			cur = block{name: name, keyLine: i}
			start, contentEnd = contentEnd, i+1
			continue
		}
		if !isBlankOrComment(line) {
			contentEnd = i + 1
		}
	}
	cur.text = strings.Join(lines[start:], "")
	if cur.text != "" {
		out = append(out, cur)
	}
	return out
}

// sectionKey returns the section that begins on a line, and whether one does.
func sectionKey(line string) (Section, bool) {
	if line == "" || line[0] < 'a' || line[0] > 'z' {
		return "", false
	}
	name, _, ok := strings.Cut(line, ":")
	return Section(name), ok
}

// isBlankOrComment reports whether a line is blank or a comment in the first column, which belongs to the section below it.
func isBlankOrComment(line string) bool {
	return strings.TrimSpace(line) == "" || line[0] == '#'
}

// Diff returns the changed sections and the hunks that turn the old text into the new one. A section is changed if its lines or
// its decoded values differ.
func Diff(before, after string) Change {
	sections := changedText(before, after)
	if a, problems := Parse("", before); len(problems) == 0 {
		if b, problems := Parse("", after); len(problems) == 0 {
			sections = append(sections, changedValues(a, b)...)
		}
	}
	// Changes of blank lines alone belong to no section. They count as a change of the last one, since a change needs an owner.
	if blocks := splitSections(after); len(sections) == 0 && before != after && len(blocks) > 0 {
		sections = append(sections, owningSection(blocks[len(blocks)-1].name))
	}
	slices.Sort(sections)
	return Change{Sections: slices.Compact(sections), Hunks: diffLines(before, after)}
}

// changedText returns the sections whose lines differ. Blank lines at the ends of a section are ignored, since they move to or
// come with a section that is added next to it.
func changedText(before, after string) []Section {
	a, b := sectionTexts(before), sectionTexts(after)
	var out []Section
	for name, text := range a {
		if other, ok := b[name]; !ok || trimBlank(other) != trimBlank(text) {
			out = append(out, owningSection(name))
		}
	}
	for name := range b {
		if _, ok := a[name]; !ok {
			out = append(out, owningSection(name))
		}
	}
	return out
}

func trimBlank(text string) string { return strings.Trim(text, " \t\r\n") }

// owningSection returns the section whose owners may change a block: the section owners for lines above all sections.
func owningSection(name Section) Section {
	if name == "" {
		return SectionOwners
	}
	return name
}

func sectionTexts(text string) map[Section]string {
	out := map[Section]string{}
	for _, b := range splitSections(text) {
		out[b.name] += b.text
	}
	return out
}

// changedValues returns the sections whose decoded values differ. It finds changes that changedText would attribute to another
// section because of the layout of the text.
func changedValues(a, b *Document) []Section {
	var out []Section
	va, vb := reflect.ValueOf(a).Elem(), reflect.ValueOf(b).Elem()
	for i := range va.NumField() {
		key, ok := va.Type().Field(i).Tag.Lookup("key")
		if !ok {
			continue
		}
		if !reflect.DeepEqual(va.Field(i).Interface(), vb.Field(i).Interface()) {
			name, _, _ := strings.Cut(key, ",")
			out = append(out, Section(name))
		}
	}
	return out
}

// SectionNames returns the names of sections as strings.
func SectionNames(sections []Section) []string {
	out := make([]string, len(sections))
	for i, s := range sections {
		out[i] = string(s)
	}
	return out
}
