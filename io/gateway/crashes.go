package gateway

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/joomcode/errorx"
	"github.com/valyala/fasthttp"
	"go.uber.org/zap"

	"toucanway/core/accounts"
	"toucanway/core/balance"
	"toucanway/core/crashes"
	"toucanway/core/registry"
	"toucanway/core/routes"
	"toucanway/io/backend"
)

// logServerCrashed is the message of the log line for a request that was in flight at a server that has crashed.
const logServerCrashed = "backend server crashed with a request in flight"

// poisonRequest is the code of refusals of requests with listed content.
const poisonRequest = "poison-request"

// poisonError means that a request has content that crashes backend servers.
type poisonError struct{ listing crashes.Listing }

func (e *poisonError) Error() string {
	return "requests with this content crashed several backend servers; change the request or send it again later"
}

// sharedParts returns the parts of the request's prompt that other requests may have too: all but the last one.
func (x *exchange) sharedParts() []crashes.Content {
	var out []crashes.Content
	for i := range len(x.info.Parts) - 1 {
		out = append(out, crashes.PromptPart(x.info.Parts[i].ID, i+1))
	}
	return out
}

// contents returns the contents by which the request may crash servers.
func (x *exchange) contents() []crashes.Content {
	h := &x.callerRequest.Header
	credential := h.Peek(fasthttp.HeaderAuthorization)
	if x.hidesKey {
		// The hash goes into reports and log lines, so that it must not depend on the key.
		credential = []byte(accounts.Name(x.account))
	}
	return append(x.sharedParts(), crashes.WholeRequest(h.Method(), h.RequestURI(), credential, x.callerRequest.Body()))
}

// tracksContents reports whether the contents of requests matter now, so that complete requests have to be hashed.
func (v *View) tracksContents() bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.evidence.IsTracking()
}

// refuses reports whether requests with some contents are refused.
func (v *View) refuses(contents []crashes.Content) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	_, listed := v.evidence.Listed(time.Now(), contents)
	return listed
}

// checkListed returns a poisonError if requests with the content of this one are refused.
func (x *exchange) checkListed() error {
	if x.isTrial {
		return nil
	}
	v := x.proxy.view
	if !v.tracksContents() {
		return nil
	}
	contents := x.contents()
	v.mu.Lock()
	defer v.mu.Unlock()
	now := time.Now()
	l, ok := v.evidence.Listed(now, contents)
	if !ok {
		return nil
	}
	if v.evidence.Admit(now, l, contents) {
		x.isTrial = true
		return nil
	}
	return &poisonError{l}
}

// recordEvidence records what an attempt tells of the content of the request.
func (x *exchange) recordEvidence(in *registry.Instance, status int, out balance.Outcome, err error) {
	v := x.proxy.view
	// The end of a connection can look like the end of a stream without events.
	empty := x.route.Kind == routes.Streaming && x.stream.eventCount == 0
	switch {
	case out == balance.Answered && err == nil && status >= 200 && status < 300 && !empty:
		if x.endsWithConnection {
			// It looks the same if the server has crashed.
			v.checkCrash(in, x.contents(), x.info, true)
			return
		}
		contentsOf := x.sharedParts
		if v.tracksContents() {
			contentsOf = x.contents
		}
		v.recordAnswer(contentsOf())
	case out == balance.Lost && x.ctx.Err() == nil && (errors.Is(err, errTruncated) || errorx.IsOfType(err, backend.ErrLost)):
		v.checkCrash(in, x.contents(), x.info, false)
	}
}

// recordAnswer records the complete answer to a request with the given contents.
func (v *View) recordAnswer(contents []crashes.Content) {
	v.mu.Lock()
	urgent := v.evidence.RecordAnswer(time.Now(), contents)
	v.mu.Unlock()
	if urgent {
		v.triggerReport()
	}
}

// checkCrash finds out whether a server that has ended the connection of an answer has crashed, and records that for the leader. Otherwise it
// records the answer if that seemed complete. It returns immediately.
func (v *View) checkCrash(in *registry.Instance, contents []crashes.Content, info RequestInfo, seemedComplete bool) {
	v.jobs.Run(func(ctx context.Context) {
		if !v.hasCrashed(ctx, in) {
			if seemedComplete && ctx.Err() == nil {
				v.recordAnswer(contents)
			}
			return
		}
		if !v.recordCrash(in, contents) {
			return
		}
		parts := make([]string, len(info.Parts))
		for i, p := range info.Parts {
			parts[i] = p.ID
		}
		v.cfg.Log.Info(logServerCrashed, zap.String("instance", string(in.ID)), zap.Uint64("incarnation", uint64(in.Incarnation)),
			zap.String("request", string(info.ID)), zap.Strings("parts", parts), zap.Stringers("contents", contents))
		v.triggerReport()
	})
}

// recordCrash records the crash of a server with a request in flight, and reports whether it was one: the server may have left as announced.
func (v *View) recordCrash(in *registry.Instance, contents []crashes.Content) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	current := v.instances[in.ID]
	if current == nil || current.Incarnation != in.Incarnation || current.State != registry.Ready {
		return false
	}
	v.evidence.RecordCrash(time.Now(), in.ID, in.Incarnation, contents)
	return true
}

// hasCrashed reports whether a server has crashed; one connection to it answers all concurrent calls.
func (v *View) hasCrashed(ctx context.Context, in *registry.Instance) bool {
	v.mu.Lock()
	known := v.evidence.HasCrashed(in.ID, in.Incarnation)
	v.mu.Unlock()
	if known {
		return true
	}
	refused, _, _ := v.crashChecks.Do(fmt.Sprintf("%s/%d", in.ID, in.Incarnation), func() (any, error) {
		return v.cfg.Pool.Refuses(ctx, in.Address, connectTimeout), nil
	})
	return refused == true
}
