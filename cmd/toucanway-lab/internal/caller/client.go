package caller

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"toucanway/cmd/toucanway-lab/internal/history"
	"toucanway/cmd/toucanway-lab/internal/wire"
	"toucanway/core/fleet"
	"toucanway/core/pause"
	"toucanway/io/network"
)

const (
	// DefaultMaxAttempts bounds the attempts of one request.
	DefaultMaxAttempts = 8
	// DefaultGrace is added to the timeout of each attempt, so that a refusal sent at the deadline still arrives.
	DefaultGrace = 250 * time.Millisecond
	// idleTimeout is the longest time between two events of a stream before the attempt fails.
	idleTimeout   = 10 * time.Second
	backoffBase   = 50 * time.Millisecond
	backoffMax    = time.Second
	adviceTimeout = time.Second
	// maxAdvice bounds the answers of /v1/hosts that a client caches; all are deleted when it is reached.
	maxAdvice = 1024
)

// Settings describe a caller; zero fields mean the defaults above.
type Settings struct {
	Network network.Network
	// Hosts are the configured addresses of entry hosts.
	Hosts []string
	// Credential is sent as bearer token.
	Credential  string
	MaxAttempts int
	Grace       time.Duration
	// KnownHostsOnly makes the client use only Hosts, without asking them at /v1/hosts for other hosts.
	KnownHostsOnly bool
	Seed           uint64
	History        *history.History
	// HostID returns the id to record in the history for an address; nil means that the address is the id.
	HostID func(address string) fleet.HostID
}

// Client is one caller. It is safe for concurrent use.
type Client struct {
	settings  Settings
	transport *http.Transport
	http      http.Client

	mu     sync.Mutex
	random *rand.Rand
	advice map[string]cachedAdvice
}

type cachedAdvice struct {
	hosts []string
	until time.Time
}

// New returns a caller with its own connection pool.
func New(s Settings) *Client {
	if s.MaxAttempts <= 0 {
		s.MaxAttempts = DefaultMaxAttempts
	}
	if s.Grace <= 0 {
		s.Grace = DefaultGrace
	}
	t := NewTransport(s.Network)
	return &Client{
		settings: s, transport: t, http: http.Client{Transport: t},
		random: rand.New(rand.NewPCG(s.Seed, 0)), advice: map[string]cachedAdvice{},
	}
}

// Close closes the idle connections.
func (c *Client) Close() { c.transport.CloseIdleConnections() }

// Do sends a request and retries it while its refusals allow that and its deadline has not passed.
func (c *Client) Do(ctx context.Context, r *Request) Outcome {
	return c.DoScheduled(ctx, r, time.Now())
}

// DoScheduled is like Do for a request that was intended to be sent at a given time; its deadline and latency count from then.
func (c *Client) DoScheduled(ctx context.Context, r *Request, intended time.Time) Outcome {
	var o Outcome
	failed := map[string]bool{}
	for n := 1; ; n++ {
		host := c.chooseHost(ctx, r, failed)
		remaining := r.Deadline - time.Since(intended)
		if remaining <= 0 {
			break
		}
		o.Attempts = n
		o.Refusal, o.Err = nil, nil
		c.attempt(ctx, r, host, n, remaining, intended, &o)
		if o.Answered || n >= c.settings.MaxAttempts || ctx.Err() != nil {
			break
		}
		wait, retry := c.retryDelay(&o, n)
		if !retry || time.Since(intended)+wait >= r.Deadline {
			break
		}
		if o.Refusal == nil {
			failed[host] = true
		}
		if pause.For(ctx, wait) != nil {
			break
		}
	}
	if o.Attempts == 0 {
		o.Err = errNoHost
	}
	o.Total = time.Since(intended)
	return o
}

// isFinal reports whether a retry cannot succeed after a refusal with this code.
func isFinal(code fleet.Code) bool {
	switch code {
	case fleet.CodeBadRequest, fleet.CodeUnauthorized, fleet.CodeUnknownModel, fleet.CodeUnknownService,
		fleet.CodeDeadlineTooShort, fleet.CodeDeadlineExceeded, fleet.CodePoisonRequest, fleet.CodeIdempotencyMismatch,
		fleet.CodeOutcomeUnknown, fleet.CodeTooLarge:
		return true
	default:
		return false
	}
}

