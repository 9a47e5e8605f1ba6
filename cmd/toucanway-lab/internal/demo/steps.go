package demo

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"toucanway/cmd/toucanway-lab/internal/caller"
	"toucanway/cmd/toucanway-lab/internal/deployment"
	"toucanway/cmd/toucanway-lab/internal/history"
	"toucanway/cmd/toucanway-lab/internal/live"
	"toucanway/cmd/toucanway-lab/internal/tokens"
	"toucanway/core/control"
	"toucanway/core/fleet"
	"toucanway/core/pause"
	"toucanway/io/operators"
)

const (
	pollInterval = 50 * time.Millisecond
	// burstPerHost is the number of first requests for a sleeping model at each entry host.
	burstPerHost = 3
	wakeDeadline = 30 * time.Second
	callDeadline = 20 * time.Second
	answerCalls  = 24
	outputTokens = 24
)

// await polls until a condition holds or the step's time is over.
func await(ctx context.Context, what string, ok func() bool) error {
	for !ok() {
		if err := pause.For(ctx, pollInterval); err != nil {
			return fmt.Errorf("%s: %w", what, err)
		}
	}
	return nil
}

// read calls f with the control state of a running host.
func (r *run) read(f func(*control.State)) {
	for _, h := range r.live.RunningHosts() {
		if valid, runs := r.live.HasLease(h.ID, time.Now()); valid && runs && r.live.Read(h.ID, f) {
			return
		}
	}
}

func (r *run) leases() int {
	n := 0
	for _, h := range r.live.RunningHosts() {
		if valid, _ := r.live.HasLease(h.ID, time.Now()); valid {
			n++
		}
	}
	return n
}

func (r *run) start(ctx context.Context) error {
	hosts := len(r.live.Settings.Hosts)
	servers := len(r.live.Engines) + len(r.live.Services)
	r.out.line("starting %d entry hosts in %d regions, %d engines and %d service servers",
		hosts, len(r.example().Regions), len(r.live.Engines), len(r.live.Services))
	if err := await(ctx, "hosts have their leases", func() bool { return r.leases() == hosts }); err != nil {
		return err
	}
	err := await(ctx, "backend servers are registered", func() bool {
		n := 0
		r.read(func(s *control.State) { n = len(s.Backends()) })
		return n == servers
	})
	if err != nil {
		return err
	}
	r.out.line("%d hosts hold leases; %d backend servers have announced themselves", hosts, servers)
	return nil
}

func (r *run) operator(id string) *operators.Client {
	return r.live.Operator(r.live.OperatorIP(), r.example().Token(id))
}

// submitText submits a document and returns the time until it was in force on all hosts.
func (r *run) submitText(ctx context.Context, by, text string) (time.Duration, error) {
	began := time.Now()
	op := r.operator(by)
	defer op.Close()
	a, err := op.Submit(ctx, operators.SubmitRequest{Base: r.version, Text: text})
	if err != nil {
		return 0, err
	}
	r.history.Add(history.DocumentAccepted{Version: fleet.DocumentVersion(a.Version), Digest: control.Digest(text)})
	r.version, r.text = a.Version, text
	return time.Since(began), nil
}

func (r *run) submit(ctx context.Context) error {
	took, err := r.submitText(ctx, r.example().Operators[0].ID, r.text)
	if err != nil {
		return err
	}
	r.out.line("document version %d (%d lines, %d models) is in force on all hosts after %v",
		r.version, strings.Count(r.text, "\n"), len(r.example().Tasks)*len(r.example().Groups), took.Round(time.Millisecond))
	first := r.org.Models("quick-chat")[0]
	return await(ctx, "the first pinned model is ready", func() bool { return r.ready(first) > 0 })
}

func (r *run) ready(m fleet.ModelID) int {
	n := 0
	r.read(func(s *control.State) {
		for _, one := range s.Replicas(m) {
			if one.State == control.ReplicaReady {
				n++
			}
		}
	})
	return n
}

// prompt returns a prompt whose answer has a given length.
func prompt(key string, output int) string {
	return "which outlets are next " + tokens.KeyMark(key) + " " + tokens.Mark(output)
}

