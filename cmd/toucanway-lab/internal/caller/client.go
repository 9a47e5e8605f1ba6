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
	// DefaultMaxAttempts bounds the sendings of one request.
	DefaultMaxAttempts = 8
	// DefaultGrace is added to the deadline of each attempt, so that a refusal at the deadline still arrives.
	DefaultGrace = 250 * time.Millisecond
	// idleLimit ends an answer that stops in the middle.
	idleLimit     = 10 * time.Second
	backoffBase   = 50 * time.Millisecond
	backoffMax    = time.Second
	adviceTimeout = time.Second
	// maxAdvice bounds the answers of /v1/hosts that a client keeps; all are dropped when it is reached.
	maxAdvice = 1024
)

// Settings describe a caller; zero fields mean the defaults above.
type Settings struct {
	Network network.Network
	// Hosts are the addresses of entry hosts that the caller knows from the start.
	Hosts []string
	// Credential is sent as bearer token.
	Credential  string
	MaxAttempts int
	Grace       time.Duration
	// NoAdvice sends requests to the known hosts without asking for better ones.
	NoAdvice bool
	Seed     uint64
	History  *history.History
	// HostID names the host behind an address in the history; nil means that addresses are names.
	HostID func(address string) fleet.HostID
}

// Client is one caller. It is safe for concurrent use.
type Client struct {
	settings  Settings
	transport *http.Transport
	http      http.Client

	mu     sync.Mutex
	random *rand.Rand
	advice map[string]keptAdvice
}

type keptAdvice struct {
	hosts []string
	until time.Time
}

// New returns a caller with connections of its own.
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
		random: rand.New(rand.NewPCG(s.Seed, 0)), advice: map[string]keptAdvice{},
	}
}

// Close closes the idle connections.
func (c *Client) Close() { c.transport.CloseIdleConnections() }

// Do sends a request, and sends it again as long as its refusals allow and its deadline leaves time.
func (c *Client) Do(ctx context.Context, r *Request) Outcome { return c.DoFrom(ctx, r, time.Now()) }

// DoFrom is Do for a request that should have been sent at a given time, from which its deadline and latency count.
func (c *Client) DoFrom(ctx context.Context, r *Request, intended time.Time) Outcome {
	var o Outcome
	tried := map[string]bool{}
	for n := 1; ; n++ {
		host := c.choose(ctx, r, tried)
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
		wait, again := c.again(&o, n)
		if !again || time.Since(intended)+wait >= r.Deadline {
			break
		}
		if o.Refusal == nil {
			tried[host] = true
		}
		if pause.For(ctx, wait) != nil {
			break
		}
	}
	if o.Attempts == 0 {
		o.Err = errNoTime
	}
	o.Total = time.Since(intended)
	return o
}

// final are the refusals that a resend cannot change.
func final(code fleet.Code) bool {
	switch code {
	case fleet.CodeBadRequest, fleet.CodeUnauthorized, fleet.CodeUnknownModel, fleet.CodeUnknownService,
		fleet.CodeDeadlineTooShort, fleet.CodeDeadlineExceeded, fleet.CodePoisonRequest, fleet.CodeIdempotencyMismatch,
		fleet.CodeOutcomeUnknown, fleet.CodeTooLarge:
		return true
	default:
		return false
	}
}

// again returns how long to wait before the next attempt, and whether there may be one. Resending is safe whatever the
// execution state is, since a request that must run once carries its idempotency key; one that may have run is sent
// again only to learn its outcome.
func (c *Client) again(o *Outcome, n int) (time.Duration, bool) {
	backoff := min(backoffBase<<min(n, 10), backoffMax)
	c.mu.Lock()
	jitter := time.Duration(c.random.Int64N(int64(backoff)))
	c.mu.Unlock()
	if o.Refusal == nil {
		return jitter, true
	}
	if final(o.Refusal.Code) {
		return 0, false
	}
	return max(time.Duration(o.Refusal.RetryAfterMs)*time.Millisecond, jitter), true
}

// choose returns the address for the next attempt: an advised host that has not failed yet, if there is one.
func (c *Client) choose(ctx context.Context, r *Request, tried map[string]bool) string {
	hosts := c.settings.Hosts
	if !c.settings.NoAdvice {
		if advised := c.advised(ctx, r, tried); len(advised) > 0 {
			hosts = advised
		}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, list := range [][]string{hosts, c.settings.Hosts} {
		var fresh []string
		for _, h := range list {
			if !tried[h] {
				fresh = append(fresh, h)
			}
		}
		if len(fresh) > 0 {
			return fresh[c.random.IntN(len(fresh))]
		}
	}
	clear(tried)
	return hosts[c.random.IntN(len(hosts))]
}

// advised returns the hosts to use for a request, from the kept answer while it lives.
func (c *Client) advised(ctx context.Context, r *Request, tried map[string]bool) []string {
	query := "model=" + string(r.Target.Model)
	if r.Service != "" {
		query = "service=" + string(r.Service)
	}
	c.mu.Lock()
	kept := c.advice[query]
	order := c.random.Perm(len(c.settings.Hosts))
	c.mu.Unlock()
	if time.Now().Before(kept.until) {
		return kept.hosts
	}
	for _, i := range order {
		host := c.settings.Hosts[i]
		if tried[host] {
			continue
		}
		a, err := c.ask(ctx, host, query, r)
		if err != nil {
			tried[host] = true
			continue
		}
		kept = keptAdvice{until: time.Now().Add(a.Lifetime())}
		for _, h := range a.Hosts {
			kept.hosts = append(kept.hosts, h.Address)
		}
		c.mu.Lock()
		if len(c.advice) >= maxAdvice {
			clear(c.advice)
		}
		c.advice[query] = kept
		c.mu.Unlock()
		return kept.hosts
	}
	return nil
}

func (c *Client) ask(ctx context.Context, host, query string, r *Request) (wire.Advice, error) {
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
	if err := decode(resp.Body, &a); err != nil {
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
	errIdle   = errors.New("no part of the answer came in time")
	errNoTime = errors.New("no entry host was found before the deadline")
)
