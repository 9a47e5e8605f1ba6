package lint

import (
	"fmt"
	"strings"

	"toucanway/core/fleet"
	"toucanway/core/routes"
)

// Severity says what a finding means for a configuration.
type Severity string

// Severities of findings.
const (
	// Error is a reason for which controllers refuse the configuration.
	Error Severity = "error"
	// Warning is an entry that takes no effect or contradicts another.
	Warning Severity = "warning"
)

// Finding is one problem of a configuration.
type Finding struct {
	Severity Severity `json:"severity"`
	// Place names the entry, for instance `route "chat"`.
	Place string `json:"place"`
	// Message says what is wrong, Remedy what to do.
	Message string `json:"message"`
	Remedy  string `json:"remedy"`
}

// String returns the finding as one line.
func (f Finding) String() string {
	return fmt.Sprintf("%s: %s: %s; %s", f.Severity, f.Place, f.Message, f.Remedy)
}

// Settings are what the rules need besides the configuration. The zero value works.
type Settings struct {
	// LargestRequest is the number of tokens of the largest request that callers send; 0 means what an engine can hold.
	LargestRequest fleet.Tokens
	// QuotaLimit returns the units of the largest request that fits a quota; nil means its burst.
	QuotaLimit func(rate, burst float64) float64
}

// lowestPriority is the lowest rank that servers distinguish.
const lowestPriority = 9

// checker collects the findings of one configuration.
type checker struct {
	cfg      *routes.Configuration
	settings Settings
	findings []Finding
}

// Check returns the findings of a configuration: first the error for which controllers refuse it, if there is one, then the warnings in
// the order of its entries.
func Check(cfg *routes.Configuration, s Settings) []Finding {
	c := &checker{cfg: cfg, settings: s}
	if err := cfg.Check(); err != nil {
		message, remedy, _ := strings.Cut(strings.TrimPrefix(err.Error(), routes.ErrInvalid.FullName()+": "), "; ")
		c.findings = append(c.findings, Finding{Error, "configuration", message, remedy})
	}
	c.checkRoutes()
	c.checkServices()
	c.checkAccounts()
	c.checkLimits()
	return c.findings
}

// place is an entry of a configuration to which warnings are added.
type place struct {
	c    *checker
	name string
}

func (c *checker) at(kind, name string) place { return place{c, fmt.Sprintf("%s %q", kind, name)} }

// warnIf adds a warning if the condition holds.
func (p place) warnIf(condition bool, message, remedy string) {
	if condition {
		p.c.findings = append(p.c.findings, Finding{Warning, p.name, message, remedy})
	}
}

func (c *checker) checkRoutes() {
	p := place{c, "configuration"}
	p.warnIf(len(c.cfg.Routes) == 0, "there are no routes, so that every request is refused", "add a route")
	for i := range c.cfg.Routes {
		c.checkRoute(&c.cfg.Routes[i])
	}
}

