package schema

import (
	"reflect"
	"regexp"
	"strings"
)

// Keys of fields that hold the name and the value of an entry of a mapping.
const (
	nameKey  = "@name"
	valueKey = "@value"
)

const maxNameBytes = 96

// isName reports whether a text has the form of names without a pattern of their own. A colon would make MODEL:ADAPTER
// ambiguous.
func isName(s string) bool {
	if s == "" || len(s) > maxNameBytes || !isAlphanumeric(s[0]) || !isAlphanumeric(s[len(s)-1]) {
		return false
	}
	for i := range len(s) {
		if c := s[i]; !isAlphanumeric(c) && c != '.' && c != '-' && c != '_' {
			return false
		}
	}
	return true
}

func isAlphanumeric(c byte) bool {
	return c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || c >= '0' && c <= '9'
}

// field is one key of a struct as its tags describe it.
type field struct {
	index    int
	key      string
	required bool
	def      string
	doc      string
	min, max string
	pattern  *regexp.Regexp
	// bounds are the parsed min and max, nil without one.
	lo, hi *float64
}

// plan is the decoded form of a struct's tags.
type plan struct {
	fields []field
	byKey  map[string]int
	name   int
	value  int
}

// isNamed reports whether a slice of the struct is written as a mapping by name.
func (p *plan) isNamed() bool { return p.name >= 0 }

// planner builds each struct's plan once for one decoding.
type planner struct {
	kinds Kinds
	plans map[reflect.Type]*plan
}

func newPlanner(kinds Kinds) *planner {
	return &planner{kinds: kinds, plans: map[reflect.Type]*plan{}}
}

func (p *planner) of(t reflect.Type) *plan {
	if known, ok := p.plans[t]; ok {
		return known
	}
	out := &plan{byKey: map[string]int{}, name: -1, value: -1}
	for i := range t.NumField() {
		sf := t.Field(i)
		tag, ok := sf.Tag.Lookup("key")
		if !ok {
			continue
		}
		key, option, _ := strings.Cut(tag, ",")
		f := field{
			index: i, key: key, required: option == "required", def: sf.Tag.Get("default"), doc: sf.Tag.Get("doc"),
			min: sf.Tag.Get("min"), max: sf.Tag.Get("max"),
		}
		if pat := sf.Tag.Get("pattern"); pat != "" {
			f.pattern = regexp.MustCompile("^(?:" + pat + ")$")
		}
		f.lo, f.hi = p.bound(sf.Type, f.min), p.bound(sf.Type, f.max)
		switch key {
		case nameKey:
			out.name = len(out.fields)
		case valueKey:
			out.value = len(out.fields)
		default:
			out.byKey[key] = len(out.fields)
		}
		out.fields = append(out.fields, f)
	}
	p.plans[t] = out
	return out
}

// bound parses a min or max tag, which is written like a value of the field.
func (p *planner) bound(t reflect.Type, text string) *float64 {
	if text == "" {
		return nil
	}
	v := reflect.New(t).Elem()
	kind, ok := p.kinds.of(t)
	if !ok {
		panic("schema: bound on a field of type " + t.String())
	}
	parsed, err := kind.Parse(text)
	if err != nil {
		panic("schema: bound " + text + " " + err.Error())
	}
	if err := set(v, parsed); err != nil {
		panic("schema: bound " + text + " " + err.Error())
	}
	n := number(v)
	return &n
}

// isNamedSlice reports whether a type is a slice of structs that is written as a mapping by name.
func (p *planner) isNamedSlice(t reflect.Type) bool {
	if t.Kind() != reflect.Slice || t.Elem().Kind() != reflect.Struct {
		return false
	}
	return p.of(t.Elem()).isNamed()
}
