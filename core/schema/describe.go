package schema

import (
	"reflect"
	"strings"
)

// Entry describes one key for reference pages.
type Entry struct {
	// Path is the key with its parents; NAME stands for a name that the writer chooses, [] for the entries of a list.
	Path string
	// Type is the form of the value, empty for a mapping.
	Type     string
	Required bool
	Default  string
	Min, Max string
	Doc      string
}

// Describe returns the keys of a struct type in the order of its fields, parents first.
func Describe(t reflect.Type, kinds Kinds) []Entry {
	d := describer{planner: newPlanner(kinds)}
	d.structure("", t)
	return d.out
}

type describer struct {
	planner *planner
	out     []Entry
}

func (d *describer) structure(prefix string, t reflect.Type) {
	p := d.planner.of(t)
	for i := range p.fields {
		if i == p.name || i == p.value {
			continue
		}
		f := &p.fields[i]
		d.field(strings.TrimPrefix(prefix+"."+f.key, "."), t.Field(f.index).Type, f)
	}
}

func (d *describer) field(path string, t reflect.Type, f *field) {
	e := Entry{Path: path, Required: f.required, Default: f.def, Min: f.min, Max: f.max, Doc: f.doc}
	switch {
	case d.planner.isNamedSlice(t):
		e.Type = "a mapping by name"
		d.out = append(d.out, e)
		d.named(path+".NAME", t.Elem())
	case t.Kind() == reflect.Slice && t.Elem().Kind() == reflect.Struct:
		e.Type = "a list of mappings"
		d.out = append(d.out, e)
		d.structure(path+"[]", t.Elem())
	case t.Kind() == reflect.Slice:
		e.Type = "a list; each entry is " + d.label(t.Elem())
		d.out = append(d.out, e)
	case t.Kind() == reflect.Struct:
		e.Type = "a mapping"
		d.out = append(d.out, e)
		d.structure(path, t)
	default:
		e.Type = d.label(t)
		d.out = append(d.out, e)
	}
}

// named describes the entries of a mapping by name: the value of each name, or the keys below it.
func (d *describer) named(path string, t reflect.Type) {
	p := d.planner.of(t)
	if p.value < 0 {
		d.structure(path, t)
		return
	}
	f := p.fields[p.value]
	d.field(path, t.Field(f.index).Type, &f)
}

func (d *describer) label(t reflect.Type) string {
	kind, ok := d.planner.kinds.of(t)
	if !ok {
		panic("schema: no kind for " + t.String())
	}
	return kind.Label
}
