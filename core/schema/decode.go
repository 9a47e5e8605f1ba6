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

// Source is a decoded text: it finds lines for checks that follow decoding, and collects their problems.
type Source struct {
	file     string
	root     *yaml.Node
	sections bool
	problems Problems
	// dropped counts problems beyond the bound of those collected.
	dropped int
}

// Options are the properties of a schema.
type Options struct {
	Kinds Kinds
	// Sections says that top-level keys are sections, to be named in problems.
	Sections bool
}

// Decode reads the text into a struct. The file's name is only used in problems. Fields keep the value that they could be
// given, so that checks of the rest can follow; the struct is valid only without problems.
func Decode(file, text string, into any, o Options) *Source {
	s := &Source{file: file, sections: o.Sections}
	root, ok := s.parse(text)
	if !ok {
		return s
	}
	s.root = root
	d := &decoder{src: s, planner: newPlanner(o.Kinds)}
	d.structure(root, reflect.ValueOf(into).Elem())
	return s
}

// Problems returns all problems in the order of lines.
func (s *Source) Problems() Problems { return s.problems.sorted(s.dropped) }

// Root returns the lines of the top-level keys in the order of the text.
func (s *Source) Root() []Key {
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

// Report adds a problem at the key or list item at a path; the nearest line above is used where there is none.
func (s *Source) Report(path []string, message, remedy string) {
	if s.full() {
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

// full reports whether no more problems are collected. Without a bound, a large text of another kind would cost seconds.
func (s *Source) full() bool { return len(s.problems) >= maxCollected }

func (s *Source) add(line int, section, message, remedy string) {
	if s.full() {
		s.dropped++
		return
	}
	if !s.sections {
		section = ""
	}
	s.problems = append(s.problems, Problem{File: s.file, Line: line, Section: section, Message: message, Remedy: remedy})
}

// Line returns the line of the key or list item at a path, or that of its nearest parent.
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

// parse returns the root mapping of a text with exactly one YAML document.
func (s *Source) parse(text string) (*yaml.Node, bool) {
	dec := yaml.NewDecoder(strings.NewReader(text))
	var doc yaml.Node
	if err := dec.Decode(&doc); err != nil {
		if errors.Is(err, io.EOF) {
			s.ReportLine(1, "the file is empty", "write at least the required keys")
			return nil, false
		}
		s.syntax(err)
		return nil, false
	}
	var second yaml.Node
	if err := dec.Decode(&second); err == nil {
		s.ReportLine(second.Line, "a second YAML document begins", "keep everything in one document without --- lines")
	} else if !errors.Is(err, io.EOF) {
		s.syntax(err)
		return nil, false
	}
	if len(doc.Content) != 1 || doc.Content[0].Kind != yaml.MappingNode {
		s.ReportLine(1, "the file is no mapping", "write keys followed by a colon and their values")
		return nil, false
	}
	return doc.Content[0], true
}

func (s *Source) syntax(err error) {
	line, msg := 1, strings.TrimPrefix(err.Error(), "yaml: ")
	if m := yamlLine.FindStringSubmatch(msg); m != nil {
		if n, convErr := strconv.Atoi(m[1]); convErr == nil && n > 0 {
			line = n
		}
		msg = m[2]
	}
	s.ReportLine(line, "not valid YAML: "+msg, "correct the indentation, quotes or colons at or just above this line")
}

// decoder walks nodes and values side by side.
type decoder struct {
	src     *Source
	planner *planner
	path    []string
}

func (d *decoder) problem(n *yaml.Node, message, remedy string) {
	section := ""
	if len(d.path) > 0 {
		section = d.path[0]
	}
	d.src.add(n.Line, section, message, remedy)
}

// value decodes a node into any supported type.
func (d *decoder) value(n *yaml.Node, v reflect.Value, f *field) {
	if n.Kind == yaml.AliasNode || n.Anchor != "" {
		d.problem(n, d.what()+" uses a YAML anchor or alias", "write the value out at each place")
		return
	}
	switch {
	case d.planner.isNamedSlice(v.Type()):
		d.named(n, v)
	case v.Kind() == reflect.Slice:
		d.list(n, v, f)
	case v.Kind() == reflect.Struct:
		d.structure(n, v)
	default:
		d.scalar(n, v, f)
	}
}

// what names the current key in messages.
func (d *decoder) what() string {
	if len(d.path) == 0 {
		return "the file"
	}
	return quote(strings.Join(d.path, "."))
}

// structure decodes a mapping with fixed keys and gives defaults to the keys left out.
func (d *decoder) structure(n *yaml.Node, v reflect.Value) {
	p := d.planner.of(v.Type())
	if n.Kind != yaml.MappingNode {
		d.problem(n, d.what()+" is "+nodeKind(n)+" and must be a mapping", "write its keys below it, indented: "+p.keys())
		return
	}
	seen := make([]bool, len(p.fields))
	for i := 0; i+1 < len(n.Content); i += 2 {
		key, val := n.Content[i], n.Content[i+1]
		at, ok := p.byKey[key.Value]
		if !ok && d.src.full() {
			d.src.dropped++
			continue
		}
		if !ok || key.Kind != yaml.ScalarNode {
			d.path = append(d.path, key.Value)
			d.problem(key, "unknown key "+d.what(), p.remedyForUnknown(key.Value))
			d.path = d.path[:len(d.path)-1]
			continue
		}
		d.path = append(d.path, key.Value)
		if seen[at] {
			d.problem(key, "key "+d.what()+" is written twice", "keep one of the two")
		}
		seen[at] = true
		d.value(val, v.Field(p.fields[at].index), &p.fields[at])
		d.path = d.path[:len(d.path)-1]
	}
	d.absent(n, p, v, seen)
}

// absent reports required keys that were left out and sets the defaults of the others.
func (d *decoder) absent(n *yaml.Node, p *plan, v reflect.Value, seen []bool) {
	for i := range p.fields {
		f := &p.fields[i]
		if seen[i] || i == p.name || i == p.value {
			continue
		}
		if f.required {
			d.problem(n, d.what()+" has no key "+quote(f.key), "add it: "+firstSentence(f.doc))
			continue
		}
		d.planner.setDefault(v.Field(f.index), f)
	}
}

// setDefault gives a field that was left out its default, and a struct those of its fields.
func (p *planner) setDefault(v reflect.Value, f *field) {
	if v.Kind() == reflect.Struct {
		sub := p.of(v.Type())
		for i := range sub.fields {
			p.setDefault(v.Field(sub.fields[i].index), &sub.fields[i])
		}
		return
	}
	if f.def == "" || v.Kind() == reflect.Slice {
		return
	}
	kind, ok := p.kinds.of(v.Type())
	if !ok {
		panic("schema: no kind for default of " + f.key)
	}
	parsed, err := kind.Parse(f.def)
	if err != nil {
		panic("schema: default of " + f.key + " " + err.Error())
	}
	if err := set(v, parsed); err != nil {
		panic("schema: default of " + f.key + " " + err.Error())
	}
}

// named decodes a mapping by name into a slice of structs.
func (d *decoder) named(n *yaml.Node, v reflect.Value) {
	p := d.planner.of(v.Type().Elem())
	if n.Kind != yaml.MappingNode {
		d.problem(n, d.what()+" is "+nodeKind(n)+" and must be a mapping by name",
			"write one name and a colon for each entry, or remove the key")
		return
	}
	out := reflect.MakeSlice(v.Type(), 0, len(n.Content)/2)
	first := make(map[string]int, len(n.Content)/2)
	for i := 0; i+1 < len(n.Content); i += 2 {
		key, val := n.Content[i], n.Content[i+1]
		if line, dup := first[key.Value]; dup {
			d.problem(key, fmt.Sprintf("%s declares %s twice, first on line %d", d.what(), quote(key.Value), line),
				"rename one or remove it")
			continue
		}
		first[key.Value] = key.Line
		item := reflect.New(v.Type().Elem()).Elem()
		d.path = append(d.path, key.Value)
		d.scalar(key, item.Field(p.fields[p.name].index), &p.fields[p.name])
		if p.value >= 0 {
			d.value(val, item.Field(p.fields[p.value].index), &p.fields[p.value])
		} else {
			d.value(val, item, nil)
		}
		d.path = d.path[:len(d.path)-1]
		out = reflect.Append(out, item)
	}
	v.Set(out)
}

func (d *decoder) list(n *yaml.Node, v reflect.Value, f *field) {
	if n.Kind != yaml.SequenceNode {
		d.problem(n, d.what()+" is "+nodeKind(n)+" and must be a list", "write [a, b] or one entry on each line after a dash")
		return
	}
	out := reflect.MakeSlice(v.Type(), len(n.Content), len(n.Content))
	seen := map[string]int{}
	for i, item := range n.Content {
		d.path = append(d.path, strconv.Itoa(i))
		d.value(item, out.Index(i), f)
		if item.Kind == yaml.ScalarNode {
			if line, dup := seen[item.Value]; dup {
				d.problem(item, fmt.Sprintf("%s repeats %s of line %d", d.what(), quote(item.Value), line), "remove one of the two")
			}
			seen[item.Value] = item.Line
		}
		d.path = d.path[:len(d.path)-1]
	}
	if len(n.Content) == 0 && f != nil && f.required {
		d.problem(n, d.what()+" is an empty list", "give at least one entry")
	}
	v.Set(out)
}

func (d *decoder) scalar(n *yaml.Node, v reflect.Value, f *field) {
	kind, ok := d.planner.kinds.of(v.Type())
	if !ok {
		panic("schema: no kind for " + v.Type().String())
	}
	if n.Kind != yaml.ScalarNode {
		d.problem(n, d.what()+" is "+nodeKind(n)+" and must be a single value", "write "+kind.Label)
		return
	}
	if n.Tag == "!!null" || n.Value == "" {
		d.problem(n, d.what()+" has no value", "write "+kind.Label+", or remove the key")
		return
	}
	parsed, err := kind.Parse(n.Value)
	if err == nil {
		err = set(v, parsed)
	}
	if err != nil {
		d.problem(n, fmt.Sprintf("%s: %s %s", d.what(), quote(n.Value), err), "write "+kind.Label)
		return
	}
	d.bounds(n, v, f)
}

// bounds checks min, max and pattern; plain strings without a pattern must be names.
func (d *decoder) bounds(n *yaml.Node, v reflect.Value, f *field) {
	if v.Kind() == reflect.String {
		matches, remedy := isName, "use up to 96 letters, digits, dots, dashes and underscores, with a letter or digit at both ends"
		if f != nil && f.pattern != nil {
			matches, remedy = f.pattern.MatchString, "write it in the form "+f.pattern.String()
		} else if _, own := d.planner.kinds[v.Type()]; own {
			return
		}
		if !matches(n.Value) {
			d.problem(n, fmt.Sprintf("%s: %s is not in the expected form", d.what(), quote(n.Value)), remedy)
		}
		return
	}
	if f == nil {
		return
	}
	if f.lo != nil && number(v) < *f.lo {
		d.problem(n, fmt.Sprintf("%s: %s is less than %s", d.what(), n.Value, f.min), "write at least "+f.min)
	}
	if f.hi != nil && number(v) > *f.hi {
		d.problem(n, fmt.Sprintf("%s: %s is more than %s", d.what(), n.Value, f.max), "write at most "+f.max)
	}
}

func (p *plan) keys() string {
	names := make([]string, 0, len(p.byKey))
	for k := range p.byKey {
		names = append(names, k)
	}
	slices.Sort(names)
	return strings.Join(names, ", ")
}

// remedyForUnknown names the key that was probably meant.
func (p *plan) remedyForUnknown(key string) string {
	for known := range p.byKey {
		if strings.EqualFold(strings.NewReplacer("_", "-", " ", "-").Replace(key), known) {
			return "write " + quote(known)
		}
	}
	return "remove it; the keys here are " + p.keys()
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
