package schema

import (
	"reflect"
	"regexp"
	"strings"
)

// Keys of the fields that hold the name and the value of an entry in a mapping by name.
const (
	nameKey  = "@name"
	valueKey = "@value"
)

const maxNameBytes = 96

// isName reports whether a text is a valid name for fields without a pattern of their own. A colon is not allowed, since it
// would make MODEL:ADAPTER ambiguous.
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

// field is one key of a mapping as the tags of a struct field describe it.
type field struct {
	position         int
	key              string
	required         bool
	defaultText      string
	doc              string
	minText, maxText string
	pattern          *regexp.Regexp
	// min and max are the parsed bounds, nil if there is none.
	min, max *float64
}

// structTags is the parsed form of a struct's tags. namePosition and valuePosition are the positions of the fields with the keys
// @name and @value, or -1.
type structTags struct {
	fields        []field
	byKey         map[string]int
	namePosition  int
	valuePosition int
}

// isNamed reports whether a slice of the struct is written as a mapping by name.
func (p *structTags) isNamed() bool { return p.namePosition >= 0 }

// tagCache caches the parsed tags of each struct type during one decoding.
type tagCache struct {
	kinds  Kinds
	parsed map[reflect.Type]*structTags
}

func newTagCache(kinds Kinds) *tagCache {
	return &tagCache{kinds: kinds, parsed: map[reflect.Type]*structTags{}}
}

func (p *tagCache) tagsOf(t reflect.Type) *structTags {
	if known, ok := p.parsed[t]; ok {
		return known
	}
	out := &structTags{byKey: map[string]int{}, namePosition: -1, valuePosition: -1}
	for i := range t.NumField() {
		sf := t.Field(i)
		tag, ok := sf.Tag.Lookup("key")
		if !ok {
			continue
		}
		key, option, _ := strings.Cut(tag, ",")
		f := field{
			position: i, key: key, required: option == "required", defaultText: sf.Tag.Get("default"), doc: sf.Tag.Get("doc"),
			minText: sf.Tag.Get("min"), maxText: sf.Tag.Get("max"),
		}
		if pat := sf.Tag.Get("pattern"); pat != "" {
			f.pattern = regexp.MustCompile("^(?:" + pat + ")$")
		}
		f.min, f.max = p.bound(sf.Type, f.minText), p.bound(sf.Type, f.maxText)
		switch key {
		case nameKey:
			out.namePosition = len(out.fields)
		case valueKey:
			out.valuePosition = len(out.fields)
		default:
			out.byKey[key] = len(out.fields)
		}
		out.fields = append(out.fields, f)
	}
	p.parsed[t] = out
	return out
}

// bound parses a min or max tag, which is written like a value of the field.
func (p *tagCache) bound(t reflect.Type, text string) *float64 {
	if text == "" {
		return nil
	}
	v := reflect.New(t).Elem()
	kind, ok := p.kinds.lookup(t)
	if !ok {
		panic("schema: bound on a field of type " + t.String())
	}
	parsed, err := kind.Parse(text)
	if err != nil {
		panic("schema: bound " + text + " " + err.Error())
	}
	if err := assign(v, parsed); err != nil {
		panic("schema: bound " + text + " " + err.Error())
	}
	n := numericValue(v)
	return &n
}

// isNamedSlice reports whether a type is a slice of structs that is written as a mapping by name.
func (p *tagCache) isNamedSlice(t reflect.Type) bool {
	if t.Kind() != reflect.Slice || t.Elem().Kind() != reflect.Struct {
		return false
	}
	return p.tagsOf(t.Elem()).isNamed()
}
