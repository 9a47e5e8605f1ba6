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

// block is the lines of one section with the comments directly above it.
type block struct {
	name    Section
	keyLine int
	text    string
}

// splitSections cuts a text where sections begin; lines before the first section and its comments form a nameless block.
func splitSections(text string) []block {
	lines := control.SplitLines(text)
	var out []block
	start, free := 0, 0
	cur := block{}
	for i, line := range lines {
		if name, ok := sectionKey(line); ok {
			if free > start {
				cur.text = strings.Join(lines[start:free], "")
				out = append(out, cur)
			}
			cur = block{name: name, keyLine: i}
			start, free = free, i+1
			continue
		}
		if !isFiller(line) {
			free = i + 1
		}
	}
	cur.text = strings.Join(lines[start:], "")
	if cur.text != "" {
		out = append(out, cur)
	}
	return out
}

// sectionKey returns the section that begins on a line.
func sectionKey(line string) (Section, bool) {
	if line == "" || line[0] < 'a' || line[0] > 'z' {
		return "", false
	}
	name, _, ok := strings.Cut(line, ":")
	return Section(name), ok
}

// isFiller reports whether a line is blank or a comment in the first column, which belongs to the section below it.
func isFiller(line string) bool {
	return strings.TrimSpace(line) == "" || line[0] == '#'
}

// Diff returns the changed sections and the lines that turn the old text into the new one. A section counts as changed when
// its lines or its decoded values differ.
func Diff(before, after string) Change {
	sections := changedText(before, after)
	if a, problems := Parse("", before); len(problems) == 0 {
		if b, problems := Parse("", after); len(problems) == 0 {
			sections = append(sections, changedValues(a, b)...)
		}
	}
	// Blank lines between sections belong to no one in particular, and a change must have an owner.
	if blocks := splitSections(after); len(sections) == 0 && before != after && len(blocks) > 0 {
		sections = append(sections, ownedName(blocks[len(blocks)-1].name))
	}
	slices.Sort(sections)
	return Change{Sections: slices.Compact(sections), Hunks: hunks(before, after)}
}

// changedText compares the lines of sections without blank lines around them, which a section that is added next to them
// would take over or bring along.
func changedText(before, after string) []Section {
	a, b := sectionTexts(before), sectionTexts(after)
	var out []Section
	for name, text := range a {
		if other, ok := b[name]; !ok || trim(other) != trim(text) {
			out = append(out, ownedName(name))
		}
	}
	for name := range b {
		if _, ok := a[name]; !ok {
			out = append(out, ownedName(name))
		}
	}
	return out
}

func trim(text string) string { return strings.Trim(text, " \t\r\n") }

// ownedName gives lines above all sections to the owners of the section owners.
func ownedName(name Section) Section {
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

// changedValues guards ownership against layouts in which lines and values could be read differently.
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

// Strings returns the names of sections as commands carry them.
func Strings(sections []Section) []string {
	out := make([]string, len(sections))
	for i, s := range sections {
		out[i] = string(s)
	}
	return out
}
