package caller

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/valyala/fasthttp"

	"toucanway/cmd/toucanway-lab/internal/backend"
	"toucanway/cmd/toucanway-lab/internal/history"
	"toucanway/cmd/toucanway-lab/internal/memnet"
	"toucanway/cmd/toucanway-lab/internal/tokens"
	"toucanway/cmd/toucanway-lab/internal/wire"
	"toucanway/core/fleet"
)

const (
	hostA = "10.0.0.1:80"
	hostB = "10.0.0.2:80"
)

// host is a scripted entry host. Each request gets the next answer; the last answer repeats.
type host struct {
	answers []func(*fasthttp.RequestCtx)
	keys    []string
}

func (h *host) handle(ctx *fasthttp.RequestCtx) {
	h.keys = append(h.keys, string(ctx.Request.Header.Peek(wire.HeaderIdempotency)))
	f := h.answers[0]
	if len(h.answers) > 1 {
		h.answers = h.answers[1:]
	}
	f(ctx)
}

// runWithHosts runs a test in synthetic time with a client and scripted entry hosts, given by their addresses.
func runWithHosts(t *testing.T, s Settings, hosts map[string]*host, test func(*testing.T, *Client, *memnet.Network)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		net := memnet.New(memnet.Settings{})
		s.Network = net.Host("10.9.0.1")
		for address, h := range hosts {
			instance, err := backend.Listen(net.Host(strings.TrimSuffix(address, ":80")), address)
			require.NoError(t, err)
			instance.Serve(h.handle)
			t.Cleanup(func() {
				instance.Abort()
				require.NoError(t, instance.Wait())
				time.Sleep(backend.FasthttpCleanupTime)
			})
		}
		c := New(s)
		defer c.Close()
		test(t, c, net)
	})
}

// refusal answers with a refusal that says that the request was not run.
func refusal(code fleet.Code, retryAfter time.Duration) func(*fasthttp.RequestCtx) {
	return func(ctx *fasthttp.RequestCtx) {
		backend.WriteJSON(ctx, 503, wire.ErrorBody{Error: wire.ErrorDetail{
			Code: code, Execution: fleet.NotRun, RetryAfterMs: retryAfter.Milliseconds(),
		}})
	}
}

// stream answers with one chunk for each text, followed by ending.
func stream(ending string, texts ...string) func(*fasthttp.RequestCtx) {
	return func(ctx *fasthttp.RequestCtx) {
		var b strings.Builder
		for _, text := range texts {
			data, _ := json.Marshal(wire.Chunk{ID: "r", Choices: []wire.Choice{{Text: text}}})
			fmt.Fprintf(&b, "data: %s\n\n", data)
		}
		ctx.SetBodyString(b.String() + ending)
	}
}

func request() *Request {
	return &Request{
		Key: "k", Target: fleet.Target{Model: "m"}, Prompt: tokens.LengthMark(3), Stream: true, Deadline: 2 * time.Second,
	}
}

// token returns the i-th token of the correct answer to request.
func token(i int) string { return tokens.Token(fleet.Target{Model: "m"}, tokens.LengthMark(3), i) }

// Guards against wrong answers that pass verification, right answers that do not, and truncated streams that count as
// answered.
func TestAnswerVerification(t *testing.T) {
	const done = "data: [DONE]\n\n"
	cases := map[string]struct {
		answer             func(*fasthttp.RequestCtx)
		answered, verified bool
	}{
		"whole":                           {answer: stream(done, token(0), token(1), token(2)), answered: true, verified: true},
		"all tokens in one chunk":         {answer: stream(done, token(0)+token(1)+token(2)), answered: true, verified: true},
		"repeated token":                  {answer: stream(done, token(0), token(0), token(1), token(2)), answered: true},
		"missing token":                   {answer: stream(done, token(0), token(2)), answered: true},
		"too short":                       {answer: stream(done, token(0), token(1)), answered: true},
		"stream without its end mark":     {answer: stream("", token(0), token(1), token(2))},
		"stream that ends with a refusal": {answer: stream("data: {\"error\":{\"code\":\"outcome-unknown\"}}\n\n", token(0))},
		"chunk of another request":        {answer: stream("data: {\"id\":\"x\",\"choices\":[]}\n\n"+done, token(0), token(1), token(2)), answered: true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			hosts := map[string]*host{hostA: {answers: []func(*fasthttp.RequestCtx){c.answer}}}
			s := Settings{Hosts: []string{hostA}, KnownHostsOnly: true, MaxAttempts: 1}
			runWithHosts(t, s, hosts, func(t *testing.T, client *Client, _ *memnet.Network) {
				o := client.Do(t.Context(), request())
				require.Equal(t, c.answered, o.Answered, "%v", o.Err)
				require.Equal(t, c.verified, o.Answered && o.WrongReason == "", o.WrongReason)
			})
		})
	}
}