// wake sends first requests for sleeping models to every host at once.
func (r *run) wake(ctx context.Context) error {
	var g errgroup.Group
	var mu sync.Mutex
	for _, task := range []string{"quick-chat", "visit-summary", "day-review"} {
		models := r.org.Models(task)
		g.Go(func() error {
			w := r.burst(ctx, models[len(models)/2])
			mu.Lock()
			r.wakes = append(r.wakes, w)
			mu.Unlock()
			if w.answered == 0 {
				return fmt.Errorf("none of the %d first requests for %s was answered", w.requests, w.model)
			}
			r.out.line("woke %s: %d of %d first requests at %d hosts answered, first token after %v to %v", w.model, w.answered,
				w.requests, len(r.live.Settings.Hosts), w.first.Round(time.Millisecond), w.last.Round(time.Millisecond))
			return nil
		})
	}
	err := g.Wait()
	slices.SortFunc(r.wakes, func(a, b wake) int { return strings.Compare(string(a.model), string(b.model)) })
	return err
}

func (r *run) burst(ctx context.Context, m fleet.ModelID) wake {
	w := wake{model: m}
	var g errgroup.Group
	var mu sync.Mutex
	for i, h := range r.live.Settings.Hosts {
		c := r.caller(i/2, r.org.Credential("visit-app", i/2), deployment.CallerAddress(h))
		for n := range burstPerHost {
			w.requests++
			key := fmt.Sprintf("wake-%s-%d-%d", m, i, n)
			g.Go(func() error {
				o := c.Do(ctx, &caller.Request{
					Key: history.Key(key), Target: fleet.Target{Model: m}, Prompt: prompt(key, outputTokens),
					MaxTokens: 2 * outputTokens, Stream: true, Deadline: wakeDeadline,
				})
				r.add("wake", &o)
				mu.Lock()
				defer mu.Unlock()
				if o.Answered && o.Wrong == "" {
					if w.answered == 0 || o.FirstToken < w.first {
						w.first = o.FirstToken
					}
					w.last = max(w.last, o.FirstToken)
					w.answered++
				}
				return nil
			})
		}
	}
	_ = g.Wait()
	return w
}

// answers streams answers of a loaded model and its adapters.
func (r *run) answers(ctx context.Context) error {
	m := r.org.Models("quick-chat")[0]
	var g errgroup.Group
	var mu sync.Mutex
	got, words := 0, 0
	for i := range answerCalls {
		region := i % len(r.example().Regions)
		c := r.caller(region, r.org.Credential("chat-app", region))
		key := fmt.Sprintf("answer-%d", i)
		t := fleet.Target{Model: m}
		if i%2 == 1 {
			t.Adapter = r.org.Adapter(m, "quick-chat", i)
		}
		g.Go(func() error {
			o := c.Do(ctx, &caller.Request{
				Key: history.Key(key), Target: t, Prompt: prompt(key, outputTokens), MaxTokens: 2 * outputTokens, Stream: true,
				Deadline: callDeadline,
			})
			r.add("chat-streamed", &o)
			mu.Lock()
			defer mu.Unlock()
			if o.Answered && o.Wrong == "" {
				got++
				words += o.Tokens
			}
			return nil
		})
	}
	_ = g.Wait()
	if got == 0 {
		return errors.New("no streamed answer came")
	}
	r.out.line("streamed %d of %d answers, %d tokens, half of them with an adapter that had to be loaded", got, answerCalls, words)
	return nil
}

// order sends one order twice at the same time and once more later, to hosts of different regions.
func (r *run) order(ctx context.Context) error {
	key := fmt.Sprintf("demo-order-%d", r.seed)
	r.orders = append(r.orders, key)
	hosts := r.live.Settings.Hosts
	send := func(n int) caller.Outcome {
		region := n % len(r.example().Regions)
		// One tenant: the same salesperson sends again by way of another region.
		c := r.caller(region, r.org.Credential("order-app", 0), deployment.CallerAddress(hosts[2*region]))
		return c.Do(ctx, &caller.Request{
			Key: history.Key(key), Once: true, Resend: n, Service: "orders", Path: "/orders",
			Body: []byte(fmt.Sprintf(`{"key":%q,"crates":2}`, key)), Deadline: callDeadline,
		})
	}
	var g errgroup.Group
	outcomes := make([]caller.Outcome, 3)
	for n := range 2 {
		g.Go(func() error {
			outcomes[n] = send(n)
			return nil
		})
	}
	_ = g.Wait()
	outcomes[2] = send(2)
	for i := range outcomes {
		r.add("order-demo", &outcomes[i])
		if !outcomes[i].Answered {
			return fmt.Errorf("sending %d of the order was not answered: %+v %w", i+1, outcomes[i].Refusal, outcomes[i].Err)
		}
	}
	if runs := r.runs(key); runs != 1 {
		return fmt.Errorf("the order ran %d times", runs)
	}
	r.out.line("order %s sent 3 times by way of 3 regions: answered 3 times, ran once", key)
	return nil
}

