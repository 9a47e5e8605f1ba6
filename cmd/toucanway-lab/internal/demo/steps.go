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
	// burstPerHost is the number of first requests that each entry host gets for a model that is not loaded.
	burstPerHost      = 3
	coldStartDeadline = 30 * time.Second
	callDeadline      = 20 * time.Second
	answerCalls       = 24
	outputTokens      = 24
)

// await polls until a condition holds or the step times out. The error names the condition.
func await(ctx context.Context, what string, ok func() bool) error {
	for !ok() {
		if err := pause.For(ctx, pollInterval); err != nil {
			return fmt.Errorf("while waiting until %s: %w", what, err)
		}
	}
	return nil
}

// readState calls f with the control state of a running host that has a valid lease, if there is one.
func (r *run) readState(f func(*control.State)) {
	for _, h := range r.live.RunningHosts() {
		if valid, runs := r.live.HasLease(h.ID, time.Now()); valid && runs && r.live.ReadState(h.ID, f) {
			return
		}
	}
}

// validLeases returns the number of running hosts with a valid lease.
func (r *run) validLeases() int {
	n := 0
	for _, h := range r.live.RunningHosts() {
		if valid, _ := r.live.HasLease(h.ID, time.Now()); valid {
			n++
		}
	}
	return n
}