func (c *checker) checkRoute(r *routes.Route) {
	p := c.at("route", r.Name)
	p.warnIf(r.Host == "" || strings.ContainsAny(r.Host, "/*? \t"), "no request has this host, so that the route never matches",
		"write a host name without scheme, path or wildcard")
	p.warnIf(!strings.HasPrefix(r.Prefix, "/") || !strings.HasSuffix(r.Prefix, "/") || strings.ContainsAny(r.Prefix, "?# \t"),
		"only prefixes of a path that begin and end with a slash are compared, so that the route never matches", "write the prefix as /PATH/")
	seen := map[fleet.ServiceID]bool{}
	engines := false
	for _, w := range r.Services {
		p.warnIf(w.Weight == 0 && len(r.Services) > 1, fmt.Sprintf("service %q has a weight of 0 and gets no requests", w.Service), "raise the weight or remove the service")
		p.warnIf(seen[w.Service], fmt.Sprintf("service %q is listed twice, and its weights add up", w.Service), "list it once")
		seen[w.Service] = true
		s := c.cfg.Service(w.Service)
		engines = engines || s != nil && s.Engine != nil
	}
	p.warnIf(r.Objective > r.Timeout, fmt.Sprintf("the objective of %v is over the timeout of %v, at which requests end", r.Objective, r.Timeout), "lower the objective or raise the timeout")
	p.warnIf(r.GapObjective > r.Timeout, fmt.Sprintf("the gap objective of %v is over the timeout of %v, at which streams end", r.GapObjective, r.Timeout), "lower the gap objective or raise the timeout")
	p.warnIf(r.Objective < 0 || r.GapObjective < 0, "an objective is negative", "set it to 0 or more")
	p.warnIf(r.Kind != routes.Streaming && r.GapObjective > 0, "only streams have gaps between events", "remove the gap objective or make the route streaming")
	p.warnIf(r.Kind != routes.Streaming && r.Resumable, "only streams can be resumed", "remove it or make the route streaming")
	p.warnIf(r.PrefixAffinity && !engines, "requests are kept together for cached prompts, but the services have no engines", "remove it or lead the route to engines")
	p.warnIf(r.MaxAttempts < 1, fmt.Sprintf("a request may be sent to %d servers", r.MaxAttempts), "set the number of attempts to 1 or more")
	p.warnIf(r.Priority < 0 || r.Priority > lowestPriority, fmt.Sprintf("servers do not distinguish priority %d", r.Priority), fmt.Sprintf("use 0 to %d", lowestPriority))
	p.warnIf(r.Public && len(c.cfg.Accounts) == 0, "no request needs a key, since there are no client accounts", "add accounts or remove public")
}

func (c *checker) checkServices() {
	routed := map[fleet.ServiceID]bool{}
	for i := range c.cfg.Routes {
		for _, w := range c.cfg.Routes[i].Services {
			routed[w.Service] = routed[w.Service] || w.Weight > 0
		}
	}
	seen := map[fleet.ServiceID]bool{}
	for i := range c.cfg.Services {
		s := &c.cfg.Services[i]
		p := c.at("service", string(s.Name))
		p.warnIf(seen[s.Name], "an earlier service has the same name and hides this one", "rename one of them")
		seen[s.Name] = true
		p.warnIf(!routed[s.Name], "no route leads here, so that its servers get no requests", "add a route or remove the service")
		if s.Engine != nil {
			c.checkEngine(p, s)
		}
	}
}

func (c *checker) checkEngine(p place, s *routes.Service) {
	e := s.Engine
	p.warnIf(len(e.Models) == 0, "its engines have no models, so that every request waits until its timeout", "add models")
	p.warnIf(e.StoreRate <= 0, "no loads from the weight store are allowed", "set the loads a second above 0")
	seen := map[fleet.ModelID]bool{}
	for i := range e.Models {
		m := &e.Models[i]
		p := c.at("model", string(s.Name)+"/"+string(m.Name))
		p.warnIf(seen[m.Name], "an earlier model of the service has the same name", "rename one of them")
		seen[m.Name] = true
		fits := m.Weights <= e.Weights
		p.warnIf(!fits, fmt.Sprintf("its weights have %d MB and the engines hold %d MB, so that it is never loaded", m.Weights/megabyte, e.Weights/megabyte),
			"remove the model or use larger engines")
		p.warnIf(m.Adapters > 0 && e.AdapterSlots < 1, "the engines have no slots for its adapters", "set the adapter slots above 0")
		p.warnIf(fits && m.Adapters > 0 && m.Weights+m.AdapterSize > e.Weights, "the engines have no memory for one of its adapters beside its weights",
			"use smaller adapters or larger engines")
	}
}

// megabyte is the unit of memory in texts.
const megabyte = 1_000_000

func (c *checker) checkLimits() {
	p := place{c, "limits"}
	l := c.cfg.Limits
	p.warnIf(l.HeaderBytes < 0 || l.BodyBytes < 0, "a size is negative, so that requests are refused", "set it above 0, or to 0 for the default")
	p.warnIf(l.HeaderTimeout < 0 || l.IdleTimeout < 0, "a timeout is negative, so that requests are refused", "set it above 0, or to 0 for the default")
}
