package backend

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"time"

	"github.com/valyala/fasthttp"

	"toucanway/cmd/toucanway-lab/internal/wire"
	"toucanway/core/fleet"
	"toucanway/io/network"
)

const (
	// AnnounceInterval is the time between announcements.
	AnnounceInterval = time.Second
	// postTimeout is shorter than AnnounceInterval, so that an entry host that does not answer delays no later announcement.
	postTimeout = 800 * time.Millisecond
)

// Paths of the entry hosts' endpoint for backend servers.
const (
	pathAnnounce = "/v1/backend/announce"
	pathReport   = "/v1/backend/report"
	pathEvents   = "/v1/backend/events"
	pathLeave    = "/v1/backend/leave"
)

// Entry is a client that posts to one entry host.
type Entry struct {
	address string
	client  *fasthttp.HostClient
}

// NewEntry returns a client of the entry host at IP:PORT.
func NewEntry(n network.Network, address string) *Entry {
	return &Entry{address: address, client: &fasthttp.HostClient{
		Addr: address,
		DialTimeout: func(addr string, timeout time.Duration) (net.Conn, error) {
			if timeout <= 0 {
				timeout = postTimeout
			}
			ctx, cancel := context.WithTimeout(context.Background(), timeout)
			defer cancel()
			return n.Dial(ctx, addr)
		},
		NoDefaultUserAgentHeader:  true,
		MaxIdemponentCallAttempts: 1,
		MaxConns:                  2,
		MaxIdleConnDuration:       2 * AnnounceInterval,
	}}
}

// Announce posts the announcement of the backend server.
func (e *Entry) Announce(a fleet.Announcement) error { return e.post(pathAnnounce, a) }

// Report posts a load report.
func (e *Entry) Report(r fleet.LoadReport) error { return e.post(pathReport, r) }

// Events posts cache events.
func (e *Entry) Events(events []fleet.CacheEvent) error { return e.post(pathEvents, events) }

// Leave posts that the backend server accepts no more work.
func (e *Entry) Leave(l wire.Leave) error { return e.post(pathLeave, l) }

// Close closes the idle connections.
func (e *Entry) Close() { e.client.CloseIdleConnections() }

func (e *Entry) post(path string, message any) error {
	body, err := json.Marshal(message)
	if err != nil {
		return err
	}
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.Header.SetMethod(fasthttp.MethodPost)
	req.SetRequestURI("http://" + e.address + path)
	req.Header.SetContentType("application/json")
	req.SetBody(body)
	if err := e.client.DoTimeout(req, resp, postTimeout); err != nil {
		return fmt.Errorf("post %s to %s: %w", path, e.address, err)
	}
	if code := resp.StatusCode(); code/100 != 2 {
		return fmt.Errorf("post %s to %s: status %d: %s", path, e.address, code, resp.Body())
	}
	return nil
}

// Announce calls f with a client of an entry host, at once and at each AnnounceInterval, until the context ends.
func (l *Instance) Announce(ctx context.Context, n network.Network, address string, f func(e *Entry)) {
	l.Go(func(context.Context) {
		e := NewEntry(n, address)
		defer e.Close()
		t := time.NewTicker(AnnounceInterval)
		defer t.Stop()
		for ctx.Err() == nil {
			f(e)
			select {
			case <-t.C:
			case <-ctx.Done():
			}
		}
	})
}

// PostLeave posts the leave message to the entry hosts in order until one of them accepts it.
func PostLeave(n network.Network, entries []string, l wire.Leave) error {
	var errs []error
	for _, address := range entries {
		e := NewEntry(n, address)
		err := e.Leave(l)
		e.Close()
		if err == nil {
			return nil
		}
		errs = append(errs, err)
	}
	return errors.Join(errs...)
}
