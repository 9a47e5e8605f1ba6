package schema

import (
	"errors"
	"fmt"
	"io"
	"reflect"
	"regexp"
	"slices"
	"strconv"
	"strings"

	"gopkg.in/yaml.v3"
)

// Source is a decoded text. Checks after the decoding use it to find line numbers and to report problems.
type Source struct {
	file     string
	root     *yaml.Node
	sections bool
	problems Problems
	// dropped counts the problems beyond maxCollected.
	dropped int
}

// Options configures Decode.
type Options struct {
	Kinds Kinds
	// Sections means that the top-level keys are sections, whose names are included in problems.
	Sections bool
}

// Decode decodes the text into a struct. The file name is only used in problems. Decoding continues after a problem, so that
// further checks can report theirs; the struct is valid only if there are no problems.
func Decode(file, text string, into any, o Options) *Source {
	s := &Source{file: file, sections: o.Sections}
	root, ok := s.parse(text)
	if !ok {
		return s
	}
	s.root = root
	d := &decoder{src: s, tags: newTagCache(o.Kinds)}
	d.decodeStruct(root, reflect.ValueOf(into).Elem())
	return s
}

// Problems returns the problems in the order of lines, at most MaxProblems and a note of how many were left out.
func (s *Source) Problems() Problems { return s.problems.sorted(s.dropped) }

// TopLevelKeys returns the top-level keys and their lines in the order of the text.
func (s *Source) TopLevelKeys() []Key {
	if s.root == nil {
		return nil
	}
	out := make([]Key, 0, len(s.root.Content)/2)
	for i := 0; i+1 < len(s.root.Content); i += 2 {
		out = append(out, Key{Name: s.root.Content[i].Value, Line: s.root.Content[i].Line})
	}
	return out
}

// Key is a top-level key with its line, counted from 1.
type Key struct {
	Name string
	Line int
}

// Report adds a problem at the key or list item with the given path, or at its nearest parent if it does not exist.
func (s *Source) Report(path []string, message, remedy string) {
	if s.isFull() {
		s.dropped++
		return
	}
	section := ""
	if len(path) > 0 {
		section = path[0]
	}
	s.add(s.Line(path...), section, message, remedy)
}

// ReportLine adds a problem at a line.
func (s *Source) ReportLine(line int, message, remedy string) { s.add(line, "", message, remedy) }

// isFull reports whether the limit of collected problems is reached. Without a limit, a large text in another format would take
// seconds.
func (s *Source) isFull() bool { return len(s.problems) >= maxCollected }

func (s *Source) add(line int, section, message, remedy string) {
	if s.isFull() {
		s.dropped++
		return
	}
	if !s.sections {
		section = ""
	}
	s.problems = append(s.problems, Problem{File: s.file, Line: line, Section: section, Message: message, Remedy: remedy})
}

// Line returns the line of the key or list item with the given path, or that of its nearest parent if it does not exist.
func (s *Source) Line(path ...string) int {
	n, line := s.root, 1
	for _, step := range path {
		if n == nil {
			return line
		}
		var next *yaml.Node
		switch n.Kind {
		case yaml.MappingNode:
			for i := 0; i+1 < len(n.Content); i += 2 {
				if n.Content[i].Value == step {
					line, next = n.Content[i].Line, n.Content[i+1]
				}
			}
		case yaml.SequenceNode:
			if i, err := strconv.Atoi(step); err == nil && i >= 0 && i < len(n.Content) {
				line, next = n.Content[i].Line, n.Content[i]
			}
		case yaml.DocumentNode, yaml.ScalarNode, yaml.AliasNode:
		default:
		}
		n = next
	}
	return line
}

var yamlLine = regexp.MustCompile(`line (\d+): (.*)`)

// parse returns the root mapping of a text with exactly one YAML document, or reports a problem and returns false.
func (s *Source) parse(text string) (*yaml.Node, bool) {
	dec := yaml.NewDecoder(strings.NewReader(text))
	var doc yaml.Node
	if err := dec.Decode(&doc); err != nil {
		if errors.Is(err, io.EOF) {
			s.ReportLine(1, "the file is empty", "write at least the required keys")
			return nil, false
		}
		s.addSyntaxError(err)
		return nil, false
	}
	var second yaml.Node
	if err := dec.Decode(&second); err == nil {
		s.ReportLine(second.Line, "a second YAML document begins", "keep everything in one document without --- lines")
	} else if !errors.Is(err, io.EOF) {
		s.addSyntaxError(err)
		return nil, false
	}
	if len(doc.Content) != 1 || doc.Content[0].Kind != yaml.MappingNode {
		s.ReportLine(1, "the file is not a mapping", "write keys followed by a colon and their values")
		return nil, false
	}
	return doc.Content[0], true
}

func (s *Source) addSyntaxError(err error) {
	line, msg := 1, strings.TrimPrefix(err.Error(), "yaml: ")
	if m := yamlLine.FindStringSubmatch(msg); m != nil {
		if n, convErr := strconv.Atoi(m[1]); convErr == nil && n > 0 {
			line = n
		}
		msg = m[2]
	}
	s.ReportLine(line, "not valid YAML: "+msg, "correct the indentation, quotes or colons at or just above this line")
}

