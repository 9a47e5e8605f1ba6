package config

import (
	"fmt"
	"strings"

	"toucanway/core/control"
	"toucanway/core/fleet"
	"toucanway/core/schema"
)

// Problem is one error in a document, with its line, section and remedy.
type Problem = schema.Problem

// Problems are all errors in a document in the order of its lines.
type Problems = schema.Problems

// Parse decodes and checks a document. The file name is only used in problems. If there are problems, the document is nil.
func Parse(file, text string) (*Document, Problems) {
	if len(text) > control.MaxDocumentBytes {
		return nil, Problems{{
			File: file, Line: 1, Message: fmt.Sprintf("the document has %d bytes; at most %d are allowed", len(text), control.MaxDocumentBytes),
			Remedy: "remove unused models or adapters",
		}}
	}
	var d Document
	src := schema.Decode(file, text, &d, schema.Options{Kinds: Kinds(), Sections: true})
	checkLayout(src, text)
	c := checker{src: src, d: &d}
	c.checkOwners()
	c.checkRegions()
	c.checkModels()
	c.checkCallers()
	c.checkServices()
	c.checkLimits()
	if problems := src.Problems(); len(problems) > 0 {
		return nil, problems
	}
	d.buildIndex()
	return &d, nil
}

// checkLayout checks that the lines of a section can be found without decoding YAML. The comparison of texts and the ownership of
// sections depend on that.
func checkLayout(src *schema.Source, text string) {
	keys := src.TopLevelKeys()
	if len(keys) == 0 {
		return
	}
	blocks := splitSections(text)
	at := 0
	for _, b := range blocks {
		if b.name == "" {
			continue
		}
		if at >= len(keys) || keys[at].Name != string(b.name) || keys[at].Line != b.keyLine+1 {
			src.ReportLine(b.keyLine+1, "a line that begins in the first column is not a section",
				"indent the lines of a section by two spaces and write section names without quotes")
			return
		}
		at++
	}
	if at < len(keys) {
		src.ReportLine(keys[at].Line, "section "+keys[at].Name+" does not begin in the first column",
			"write each section name at the start of a line, without quotes and braces")
	}
}

// checker checks references and relations between decoded values.
type checker struct {
	src *schema.Source
	d   *Document
}

func (c *checker) checkOwners() {
	o := c.d.Owners
	known := map[fleet.OperatorID]bool{}
	var creds credentialIndex
	for _, op := range o.Operators {
		known[op.ID] = true
		for _, h := range op.Credentials {
			if i, dup := creds.add(h, 0); dup {
				c.src.Report([]string{"owners", "operators", string(op.ID), "credentials"},
					fmt.Sprintf("operator %q has a credential of another operator", op.ID), "give each operator its own token")
				_ = i
			}
		}
	}
	owned := map[Section]bool{}
	for _, s := range o.Sections {
		owned[s.Section] = len(s.Operators) > 0
		for _, id := range s.Operators {
			if !known[id] {
				c.src.Report([]string{"owners", "sections", string(s.Section)},
					fmt.Sprintf("operator %q is not declared", id), "declare it in owners.operators or correct the id")
			}
		}
	}
	for _, k := range c.src.TopLevelKeys() {
		if !owned[Section(k.Name)] && isSection(k.Name) {
			c.src.Report([]string{k.Name}, fmt.Sprintf("section %q has no owner", k.Name),
				"list at least one operator in owners.sections."+k.Name)
		}
	}
}

func isSection(name string) bool {
	for _, s := range Sections() {
		if string(s) == name {
			return true
		}
	}
	return false
}

func (c *checker) checkRegions() {
	first := map[fleet.DataCentre]fleet.Region{}
	for _, r := range c.d.Regions.Regions {
		for _, dc := range r.DataCentres {
			if other, dup := first[dc]; dup && other != r.Name {
				c.src.Report([]string{"regions", "places", string(r.Name), "data-centres"},
					fmt.Sprintf("data centre %q belongs to region %q already", dc, other), "give data centres names that are unique across regions")
				continue
			}
			first[dc] = r.Name
		}
	}
}