// awaitStart waits until all hosts have leases and all backend servers are registered.
func (r *run) awaitStart(ctx context.Context) error {
	hosts := len(r.live.Settings.Hosts)
	servers := len(r.live.Engines) + len(r.live.Services)
	r.out.line("starting %d entry hosts in %d regions, %d engines and %d service servers",
		hosts, len(r.example().Regions), len(r.live.Engines), len(r.live.Services))
	if err := await(ctx, "hosts have their leases", func() bool { return r.validLeases() == hosts }); err != nil {
		return err
	}
	err := await(ctx, "backend servers are registered", func() bool {
		n := 0
		r.readState(func(s *control.State) { n = len(s.Backends()) })
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

// submitText submits a document as an operator and returns the time until it was in force on all hosts.
func (r *run) submitText(ctx context.Context, operator, text string) (time.Duration, error) {
	began := time.Now()
	op := r.operator(operator)
	defer op.Close()
	a, err := op.Submit(ctx, operators.SubmitRequest{Base: r.version, Text: text})
	if err != nil {
		return 0, err
	}
	r.history.Add(history.DocumentAccepted{Version: fleet.DocumentVersion(a.Version), Digest: control.Digest(text)})
	r.version, r.text = a.Version, text
	return time.Since(began), nil
}

// submitFirst submits the first document and waits until a pinned model of it is ready.
func (r *run) submitFirst(ctx context.Context) error {
	took, err := r.submitText(ctx, r.example().Operators[0].ID, r.text)
	if err != nil {
		return err
	}
	r.out.line("document version %d (%d lines, %d models) is in force on all hosts after %v",
		r.version, strings.Count(r.text, "\n"), len(r.example().Tasks)*len(r.example().Groups), took.Round(time.Millisecond))
	first := r.organisation.Models("quick-chat")[0]
	return await(ctx, "the first pinned model is ready", func() bool { return r.readyReplicas(first) > 0 })
}

// readyReplicas returns the number of ready replicas of a model.
func (r *run) readyReplicas(m fleet.ModelID) int {
	n := 0
	r.readState(func(s *control.State) {
		for _, replica := range s.Replicas(m) {
			if replica.State == control.ReplicaReady {
				n++
			}
		}
	})
	return n
}

// prompt returns a prompt that a stand-in engine answers with output tokens.
func prompt(key string, output int) string {
	return "which outlets are next " + tokens.KeyMark(key) + " " + tokens.LengthMark(output)
}

// coldStartModels sends first requests for three models that are not loaded to all hosts at once.
func (r *run) coldStartModels(ctx context.Context) error {
	var g errgroup.Group
	var mu sync.Mutex
	for _, task := range []string{"quick-chat", "visit-summary", "day-review"} {
		models := r.organisation.Models(task)
		g.Go(func() error {
			cold := r.sendFirstRequests(ctx, models[len(models)/2])
			mu.Lock()
			r.coldStarts = append(r.coldStarts, cold)
			mu.Unlock()
			if cold.answered == 0 {
				return fmt.Errorf("none of the %d first requests for %s was answered", cold.requests, cold.model)
			}
			r.out.line("cold start of %s: %d of %d first requests at %d hosts answered, first token after %v to %v", cold.model, cold.answered,
				cold.requests, len(r.live.Settings.Hosts), cold.minFirstToken.Round(time.Millisecond), cold.maxFirstToken.Round(time.Millisecond))
			return nil
		})
	}
	err := g.Wait()
	slices.SortFunc(r.coldStarts, func(a, b coldStart) int { return strings.Compare(string(a.model), string(b.model)) })
	return err
}

// sendFirstRequests sends the first requests for one model to all hosts at once and waits for their answers.
func (r *run) sendFirstRequests(ctx context.Context, m fleet.ModelID) coldStart {
	cold := coldStart{model: m}
	var g errgroup.Group
	var mu sync.Mutex
	for i, h := range r.live.Settings.Hosts {
		c := r.caller(i/2, r.organisation.Credential("visit-app", i/2), deployment.CallerAddress(h))
		for n := range burstPerHost {
			cold.requests++
			key := fmt.Sprintf("wake-%s-%d-%d", m, i, n)
			g.Go(func() error {
				o := c.Do(ctx, &caller.Request{
					Key: history.Key(key), Target: fleet.Target{Model: m}, Prompt: prompt(key, outputTokens),
					MaxTokens: 2 * outputTokens, Stream: true, Deadline: coldStartDeadline,
				})
				r.addOutcome("wake", &o)
				mu.Lock()
				defer mu.Unlock()
				if o.Answered && o.WrongReason == "" {
					if cold.answered == 0 || o.FirstToken < cold.minFirstToken {
						cold.minFirstToken = o.FirstToken
					}
					cold.maxFirstToken = max(cold.maxFirstToken, o.FirstToken)
					cold.answered++
				}
				return nil
			})
		}
	}
	_ = g.Wait()
	return cold
}

// streamAnswers requests streamed answers of a loaded model, half of them with an adapter.
func (r *run) streamAnswers(ctx context.Context) error {
	m := r.organisation.Models("quick-chat")[0]
	var g errgroup.Group
	var mu sync.Mutex
	answered, tokenCount := 0, 0
	for i := range answerCalls {
		region := i % len(r.example().Regions)
		c := r.caller(region, r.organisation.Credential("chat-app", region))
		key := fmt.Sprintf("answer-%d", i)
		t := fleet.Target{Model: m}
		if i%2 == 1 {
			t.Adapter = r.organisation.Adapter(m, "quick-chat", i)
		}
		g.Go(func() error {
			o := c.Do(ctx, &caller.Request{
				Key: history.Key(key), Target: t, Prompt: prompt(key, outputTokens), MaxTokens: 2 * outputTokens, Stream: true,
				Deadline: callDeadline,
			})
			r.addOutcome("chat-streamed", &o)
			mu.Lock()
			defer mu.Unlock()
			if o.Answered && o.WrongReason == "" {
				answered++
				tokenCount += o.Tokens
			}
			return nil
		})
	}
	_ = g.Wait()
	if answered == 0 {
		return errors.New("none of the streamed requests was answered")
	}
	r.out.line("streamed %d of %d answers, %d tokens, half of them with an adapter that had to be loaded", answered, answerCalls, tokenCount)
	return nil
}

// repeatOrder sends the same order twice concurrently and a third time later, to hosts of different regions, and checks that
// it runs once.
func (r *run) repeatOrder(ctx context.Context) error {
	key := fmt.Sprintf("demo-order-%d", r.seed)
	r.orders = append(r.orders, key)
	hosts := r.live.Settings.Hosts
	send := func(n int) caller.Outcome {
		region := n % len(r.example().Regions)
		// All three have the credential of one tenant: the same salesperson repeats the order through another region.
		c := r.caller(region, r.organisation.Credential("order-app", 0), deployment.CallerAddress(hosts[2*region]))
		return c.Do(ctx, &caller.Request{
			Key: history.Key(key), NonIdempotent: true, Repetition: n, Service: "orders", Path: "/orders",
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
		r.addOutcome("order-demo", &outcomes[i])
		if !outcomes[i].Answered {
			return fmt.Errorf("order request %d was not answered: %+v %w", i+1, outcomes[i].Refusal, outcomes[i].Err)
		}
	}
	if runs := r.runCount(key); runs != 1 {
		return fmt.Errorf("the order ran %d times", runs)
	}
	r.out.line("order %s sent 3 times through 3 regions: answered 3 times, ran once", key)
	return nil
}

// runCount returns how often the services ran the order with a key.
func (r *run) runCount(key string) int {
	n := 0
	for _, s := range r.live.Services {
		n += s.Counts()[key]
	}
	return n
}

// changeDocument changes the models section of the document, and checks that a submission based on the version before is
// refused as a conflict.
func (r *run) changeDocument(ctx context.Context) error {
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
		return fmt.Errorf("a submission based on version %d was not refused as a conflict: %w", old, err)
	}
	r.out.line("dewi's submission based on version %d is refused: conflict with version %d", old, refused.Version)
	return nil
}

// drainEngine makes an engine with a ready replica leave, and waits until the control state shows that it leaves and its requests
// have ended.
func (r *run) drainEngine(ctx context.Context) error {
	var id fleet.BackendID
	r.readState(func(s *control.State) {
		for _, replica := range s.Replicas(r.organisation.Models("quick-chat")[0]) {
			if replica.State == control.ReplicaReady {
				id = replica.Backend
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
		r.readState(func(s *control.State) {
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

// crashVoter stops a voter as a crash does, sends requests while it is down, and restarts it from its files.
func (r *run) crashVoter(ctx context.Context) error {
	h := r.live.Settings.Hosts[2]
	if err := r.live.Crash(h); err != nil {
		return err
	}
	r.out.line("killed entry host %s (voter)", h.ID)
	c := r.caller(1, r.organisation.Credential("chat-app", 1))
	for n := range 3 {
		key := fmt.Sprintf("without-%d", n)
		o := c.Do(ctx, &caller.Request{
			Key: history.Key(key), Target: fleet.Target{Model: r.organisation.Models("quick-chat")[0]}, Prompt: prompt(key, outputTokens),
			MaxTokens: 2 * outputTokens, Stream: true, Deadline: callDeadline,
		})
		r.addOutcome("chat-streamed", &o)
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
	// The checker's rules for a new document and for a leaving engine apply only from a time limit on, so the history has to go
	// on for at least that long.
	return pause.For(ctx, live.DeadlineTolerance)
}
