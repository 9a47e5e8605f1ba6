package entry

import (
	"context"
	"errors"
	"slices"
	"syscall"
	"time"

	"toucanway/core/config"
	"toucanway/core/fleet"
	"toucanway/io/callers"
	"toucanway/io/settings"
)

// reloader returns the TLS reloader of one interface, or nil for plain TCP.
func (h *Host) reloader(name string, f settings.Files) (*settings.Reloader, error) {
	return settings.NewReloader(settings.ReloaderSettings{Files: f, Interface: name, Log: h.log, Metrics: h.metrics})
}

// connectionRefused reports whether the connection was refused, which means that the machine runs but no process listens.
func connectionRefused(err error) bool { return errors.Is(err, syscall.ECONNREFUSED) }

// handler handles callers' requests; it implements callers.Handler.
type handler struct{ h *Host }

func (a handler) document() *config.Document {
	doc, _ := a.h.follower.Document()
	return doc
}

// Authenticate returns the identity that a bearer token belongs to.
func (a handler) Authenticate(token string) (callers.Identity, *fleet.Refusal) {
	c, ok := a.document().CallerByToken(token)
	switch {
	case ok:
		return callers.Identity{Caller: c.ID, Tenant: c.Tenant, Class: c.Class}, nil
	case !a.h.follower.HasLease(time.Now()):
		// A starting host has no document yet, and a stale document may lack a new caller. The answer must not be
		// unauthorized then, because callers do not retry after that.
		return callers.Identity{}, fleet.Refuse(fleet.CodeConfigurationStale, time.Second,
			"the host cannot confirm that its configuration is the newest; use another host")
	default:
		return callers.Identity{}, fleet.Refuse(fleet.CodeUnauthorized, 0,
			"the bearer token is missing or unknown; send Authorization: Bearer TOKEN")
	}
}

// Complete executes a completion.
func (a handler) Complete(ctx context.Context, c *callers.Completion) (callers.Answer, *fleet.Refusal) {
	return a.h.dispatch.Complete(ctx, c)
}

// Call executes a call of a plain service.
func (a handler) Call(ctx context.Context, c *callers.ServiceCall) (*callers.ServiceAnswer, *fleet.Refusal) {
	return a.h.dispatch.Call(ctx, c)
}

// Hosts returns the entry hosts to use.
func (a handler) Hosts(model string, service fleet.ServiceID) (callers.Hosts, *fleet.Refusal) {
	return a.h.advise(model, service)
}

// Models returns the declared models and adapters, sorted.
func (a handler) Models() []string {
	var out []string
	for _, m := range a.document().Models {
		out = append(out, string(m.Name))
		for _, ad := range m.Adapters {
			out = append(out, fleet.Target{Model: m.Name, Adapter: ad.Name}.String())
		}
	}
	slices.Sort(out)
	return out
}

// HostsHint tells callers to request the list of hosts again while this host is draining or has no lease.
func (a handler) HostsHint() string {
	if a.h.draining.Load() || !a.h.follower.HasLease(time.Now()) {
		return "ask-again"
	}
	return ""
}

// MaxBody returns the maximum size of a request body.
func (a handler) MaxBody() fleet.Bytes {
	if b := a.document().Limits.MaxBody; b > 0 {
		return b
	}
	return defaultMaxBody
}

const defaultMaxBody = 4 * fleet.MiB