// retryDelay returns the retry delay and whether the request may be retried. A retry is safe whatever the execution state is,
// since a request that must not run twice carries its idempotency key; one that may have run is retried only to learn its
// outcome.
func (c *Client) retryDelay(o *Outcome, n int) (time.Duration, bool) {
	backoff := min(backoffBase<<min(n, 10), backoffMax)
	c.mu.Lock()
	jitter := time.Duration(c.random.Int64N(int64(backoff)))
	c.mu.Unlock()
	if o.Refusal == nil {
		return jitter, true
	}
	if isFinal(o.Refusal.Code) {
		return 0, false
	}
	return max(time.Duration(o.Refusal.RetryAfterMs)*time.Millisecond, jitter), true
}

// chooseHost returns the address for the next attempt: a random advised host that has not failed yet, else a configured host that
// has not failed yet. If all have failed, it starts over.
func (c *Client) chooseHost(ctx context.Context, r *Request, failed map[string]bool) string {
	hosts := c.settings.Hosts
	if !c.settings.KnownHostsOnly {
		if advised := c.advisedHosts(ctx, r, failed); len(advised) > 0 {
			hosts = advised
		}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, list := range [][]string{hosts, c.settings.Hosts} {
		var untried []string
		for _, h := range list {
			if !failed[h] {
				untried = append(untried, h)
			}
		}
		if len(untried) > 0 {
			return untried[c.random.IntN(len(untried))]
		}
	}
	clear(failed)
	return hosts[c.random.IntN(len(hosts))]
}

// advisedHosts returns the hosts to use for a request, from the cached advice until that expires.
func (c *Client) advisedHosts(ctx context.Context, r *Request, failed map[string]bool) []string {
	query := "model=" + string(r.Target.Model)
	if r.Service != "" {
		query = "service=" + string(r.Service)
	}
	c.mu.Lock()
	cached := c.advice[query]
	order := c.random.Perm(len(c.settings.Hosts))
	c.mu.Unlock()
	if time.Now().Before(cached.until) {
		return cached.hosts
	}
	for _, i := range order {
		host := c.settings.Hosts[i]
		if failed[host] {
			continue
		}
		a, err := c.fetchAdvice(ctx, host, query, r)
		if err != nil {
			failed[host] = true
			continue
		}
		cached = cachedAdvice{until: time.Now().Add(a.Lifetime())}
		for _, h := range a.Hosts {
			cached.hosts = append(cached.hosts, h.Address)
		}
		c.mu.Lock()
		if len(c.advice) >= maxAdvice {
			clear(c.advice)
		}
		c.advice[query] = cached
		c.mu.Unlock()
		return cached.hosts
	}
	return nil
}

func (c *Client) fetchAdvice(ctx context.Context, host, query string, r *Request) (wire.Advice, error) {
	ctx, cancel := context.WithTimeout(ctx, adviceTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+host+"/v1/hosts?"+query, http.NoBody)
	if err != nil {
		return wire.Advice{}, err
	}
	c.authorize(req, r.Credential)
	resp, err := c.http.Do(req)
	if err != nil {
		return wire.Advice{}, err
	}
	defer resp.Body.Close()
	var a wire.Advice
	if err := decodeJSON(resp.Body, &a); err != nil {
		return wire.Advice{}, err
	}
	if resp.StatusCode != http.StatusOK || len(a.Hosts) == 0 {
		return wire.Advice{}, fmt.Errorf("%s advises no host for %s: status %d", host, query, resp.StatusCode)
	}
	return a, nil
}

func (c *Client) authorize(req *http.Request, credential string) {
	if credential = cmp.Or(credential, c.settings.Credential); credential != "" {
		req.Header.Set("Authorization", "Bearer "+credential)
	}
}

func (c *Client) hostID(address string) fleet.HostID {
	if c.settings.HostID == nil {
		return fleet.HostID(address)
	}
	return c.settings.HostID(address)
}

var (
	errIdle   = errors.New("timed out waiting for the next part of the answer")
	errNoHost = errors.New("no entry host was found before the deadline")
)