// decoder walks the YAML nodes and the values to fill in parallel.
type decoder struct {
	src  *Source
	tags *tagCache
	path []string
}

func (d *decoder) problem(n *yaml.Node, message, remedy string) {
	section := ""
	if len(d.path) > 0 {
		section = d.path[0]
	}
	d.src.add(n.Line, section, message, remedy)
}

// decodeValue decodes a node into any supported type.
func (d *decoder) decodeValue(n *yaml.Node, v reflect.Value, f *field) {
	if n.Kind == yaml.AliasNode || n.Anchor != "" {
		d.problem(n, d.currentKey()+" uses a YAML anchor or alias", "write the value out at each place")
		return
	}
	switch {
	case d.tags.isNamedSlice(v.Type()):
		d.decodeMappingByName(n, v)
	case v.Kind() == reflect.Slice:
		d.decodeList(n, v, f)
	case v.Kind() == reflect.Struct:
		d.decodeStruct(n, v)
	default:
		d.decodeScalar(n, v, f)
	}
}

// currentKey returns the name of the current key for messages.
func (d *decoder) currentKey() string {
	if len(d.path) == 0 {
		return "the file"
	}
	return quote(strings.Join(d.path, "."))
}

// decodeStruct decodes a mapping with fixed keys and sets the defaults of absent keys.
func (d *decoder) decodeStruct(n *yaml.Node, v reflect.Value) {
	p := d.tags.tagsOf(v.Type())
	if n.Kind != yaml.MappingNode {
		d.problem(n, d.currentKey()+" is "+nodeKind(n)+" and must be a mapping", "write its keys below it, indented: "+p.keyList())
		return
	}
	seen := make([]bool, len(p.fields))
	for i := 0; i+1 < len(n.Content); i += 2 {
		key, val := n.Content[i], n.Content[i+1]
		at, ok := p.byKey[key.Value]
		if !ok && d.src.isFull() {
			d.src.dropped++
			continue
		}
		if !ok || key.Kind != yaml.ScalarNode {
			d.path = append(d.path, key.Value)
			d.problem(key, "unknown key "+d.currentKey(), p.remedyForUnknown(key.Value))
			d.path = d.path[:len(d.path)-1]
			continue
		}
		d.path = append(d.path, key.Value)
		if seen[at] {
			d.problem(key, "key "+d.currentKey()+" is written twice", "keep one of the two")
		}
		seen[at] = true
		d.decodeValue(val, v.Field(p.fields[at].position), &p.fields[at])
		d.path = d.path[:len(d.path)-1]
	}
	d.fillAbsent(n, p, v, seen)
}

// fillAbsent reports required keys that are absent and sets the defaults of the other absent keys.
func (d *decoder) fillAbsent(n *yaml.Node, p *structTags, v reflect.Value, seen []bool) {
	for i := range p.fields {
		f := &p.fields[i]
		if seen[i] || i == p.namePosition || i == p.valuePosition {
			continue
		}
		if f.required {
			d.problem(n, d.currentKey()+" has no key "+quote(f.key), "add it: "+firstSentence(f.doc))
			continue
		}
		d.tags.setDefault(v.Field(f.position), f)
	}
}

// setDefault sets an absent field to its default, and the fields of an absent struct to theirs.
func (p *tagCache) setDefault(v reflect.Value, f *field) {
	if v.Kind() == reflect.Struct {
		sub := p.tagsOf(v.Type())
		for i := range sub.fields {
			p.setDefault(v.Field(sub.fields[i].position), &sub.fields[i])
		}
		return
	}
	if f.defaultText == "" || v.Kind() == reflect.Slice {
		return
	}
	kind, ok := p.kinds.lookup(v.Type())
	if !ok {
		panic("schema: no kind for default of " + f.key)
	}
	parsed, err := kind.Parse(f.defaultText)
	if err != nil {
		panic("schema: default of " + f.key + " " + err.Error())
	}
	if err := assign(v, parsed); err != nil {
		panic("schema: default of " + f.key + " " + err.Error())
	}
}

// decodeMappingByName decodes a mapping from names to entries into a slice of structs.
func (d *decoder) decodeMappingByName(n *yaml.Node, v reflect.Value) {
	p := d.tags.tagsOf(v.Type().Elem())
	if n.Kind != yaml.MappingNode {
		d.problem(n, d.currentKey()+" is "+nodeKind(n)+" and must be a mapping by name",
			"write one name and a colon for each entry, or remove the key")
		return
	}
	out := reflect.MakeSlice(v.Type(), 0, len(n.Content)/2)
	first := make(map[string]int, len(n.Content)/2)
	for i := 0; i+1 < len(n.Content); i += 2 {
		key, val := n.Content[i], n.Content[i+1]
		if line, dup := first[key.Value]; dup {
			d.problem(key, fmt.Sprintf("%s declares %s twice, first on line %d", d.currentKey(), quote(key.Value), line),
				"rename one or remove it")
			continue
		}
		first[key.Value] = key.Line
		item := reflect.New(v.Type().Elem()).Elem()
		d.path = append(d.path, key.Value)
		d.decodeScalar(key, item.Field(p.fields[p.namePosition].position), &p.fields[p.namePosition])
		if p.valuePosition >= 0 {
			d.decodeValue(val, item.Field(p.fields[p.valuePosition].position), &p.fields[p.valuePosition])
		} else {
			d.decodeValue(val, item, nil)
		}
		d.path = d.path[:len(d.path)-1]
		out = reflect.Append(out, item)
	}
	v.Set(out)
}