func (c *checker) checkModels() {
	for i := range c.d.Models {
		m := &c.d.Models[i]
		report := func(key, message, remedy string) {
			c.src.Report([]string{"models", string(m.Name), key}, fmt.Sprintf("model %q: %s", m.Name, message), remedy)
		}
		if m.MinReplicas > m.MaxReplicas {
			report("min-replicas", fmt.Sprintf("min-replicas %d exceeds max-replicas %d", m.MinReplicas, m.MaxReplicas),
				"raise max-replicas or lower min-replicas")
		}
		if m.Pinned && m.MinReplicas == 0 {
			report("pinned", "a pinned model needs a replica to keep", "set min-replicas to at least 1 or pinned to false")
		}
		if m.KeepWarm.Min > m.KeepWarm.Max {
			report("keep-warm", fmt.Sprintf("keep-warm min %s exceeds max %s", m.KeepWarm.Min, m.KeepWarm.Max), "raise max or lower min")
		}
		if t := m.LoadTimes; t.Memory > t.Disk || t.Disk > t.Remote {
			report("load-times", "load times do not rise from memory to disk to remote", "correct the tier that is too long or too short")
		}
		switch m.Spread {
		case SpreadRegions:
			if n := len(c.d.Regions.Regions); n < 2 {
				report("spread", "spread over regions needs two regions", "declare more regions or set spread to none")
			}
		case SpreadDataCentres:
			if c.countDataCentres() < 2 {
				report("spread", "spread over data centres needs two data centres", "declare more data centres or set spread to none")
			}
		case SpreadNone:
		default:
			panic("config: unknown spread")
		}
	}
}

func (c *checker) countDataCentres() int {
	n := 0
	for _, r := range c.d.Regions.Regions {
		n += len(r.DataCentres)
	}
	return n
}

func (c *checker) checkCallers() {
	known := map[fleet.TenantID]bool{}
	for _, t := range c.d.Callers.Tenants {
		known[t.ID] = true
	}
	var creds credentialIndex
	for i, x := range c.d.Callers.Callers {
		if x.Tenant != "" && !known[x.Tenant] {
			c.src.Report([]string{"callers", "callers", string(x.ID), "tenant"},
				fmt.Sprintf("tenant %q is not declared", x.Tenant), "declare it in callers.tenants or correct the id")
		}
		for _, h := range x.Credentials {
			if earlier, dup := creds.add(h, i); dup {
				c.src.Report([]string{"callers", "callers", string(x.ID), "credentials"},
					fmt.Sprintf("caller %q has a credential of caller %q", x.ID, c.d.Callers.Callers[earlier].ID), "give each caller its own token")
			}
		}
	}
}

func (c *checker) checkServices() {
	type rule struct{ method, prefix string }
	for _, s := range c.d.Services {
		seen := map[rule]bool{}
		for i, call := range s.Calls {
			r := rule{call.Method, call.PathPrefix}
			path := []string{"services", string(s.Name), "calls", fmt.Sprint(i)}
			if seen[r] {
				c.src.Report(path, fmt.Sprintf("service %q declares %s %s twice", s.Name, r.method, r.prefix), "remove one of the two")
			}
			seen[r] = true
			if strings.Contains(call.PathPrefix, "?") {
				c.src.Report(path, "path-prefix contains a query", "remove the question mark and everything after it")
			}
		}
	}
}

func (c *checker) checkLimits() {
	if l := c.d.Limits; l.DefaultDeadline > l.MaxDeadline {
		c.src.Report([]string{"limits", "default-deadline"},
			fmt.Sprintf("default-deadline %s exceeds max-deadline %s", l.DefaultDeadline, l.MaxDeadline), "raise max-deadline or lower default-deadline")
	}
}