// runs returns how often the services ran a key.
func (r *run) runs(key string) int {
	n := 0
	for _, s := range r.live.Services {
		n += s.Counts()[key]
	}
	return n
}

// change edits the models' section, and shows that a change on an old version is refused.
func (r *run) change(ctx context.Context) error {
	old := r.version
	text := strings.Replace(r.text, "max-replicas: 6", "max-replicas: 5", 1)
	if text == r.text {
		return errors.New("the document has no line to change")
	}
	took, err := r.submitText(ctx, "rina", text)
	if err != nil {
		return err
	}
	r.out.line("version %d by rina (models): in force on all hosts after %v", r.version, took.Round(time.Millisecond))
	op := r.operator("dewi")
	defer op.Close()
	_, err = op.Submit(ctx, operators.SubmitRequest{Base: old, Text: strings.Replace(r.text, "weight: 4", "weight: 3", 1)})
	var refused *operators.Error
	if !errors.As(err, &refused) || refused.Code != operators.CodeConflict {
		return fmt.Errorf("a submission on version %d was not refused as a conflict: %w", old, err)
	}
	r.out.line("dewi's submission on version %d is refused: conflict with version %d", old, refused.Version)
	return nil
}

// drain has an engine with a ready replica leave, and waits until no host knows it.
func (r *run) drain(ctx context.Context) error {
	var id fleet.BackendID
	r.read(func(s *control.State) {
		for _, one := range s.Replicas(r.org.Models("quick-chat")[0]) {
			if one.State == control.ReplicaReady {
				id = one.Backend
			}
		}
	})
	e := r.live.Engines[id]
	if e == nil {
		return errors.New("no engine has a ready replica")
	}
	incarnation := e.Incarnation()
	if err := e.Leave(); err != nil {
		return err
	}
	r.history.Add(history.BackendLeft{Backend: id, Incarnation: incarnation})
	err := await(ctx, "the engine has finished its requests", func() bool {
		leaving := true
		r.read(func(s *control.State) {
			b, ok := s.Backend(id)
			leaving = !ok || b.Leaving
		})
		return leaving && len(e.Inventory().Running) == 0
	})
	if err != nil {
		return err
	}
	r.out.line("engine %s left: no new work, its requests have ended", id)
	return nil
}

// kill ends a voter as a crash does, goes on without it, and starts it again from its files.
func (r *run) kill(ctx context.Context) error {
	h := r.live.Settings.Hosts[2]
	if err := r.live.Crash(h); err != nil {
		return err
	}
	r.out.line("killed entry host %s (voter)", h.ID)
	c := r.caller(1, r.org.Credential("chat-app", 1))
	for n := range 3 {
		key := fmt.Sprintf("without-%d", n)
		o := c.Do(ctx, &caller.Request{
			Key: history.Key(key), Target: fleet.Target{Model: r.org.Models("quick-chat")[0]}, Prompt: prompt(key, outputTokens),
			MaxTokens: 2 * outputTokens, Stream: true, Deadline: callDeadline,
		})
		r.add("chat-streamed", &o)
		if !o.Answered {
			return fmt.Errorf("a call without %s was not answered: %+v %w", h.ID, o.Refusal, o.Err)
		}
	}
	r.out.line("callers of %s are answered by the other hosts", h.Place.Region)
	if err := r.live.StartHost(h.ID); err != nil {
		return err
	}
	err := await(ctx, "the host has a lease again", func() bool {
		valid, runs := r.live.HasLease(h.ID, time.Now())
		return valid && runs
	})
	if err != nil {
		return err
	}
	r.out.line("restarted %s from its files: it holds a lease and document version %d", h.ID, r.version)
	// The checker judges the document and the leave by limits after which records have to follow.
	return pause.For(ctx, live.CallerDelay)
}