func (d *decoder) decodeList(n *yaml.Node, v reflect.Value, f *field) {
	if n.Kind != yaml.SequenceNode {
		d.problem(n, d.currentKey()+" is "+nodeKind(n)+" and must be a list", "write [a, b] or one entry on each line after a dash")
		return
	}
	out := reflect.MakeSlice(v.Type(), len(n.Content), len(n.Content))
	seen := map[string]int{}
	for i, item := range n.Content {
		d.path = append(d.path, strconv.Itoa(i))
		d.decodeValue(item, out.Index(i), f)
		if item.Kind == yaml.ScalarNode {
			if line, dup := seen[item.Value]; dup {
				d.problem(item, fmt.Sprintf("%s repeats %s of line %d", d.currentKey(), quote(item.Value), line), "remove one of the two")
			}
			seen[item.Value] = item.Line
		}
		d.path = d.path[:len(d.path)-1]
	}
	if len(n.Content) == 0 && f != nil && f.required {
		d.problem(n, d.currentKey()+" is an empty list", "give at least one entry")
	}
	v.Set(out)
}

func (d *decoder) decodeScalar(n *yaml.Node, v reflect.Value, f *field) {
	kind, ok := d.tags.kinds.lookup(v.Type())
	if !ok {
		panic("schema: no kind for " + v.Type().String())
	}
	if n.Kind != yaml.ScalarNode {
		d.problem(n, d.currentKey()+" is "+nodeKind(n)+" and must be a single value", "write "+kind.Label)
		return
	}
	if n.Tag == "!!null" || n.Value == "" {
		d.problem(n, d.currentKey()+" has no value", "write "+kind.Label+", or remove the key")
		return
	}
	parsed, err := kind.Parse(n.Value)
	if err == nil {
		err = assign(v, parsed)
	}
	if err != nil {
		d.problem(n, fmt.Sprintf("%s: %s %s", d.currentKey(), quote(n.Value), err), "write "+kind.Label)
		return
	}
	d.checkBounds(n, v, f)
}

// checkBounds checks min, max and pattern; plain strings without a pattern must be names.
func (d *decoder) checkBounds(n *yaml.Node, v reflect.Value, f *field) {
	if v.Kind() == reflect.String {
		matches, remedy := isName, "use up to 96 letters, digits, dots, dashes and underscores, with a letter or digit at both ends"
		if f != nil && f.pattern != nil {
			matches, remedy = f.pattern.MatchString, "write it in the form "+f.pattern.String()
		} else if _, hasKind := d.tags.kinds[v.Type()]; hasKind {
			return
		}
		if !matches(n.Value) {
			d.problem(n, fmt.Sprintf("%s: %s is not in the expected form", d.currentKey(), quote(n.Value)), remedy)
		}
		return
	}
	if f == nil {
		return
	}
	if f.min != nil && numericValue(v) < *f.min {
		d.problem(n, fmt.Sprintf("%s: %s is less than %s", d.currentKey(), n.Value, f.minText), "write at least "+f.minText)
	}
	if f.max != nil && numericValue(v) > *f.max {
		d.problem(n, fmt.Sprintf("%s: %s is more than %s", d.currentKey(), n.Value, f.maxText), "write at most "+f.maxText)
	}
}

func (p *structTags) keyList() string {
	names := make([]string, 0, len(p.byKey))
	for k := range p.byKey {
		names = append(names, k)
	}
	slices.Sort(names)
	return strings.Join(names, ", ")
}

// remedyForUnknown suggests the key that was probably meant, or else lists all keys.
func (p *structTags) remedyForUnknown(key string) string {
	for known := range p.byKey {
		if strings.EqualFold(strings.NewReplacer("_", "-", " ", "-").Replace(key), known) {
			return "write " + quote(known)
		}
	}
	return "remove it; the keys here are " + p.keyList()
}

func nodeKind(n *yaml.Node) string {
	switch {
	case n.Kind == yaml.MappingNode:
		return "a mapping"
	case n.Kind == yaml.SequenceNode:
		return "a list"
	case n.Tag == "!!null":
		return "empty"
	default:
		return "a single value"
	}
}

const maxQuoted = 80

func quote(s string) string {
	if len(s) > maxQuoted {
		s = s[:maxQuoted] + "..."
	}
	return strconv.Quote(s)
}

func firstSentence(doc string) string {
	if s, _, ok := strings.Cut(doc, ". "); ok {
		return s
	}
	return strings.TrimSuffix(doc, ".")
}
