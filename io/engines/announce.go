package engines

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/netip"
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"toucanway/core/fleet"
)

// RenewalInterval is the interval at which a backend server repeats its announcement.
const RenewalInterval = time.Second

const (
	maxAnnouncementBytes = 64 << 10
	maxEventsPerPost     = 4096
	maxNameBytes         = 128
	pathPrefix           = "/v1/backend/"
)

// Registry receives what backend servers post; it is safe for concurrent use.
type Registry interface {
	// Announce registers a backend server or renews it.
	Announce(a fleet.Announcement) error
	// Leave records that a backend server accepts no new work.
	Leave(id fleet.BackendID, incarnation fleet.Incarnation) error
	// Report records a load report.
	Report(r fleet.LoadReport)
	// Events records cache events.
	Events(events []fleet.CacheEvent)
}

// BackendHandler serves the HTTP paths for backend servers on the address for callers.
type BackendHandler struct {
	Registry Registry
}

// announceAnswer tells a backend server the interval of its announcements.
type announceAnswer struct {
	RenewalMs int64 `json:"renewal-ms"`
}

type leaveBody struct {
	ID          fleet.BackendID   `json:"id"`
	Incarnation fleet.Incarnation `json:"incarnation"`
}

type errorAnswer struct {
	Error string `json:"error"`
}

// Serve answers a request to a path for backend servers, and reports whether the path is one. Input that is malformed or too
// large has no effect.
func (i BackendHandler) Serve(ctx *fasthttp.RequestCtx) bool {
	name, ok := strings.CutPrefix(string(ctx.Path()), pathPrefix)
	if !ok {
		return false
	}
	err := i.handle(name, ctx)
	if err == nil {
		writeJSON(ctx, fasthttp.StatusOK, announceAnswer{RenewalMs: RenewalInterval.Milliseconds()})
		return true
	}
	status := fasthttp.StatusServiceUnavailable
	var bad *badInput
	if errors.As(err, &bad) {
		status = fasthttp.StatusBadRequest
	}
	writeJSON(ctx, status, errorAnswer{Error: err.Error()})
	return true
}

func writeJSON(ctx *fasthttp.RequestCtx, status int, v any) {
	out, err := json.Marshal(v)
	if err != nil {
		panic("engines: answer cannot be encoded: " + err.Error())
	}
	ctx.SetStatusCode(status)
	ctx.SetContentType("application/json")
	ctx.SetBody(out)
}

// badInput is the error for malformed or oversized input of a backend server.
type badInput struct{ msg string }

// Error returns what is wrong and how to correct it.
func (e *badInput) Error() string { return e.msg }

func badInputf(format string, args ...any) error { return &badInput{msg: fmt.Sprintf(format, args...)} }

func (i BackendHandler) handle(name string, ctx *fasthttp.RequestCtx) error {
	body := ctx.PostBody()
	if !ctx.IsPost() {
		return badInputf("the path accepts only POST")
	}
	if len(body) > maxAnnouncementBytes*16 {
		return badInputf("the body has %d bytes, more than the limit of %d", len(body), maxAnnouncementBytes*16)
	}
	switch name {
	case "announce":
		a, err := DecodeAnnouncement(body)
		if err != nil {
			return err
		}
		return i.Registry.Announce(a)
	case "leave":
		var l leaveBody
		if err := json.Unmarshal(body, &l); err != nil {
			return badInputf("the leave message is not valid JSON: %v", err)
		}
		return i.Registry.Leave(l.ID, l.Incarnation)
	case "report":
		var r fleet.LoadReport
		if err := json.Unmarshal(body, &r); err != nil {
			return badInputf("the load report is not valid JSON: %v", err)
		}
		i.Registry.Report(r)
		return nil
	case "events":
		var events []fleet.CacheEvent
		if err := json.Unmarshal(body, &events); err != nil {
			return badInputf("the cache events are not a valid JSON array: %v", err)
		}
		if len(events) > maxEventsPerPost {
			return badInputf("the body has %d cache events, more than the limit of %d; split them into several requests",
				len(events), maxEventsPerPost)
		}
		i.Registry.Events(events)
		return nil
	default:
		return badInputf("no such path: %s%s", pathPrefix, name)
	}
}

// DecodeAnnouncement decodes and checks an announcement.
func DecodeAnnouncement(body []byte) (fleet.Announcement, error) {
	var a fleet.Announcement
	if len(body) > maxAnnouncementBytes {
		return a, badInputf("the announcement has %d bytes, more than the limit of %d", len(body), maxAnnouncementBytes)
	}
	if err := json.Unmarshal(body, &a); err != nil {
		return a, badInputf("the announcement is not valid JSON: %v", err)
	}
	if a.ID == "" || len(a.ID) > maxNameBytes {
		return a, badInputf("the announcement's id must have 1 to %d bytes", maxNameBytes)
	}
	if _, err := netip.ParseAddrPort(a.Address); err != nil {
		return a, badInputf("the announced address %q must be IP:PORT", a.Address)
	}
	if a.Incarnation == 0 {
		return a, badInputf("the announcement needs an incarnation above 0 that rises with each restart")
	}
	if a.Place.Region == "" || a.Place.DataCentre == "" {
		return a, badInputf("the announcement needs place.region and place.data-centre")
	}
	if a.Slots < 1 || a.Slots > 1<<16 {
		return a, badInputf("the announcement's slots must be between 1 and 65536")
	}
	if a.Kind == fleet.KindEngine && a.Memory <= 0 {
		return a, badInputf("an engine's announcement needs its memory in bytes")
	}
	if a.Kind == fleet.KindService && len(a.Services) == 0 {
		return a, badInputf("a service's announcement must name its services")
	}
	return a, nil
}
