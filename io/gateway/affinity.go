package gateway

import (
	"time"

	"go.uber.org/zap"

	"toucanway/core/affinity"
	"toucanway/core/balance"
	"toucanway/core/fleet"
)

// Log messages of streams that callers take up again.
const (
	logOrigin      = "stream is taken up again"
	logOriginsLost = "origins of streams cannot be recorded; they cannot be taken up again at other hosts"
)

// errUnknownOrigin means that a stream can't go on, since a server of another software version may have begun it.
var errUnknownOrigin = Errors.NewType("unknown-origin").New("the stream can't go on: it is not known which software version of the service began it")

// errNoSoftware means that no server of the software version is left that has begun a stream.
var errNoSoftware = Errors.NewType("no-software").New("the stream can't go on: no server of the software version that began it takes requests")

// constraint limits the servers that can take a request; the zero value allows all.
type constraint struct {
	// excluded holds the servers that the request must not be sent to again.
	excluded map[fleet.BackendID]bool
	// software is the software version of the servers that can go on with the request's stream; nil for any.
	software *fleet.SoftwareVersion
	// waiter is the request if it may have to wait for room; nil if it goes first.
	waiter *waiter
	// unlimited is set if servers with a rate limit don't count, since none may be granted.
	unlimited bool
}

// allowsSoftware reports whether a server of a software version can take the request.
func (c constraint) allowsSoftware(v fleet.SoftwareVersion) bool {
	return c.software == nil || *c.software == v
}

// constraint returns what limits the servers that can take the request, with the servers that it must not be sent to again.
func (x *exchange) constraint(excluded map[fleet.BackendID]bool) constraint {
	return constraint{excluded: excluded, software: x.software.Load()}
}

// isTakenUp reports whether the request takes up a stream of an earlier try of its caller.
func (x *exchange) isTakenUp() bool { return x.route.Resumable && x.info.LastEvent != "" }

// bindToOrigin finds out where the stream has begun that the request takes up, and binds the request to that service and version.
func (x *exchange) bindToOrigin() error {
	o, known := x.proxy.view.findOrigin(x.ctx, x.info.Resumes, x.route)
	x.proxy.cfg.Log.Info(logOrigin, zap.String("request", string(x.info.ID)), zap.String("resumes", string(x.info.Resumes)),
		zap.String("last-event", x.info.LastEvent), zap.Bool("known", known), zap.String("service", string(o.Service)),
		zap.String("software", string(o.Software)), zap.Duration("took-ms", time.Since(x.began)))
	if !known {
		return errUnknownOrigin
	}
	x.service = o.Service
	x.software.Store(&o.Software)
	if !x.proxy.view.canServe(o.Service, x.constraint(nil)) {
		return errNoSoftware
	}
	return nil
}

// bindToServer binds the request's stream to the software version of the server that sends its first event. The first events are recorded
// for other hosts, where the caller may take the stream up again.
func (x *exchange) bindToServer() {
	if x.software.Load() != nil {
		return
	}
	v := x.server.Software
	x.software.Store(&v)
	if x.route.Resumable {
		x.proxy.view.recordOrigin(x.info.ID, affinity.Origin{Service: x.service, Software: v})
	}
}

// canServe reports whether a service has a server that can take requests within a constraint, now or once a model is loaded there.
func (v *View) canServe(service fleet.ServiceID, k constraint) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return len(v.eligible(time.Now(), service, &balance.Request{Plain: true}, k)) > 0
}