// Guards against retries that ignore retry_after_ms, final refusals or the deadline, and non-idempotent requests that are
// retried without their key.
func TestRetry(t *testing.T) {
	ok := stream("data: [DONE]\n\n", token(0), token(1), token(2))
	cases := map[string]struct {
		answers  []func(*fasthttp.RequestCtx)
		attempts int
		answered bool
		minTotal time.Duration
	}{
		"temporary refusal with retry_after_ms": {answers: []func(*fasthttp.RequestCtx){refusal(fleet.CodeQueueFull, time.Second), ok}, attempts: 2, answered: true, minTotal: time.Second},
		"final refusal":                         {answers: []func(*fasthttp.RequestCtx){refusal(fleet.CodePoisonRequest, 0)}, attempts: 1},
		"retry_after_ms beyond the deadline":    {answers: []func(*fasthttp.RequestCtx){refusal(fleet.CodeQueueFull, 3*time.Second)}, attempts: 1},
		"attempts used up":                      {answers: []func(*fasthttp.RequestCtx){refusal(fleet.CodeQueueFull, 0)}, attempts: 4},
		"truncated stream, then an answer":      {answers: []func(*fasthttp.RequestCtx){stream("", token(0)), ok}, attempts: 2, answered: true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			h := &host{answers: c.answers}
			s := Settings{Hosts: []string{hostA}, KnownHostsOnly: true, MaxAttempts: 4, History: history.New(), Seed: 1}
			runWithHosts(t, s, map[string]*host{hostA: h}, func(t *testing.T, client *Client, _ *memnet.Network) {
				r := request()
				r.NonIdempotent = true
				o := client.Do(t.Context(), r)
				require.Equal(t, c.attempts, o.Attempts)
				require.Equal(t, c.answered, o.Answered)
				require.GreaterOrEqual(t, o.Total, c.minTotal)
				for _, key := range h.keys {
					require.Equal(t, "k", key)
				}
				require.Len(t, history.Filter[history.RequestInvoked](s.History.Records()), c.attempts)
			})
		})
	}
}

// Guards against advice that is not requested, not cached for its lifetime, or cached longer, and against requests that
// outlast their deadline when the advised host is isolated.
func TestAdviceAndFailover(t *testing.T) {
	adviceRequests := 0
	a := &host{answers: []func(*fasthttp.RequestCtx){func(ctx *fasthttp.RequestCtx) {
		if string(ctx.Path()) != "/v1/hosts" {
			ctx.Error("not advised", 500)
			return
		}
		adviceRequests++
		backend.WriteJSON(ctx, 200, wire.Advice{LifetimeMs: 5000, Hosts: []wire.AdvisedHost{{Address: hostB}}})
	}}}
	b := &host{answers: []func(*fasthttp.RequestCtx){stream("data: [DONE]\n\n", token(0), token(1), token(2))}}
	s := Settings{Hosts: []string{hostA}}
	runWithHosts(t, s, map[string]*host{hostA: a, hostB: b}, func(t *testing.T, c *Client, net *memnet.Network) {
		for range 3 {
			require.True(t, c.Do(t.Context(), request()).Answered)
		}
		require.Equal(t, 1, adviceRequests)
		time.Sleep(5 * time.Second)
		require.True(t, c.Do(t.Context(), request()).Answered)
		require.Equal(t, 2, adviceRequests)
		net.Isolate("10.0.0.2")
		start := time.Now()
		o := c.Do(t.Context(), request())
		require.False(t, o.Answered)
		require.LessOrEqual(t, time.Since(start), 2*time.Second+DefaultGrace)
	})
}
