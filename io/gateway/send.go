package gateway

import (
	"context"
	"errors"
	"io"
	"time"

	"github.com/valyala/fasthttp"

	"toucanway/core/balance"
	"toucanway/core/registry"
	"toucanway/core/routes"
	"toucanway/io/backend"
)

// send sends the request to one server and passes its answer on. Without an error the answer is complete.
func (x *exchange) send(in *registry.Instance, ticket *balance.Ticket) (int, balance.Outcome, error) {
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	x.in.Header.CopyTo(&req.Header)
	req.SetBodyRaw(x.in.Body())
	left := time.Until(x.until)
	x.p.cfg.Dialect.Pass(&req.Header, Forward{
		Instance: in.ID, Deadline: left, Priority: x.route.Priority, LastEvent: x.stream.last,
	})
	// The context's end closes the connection, which makes the server drop the request.
	up, err := x.p.cfg.Pool.Do(x.ctx, in.Address, req, backend.Options{
		Silence: left + time.Second, Once: !x.route.Idempotent(), Dial: connectTimeout,
		Belongs: func(h *fasthttp.ResponseHeader) bool {
			id := x.p.cfg.Dialect.Answer(h).ID
			return id == "" || id == x.meta.ID
		},
	})
	if backend.IsNotSent(err) {
		return 0, x.lost(balance.Unconnected), err
	}
	x.sends++
	x.tried[in.ID] = true
	if err != nil {
		x.mayHaveRun = true
		return 0, x.lost(balance.Lost), err
	}
	defer up.Close()
	return x.receive(up, ticket)
}

// callerLeft says whether the caller has closed its connection.
func (x *exchange) callerLeft() bool {
	return errors.Is(x.ctx.Err(), context.Canceled) && !errors.Is(context.Cause(x.ctx), errStopping)
}

// lost returns the outcome of a send without an answer: it doesn't tell against the server when the caller has left.
func (x *exchange) lost(o balance.Outcome) balance.Outcome {
	if errors.Is(x.ctx.Err(), context.Canceled) {
		return balance.Withdrawn
	}
	return o
}

// receive passes on an answer whose head has arrived, or says why it can't stand.
func (x *exchange) receive(up *backend.Exchange, ticket *balance.Ticket) (int, balance.Outcome, error) {
	head := x.p.cfg.Dialect.Answer(&up.Response.Header)
	status := up.Response.StatusCode()
	if head.NotRun || head.Misdirected {
		// The body is read so that the connection can be used again; an error shows up there.
		_, _ = io.Copy(io.Discard, io.LimitReader(up, maxAnswer))
		if head.Misdirected && head.Instance != "" && head.Instance != ticket.Instance {
			// Another server has the address now.
			return status, balance.Unconnected, errNotRun
		}
		return status, balance.Refused, errNotRun
	}
	x.mayHaveRun = true
	success := status >= 200 && status < 300
	if success && !head.Signed {
		up.Abort()
		return status, x.lost(balance.Lost), errUnsigned
	}
	if success && x.route.Kind == routes.Streaming {
		return x.relayStream(up, ticket, status)
	}
	if x.stream.begun {
		return status, balance.Failed, errFailed
	}
	body, err := io.ReadAll(io.LimitReader(up, maxAnswer+1))
	if err != nil || len(body) > maxAnswer {
		up.Abort()
		return status, x.lost(balance.Lost), errCut
	}
	x.p.view.first(ticket)
	out := balance.Answered
	a := &answer{body: body}
	passHeader(&a.header, &up.Response.Header)
	a.header.SetContentLength(len(body))
	if status >= 500 {
		out = balance.Failed
		if x.again(errFailed) && x.p.view.another(x.service, &x.ask, x.tried) {
			x.failure = a
			return status, out, errFailed
		}
	}
	x.conn.write(&a.header, body)
	return status, out, nil
}
