package lint

import (
	"fmt"
	"slices"
	"strings"

	"toucanway/core/routes"
)

// Change is one difference between two configurations.
type Change struct {
	// Place names the entry, for instance `route "chat"`.
	Place string `json:"place"`
	// Field is empty if the whole entry is new or gone.
	Field string `json:"field,omitempty"`
	// Before and After are texts of the values; that of an entry that doesn't exist is empty.
	Before string `json:"before"`
	After  string `json:"after"`
}

// String returns the change as one line.
func (c Change) String() string {
	switch {
	case c.Field != "":
		return fmt.Sprintf("%s: %s: %s -> %s", c.Place, c.Field, c.Before, c.After)
	case c.Before == "":
		return c.Place + ": new"
	default:
		return c.Place + ": removed"
	}
}

// value is a field of an entry as text.
type value struct{ field, text string }

// entry is a named part of a configuration with its fields. Entries of the same kind have the same fields in the same order.
type entry struct {
	place  string
	values []value
	// keys are the hashes of an account's keys, of which only numbers are shown.
	keys []routes.KeyHash
}

// Compare returns the differences between a configuration and a later one: changed and new entries in the order of the later one, then
// those that are gone. The order of routes, services, models and accounts has no effect and is not compared.
func Compare(before, after *routes.Configuration) []Change {
	old := map[string]entry{}
	gone := []string{}
	for _, e := range entries(before) {
		if _, dup := old[e.place]; !dup {
			gone = append(gone, e.place)
		}
		old[e.place] = e
	}
	var out []Change
	seen := map[string]bool{}
	for _, e := range entries(after) {
		seen[e.place] = true
		if o, ok := old[e.place]; ok {
			out = append(out, compareEntry(o, e)...)
		} else {
			out = append(out, Change{Place: e.place, After: "exists"})
		}
	}
	for _, name := range gone {
		if !seen[name] {
			out = append(out, Change{Place: name, Before: "exists"})
		}
	}
	return out
}

func compareEntry(before, after entry) []Change {
	var out []Change
	for i, v := range after.values {
		if b := before.values[i]; b.text != v.text {
			out = append(out, Change{after.place, v.field, b.text, v.text})
		}
	}
	if added, removed := countMissing(after.keys, before.keys), countMissing(before.keys, after.keys); added+removed > 0 {
		out = append(out, Change{
			after.place, "keys", fmt.Sprint(len(before.keys)), fmt.Sprintf("%d (%d new, %d removed)", len(after.keys), added, removed),
		})
	}
	return out
}

// countMissing returns the number of keys that are not among others.
func countMissing(keys, others []routes.KeyHash) int {
	known := make(map[routes.KeyHash]bool, len(others))
	for _, k := range others {
		known[k] = true
	}
	n := 0
	for _, k := range keys {
		if !known[k] {
			n++
		}
	}
	return n
}

// entries returns the parts of a configuration.
func entries(c *routes.Configuration) []entry {
	l := c.Limits
	out := []entry{{place: "limits", values: []value{
		{"header bytes", fmt.Sprint(l.HeaderBytes)}, {"body bytes", fmt.Sprint(l.BodyBytes)}, {"header timeout", l.HeaderTimeout.String()},
		{"idle timeout", l.IdleTimeout.String()},
	}}}
	for i := range c.Routes {
		out = append(out, routeEntry(&c.Routes[i]))
	}
	for i := range c.Services {
		out = append(out, serviceEntries(&c.Services[i])...)
	}
	for i := range c.Accounts {
		out = append(out, accountEntry(&c.Accounts[i]))
	}
	return out
}

func routeEntry(r *routes.Route) entry {
	var services []string
	for _, w := range r.Services {
		services = append(services, fmt.Sprintf("%s:%v", w.Service, w.Weight))
	}
	slices.Sort(services)
	return entry{place: fmt.Sprintf("route %q", r.Name), values: []value{
		{"host", r.Host}, {"prefix", r.Prefix}, {"kind", kindName(r.Kind)}, {"timeout", r.Timeout.String()}, {"objective", r.Objective.String()},
		{"gap objective", r.GapObjective.String()}, {"priority", fmt.Sprint(r.Priority)}, {"services", strings.Join(services, ",")},
		{"attempts", fmt.Sprint(r.MaxAttempts)}, {"prefix affinity", fmt.Sprint(r.PrefixAffinity)}, {"resumable", fmt.Sprint(r.Resumable)},
		{"public", fmt.Sprint(r.Public)}, {"unused service", string(r.Unused)},
	}}
}

func kindName(k routes.Kind) string {
	switch k {
	case routes.Unsafe:
		return "unsafe"
	case routes.Safe:
		return "safe"
	case routes.Streaming:
		return "streaming"
	default:
		return fmt.Sprint(uint8(k))
	}
}

func serviceEntries(s *routes.Service) []entry {
	var e routes.Engine
	if s.Engine != nil {
		e = *s.Engine
	}
	out := []entry{{place: fmt.Sprintf("service %q", s.Name), values: []value{
		{"engines", fmt.Sprint(s.Engine != nil)}, {"weights", fmt.Sprint(e.Weights)}, {"adapter slots", fmt.Sprint(e.AdapterSlots)},
		{"loads a second", fmt.Sprint(e.StoreRate)}, {"slots", fmt.Sprint(e.Slots)}, {"KV capacity", fmt.Sprint(e.KVCapacity)},
	}}}
	for i := range e.Models {
		m := &e.Models[i]
		out = append(out, entry{place: fmt.Sprintf("model %q", string(s.Name)+"/"+string(m.Name)), values: []value{
			{"weights", fmt.Sprint(m.Weights)}, {"load from the store", m.StoreLoad.String()}, {"load from disk", m.DiskLoad.String()},
			{"load from memory", m.MemoryLoad.String()}, {"adapters", fmt.Sprint(m.Adapters)}, {"adapter size", fmt.Sprint(m.AdapterSize)},
		}})
	}
	return out
}

func accountEntry(a *routes.Account) entry {
	priority := "that of the route"
	if a.HasPriority {
		priority = fmt.Sprint(a.Priority)
	}
	q := &a.Quota
	unit := "requests"
	if q.Tokens {
		unit = "tokens"
	}
	return entry{place: fmt.Sprintf("account %q", a.Name), keys: a.Keys, values: []value{
		{"priority", priority}, {"unit", unit}, {"rate", fmt.Sprint(q.Rate)}, {"burst", fmt.Sprint(q.Burst)}, {"plain tokens", fmt.Sprint(q.PlainTokens)},
	}}
}
