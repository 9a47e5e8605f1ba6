package schema

import (
	"reflect"
	"strings"
)

// Entry describes one key for reference pages.
type Entry struct {
	// Path is the key with its parents, separated by dots; NAME stands for a name that the writer chooses, [] for a list entry.
	Path string
	// Type is a description of the value's type, such as "a mapping" or the label of its kind.
	Type     string
	Required bool
	Default  string
	Min, Max string
	Doc      string
}

// Describe returns the keys of a struct type in the order of its fields, parents first.
func Describe(t reflect.Type, kinds Kinds) []Entry {
	d := describer{tags: newTagCache(kinds)}
	d.describeStruct("", t)
	return d.entries
}

type describer struct {
	tags    *tagCache
	entries []Entry
}

func (d *describer) describeStruct(prefix string, t reflect.Type) {
	p := d.tags.tagsOf(t)
	for i := range p.fields {
		if i == p.namePosition || i == p.valuePosition {
			continue
		}
		f := &p.fields[i]
		d.describeField(strings.TrimPrefix(prefix+"."+f.key, "."), t.Field(f.position).Type, f)
	}
}

func (d *describer) describeField(path string, t reflect.Type, f *field) {
	e := Entry{Path: path, Required: f.required, Default: f.defaultText, Min: f.minText, Max: f.maxText, Doc: f.doc}
	switch {
	case d.tags.isNamedSlice(t):
		e.Type = "a mapping by name"
		d.entries = append(d.entries, e)
		d.describeMappingByName(path+".NAME", t.Elem())
	case t.Kind() == reflect.Slice && t.Elem().Kind() == reflect.Struct:
		e.Type = "a list of mappings"
		d.entries = append(d.entries, e)
		d.describeStruct(path+"[]", t.Elem())
	case t.Kind() == reflect.Slice:
		e.Type = "a list; each entry is " + d.kindLabel(t.Elem())
		d.entries = append(d.entries, e)
	case t.Kind() == reflect.Struct:
		e.Type = "a mapping"
		d.entries = append(d.entries, e)
		d.describeStruct(path, t)
	default:
		e.Type = d.kindLabel(t)
		d.entries = append(d.entries, e)
	}
}

// describeMappingByName describes the entries of a mapping by name: the value of a name, or the keys below it.
func (d *describer) describeMappingByName(path string, t reflect.Type) {
	p := d.tags.tagsOf(t)
	if p.valuePosition < 0 {
		d.describeStruct(path, t)
		return
	}
	f := p.fields[p.valuePosition]
	d.describeField(path, t.Field(f.position).Type, &f)
}

func (d *describer) kindLabel(t reflect.Type) string {
	kind, ok := d.tags.kinds.lookup(t)
	if !ok {
		panic("schema: no kind for " + t.String())
	}
	return kind.Label
}
