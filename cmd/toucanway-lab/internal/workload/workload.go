package workload

import (
	"container/heap"
	"encoding/json"
	"fmt"
	"iter"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"time"

	"toucanway/cmd/toucanway-lab/internal/caller"
	"toucanway/cmd/toucanway-lab/internal/examples"
	"toucanway/cmd/toucanway-lab/internal/history"
	"toucanway/cmd/toucanway-lab/internal/load"
	"toucanway/cmd/toucanway-lab/internal/tokens"
	"toucanway/core/fleet"
)

const (
	// stragglerPart is the part of model calls that run many times longer than the others.
	stragglerPart   = 0.05
	stragglerFactor = 20
	maxOutput       = 4000
	// resendPart is the part of non-idempotent calls that the person behind them sends again.
	resendPart = 0.1
	// adapterPart is the part of model calls that name an adapter.
	adapterPart = 0.3
	// activePart of the models get busyPart of the calls; the others are mostly idle.
	activePart = 0.1
	busyPart   = 0.9
	// prefixWords is the length of the instructions that all prompts of a target begin with.
	prefixWords = 64
	// burstDeadline leaves the first requests of a sleeping model time for its load.
	burstDeadline = 30 * time.Second
)

// Settings describe a workload; zero fields mean the organisation's own numbers.
type Settings struct {
	Seed     uint64
	Duration time.Duration
	// Rate is the mean number of calls a second, without bursts and resends.
	Rate float64
	// Callers is the number of callers.
	Callers int
	// BurstEvery is the time between bursts of first requests for an idle model, and BurstSize their number.
	BurstEvery time.Duration
	BurstSize  int
	// MaxOutput bounds the tokens of one answer.
	MaxOutput int
	// Steady switches the swings of the rate off.
	Steady bool
}

// Call is one kind of call of an organisation.
type Call struct {
	Label string
	// Weight is the part of the calls that are of this kind.
	Weight float64
	// Role is the part of the caller's id that callers of this kind have in common.
	Role     string
	Deadline time.Duration
	// Task is the kind of model; Prompt and Output are mean numbers of tokens.
	Task           string
	Prompt, Output int
	Stream         bool
	Service        fleet.ServiceID
	Method, Path   string
	Once           bool
}

// Organisation is who calls.
type Organisation struct {
	Name    string
	Example *examples.Organisation
	Calls   []Call
}

// KopiLintasData is the route sales assistant across Java.
func KopiLintasData() Organisation {
	return Organisation{Name: "kopi", Example: examples.KopiLintasData(), Calls: []Call{
		{Label: "visit-summary", Weight: 0.17, Role: "visit-app", Deadline: 20 * time.Second, Task: "visit-summary", Prompt: 200, Output: 120, Stream: true},
		{Label: "order-suggestion", Weight: 0.2, Role: "order-app", Deadline: 10 * time.Second, Task: "order-suggestion", Prompt: 150, Output: 60},
		{Label: "chat", Weight: 0.3, Role: "chat-app", Deadline: 10 * time.Second, Task: "quick-chat", Prompt: 30, Output: 30, Stream: true},
		{Label: "day-review", Weight: 0.03, Role: "depot-review", Deadline: 60 * time.Second, Task: "day-review", Prompt: 400, Output: 300, Stream: true},
		{Label: "order", Weight: 0.15, Role: "order-app", Deadline: 10 * time.Second, Service: "orders", Path: "/orders", Once: true},
		{Label: "price", Weight: 0.15, Role: "chat-app", Deadline: 5 * time.Second, Service: "prices", Method: http.MethodGet, Path: "/prices"},
	}}
}

// Asociacion is the association of audit firms.
func Asociacion() Organisation {
	return Organisation{Name: "asociacion", Example: examples.Asociacion(), Calls: []Call{
		{Label: "draft", Weight: 0.4, Role: "-drafting", Deadline: 60 * time.Second, Task: "sampling-draft", Prompt: 400, Output: 400, Stream: true},
		{Label: "explain", Weight: 0.25, Role: "-explanations", Deadline: 20 * time.Second, Task: "item-explanation", Prompt: 150, Output: 120, Stream: true},
		{Label: "memo", Weight: 0.1, Role: "-partners", Deadline: 10 * time.Second, Task: "partner-review", Prompt: 200, Output: 80, Stream: true},
		{Label: "fieldwork", Weight: 0.1, Role: "-fieldwork", Deadline: 20 * time.Second, Task: "fieldwork-log", Prompt: 100, Output: 40, Stream: true},
		{Label: "selection", Weight: 0.1, Role: "-fieldwork", Deadline: 10 * time.Second, Service: "workpapers", Path: "/selections", Once: true},
		{Label: "sign-off", Weight: 0.05, Role: "-partners", Deadline: 10 * time.Second, Service: "workpapers", Path: "/sign-offs", Once: true},
	}}
}

func (s Settings) withDefaults() Settings {
	fill(&s.Duration, time.Minute)
	fill(&s.Rate, 20)
	fill(&s.Callers, 200)
	fill(&s.BurstEvery, 20*time.Second)
	fill(&s.BurstSize, 30)
	fill(&s.MaxOutput, maxOutput)
	return s
}

func fill[T int | float64 | time.Duration](v *T, standard T) {
	if *v == 0 {
		*v = standard
	}
}

// Models returns the models of a task, the busy ones first.
func (o Organisation) Models(task string) []fleet.ModelID {
	out := make([]fleet.ModelID, 0, len(o.Example.Groups))
	for _, g := range o.Example.Groups {
		out = append(out, fleet.ModelID(task+"-"+g))
	}
	return out
}

// Adapter returns an adapter of a model of a task by its number.
func (o Organisation) Adapter(m fleet.ModelID, task string, n int) fleet.AdapterID {
	group := strings.TrimPrefix(string(m), task+"-")
	return fleet.AdapterID(fmt.Sprintf("%s-%s-%03d", o.Example.Adapter, group, n%examples.FewestAdapters+1))
}

// Credential returns the token of a caller by its number. Numbers that are equal modulo the regions stand in one region.
func (o Organisation) Credential(role string, number int) string {
	var ids []string
	for _, t := range o.Example.Tenants {
		for _, c := range t.Callers {
			if strings.Contains(c.ID, role) {
				ids = append(ids, c.ID)
			}
		}
	}
	return o.Example.Token(ids[number%len(ids)])
}

// Plan returns the calls of an organisation in the order of their times.
func (o Organisation) Plan(s Settings) iter.Seq[load.Planned] {
	s = s.withDefaults()
	return func(yield func(load.Planned) bool) {
		g := &generator{Settings: s, org: o, random: rand.New(rand.NewPCG(s.Seed, 1))}
		g.swing = newSwing(s)
		g.next = g.gap(0)
		g.burst = s.BurstEvery / 2
		for {
			p, ok := g.step()
			if !ok || !yield(p) {
				return
			}
		}
	}
}

type generator struct {
	Settings
	org    Organisation
	random *rand.Rand
	swing  *swing
	// next and burst are the times of the next call and the next burst.
	next, burst time.Duration
	bursts      int
	count       int
	later       planHeap
}

// step returns the earliest planned call, after it has planned everything before it.
func (g *generator) step() (load.Planned, bool) {
	for {
		due := min(g.next, g.burst)
		if len(g.later) > 0 && g.later[0].At <= due {
			return heap.Pop(&g.later).(load.Planned), true
		}
		if due >= g.Duration {
			return load.Planned{}, false
		}
		if g.burst <= g.next {
			g.planBurst()
			continue
		}
		at := g.next
		g.next += g.gap(at)
		g.plan(at, g.call())
	}
}

// gap returns the time to the next call; calls are independent of each other at the present rate.
func (g *generator) gap(at time.Duration) time.Duration {
	rate := g.Rate * g.swing.factor(at)
	return time.Duration(g.random.ExpFloat64() / rate * float64(time.Second))
}

func (g *generator) call() Call {
	x := g.random.Float64()
	for _, c := range g.org.Calls {
		if x -= c.Weight; x < 0 {
			return c
		}
	}
	return g.org.Calls[len(g.org.Calls)-1]
}

// plan adds a call, and its resend if there is one.
func (g *generator) plan(at time.Duration, c Call) {
	from := g.random.IntN(g.Callers)
	g.add(at, from, g.request(c, g.target(c), from))
}

func (g *generator) add(at time.Duration, from int, r *caller.Request) {
	p := load.Planned{At: at, Caller: from, Request: r}
	heap.Push(&g.later, p)
	if r.Once && g.random.Float64() < resendPart {
		again := *r
		again.Resend = 1
		again.Label += "-resend"
		p.Request = &again
		p.At += time.Duration(g.random.Int64N(int64(3 * time.Second)))
		heap.Push(&g.later, p)
	}
}

// planBurst adds first requests for a model that was not called before, as long as there is one, from many callers.
func (g *generator) planBurst() {
	var c Call
	for c = g.call(); c.Service != ""; {
		c = g.call()
	}
	models := g.org.Models(c.Task)
	model := models[len(models)-1-g.bursts%len(models)]
	g.bursts++
	for range g.BurstSize {
		at := g.burst + time.Duration(g.random.Int64N(int64(200*time.Millisecond)))
		from := g.random.IntN(g.Callers)
		r := g.request(c, fleet.Target{Model: model}, from)
		r.Label = "burst"
		r.Deadline = max(r.Deadline, burstDeadline)
		g.add(at, from, r)
	}
	g.burst += g.BurstEvery
}

func (g *generator) target(c Call) fleet.Target {
	if c.Service != "" {
		return fleet.Target{}
	}
	models := g.org.Models(c.Task)
	active := max(int(float64(len(models))*activePart), 1)
	t := fleet.Target{Model: models[g.random.IntN(active)]}
	if g.random.Float64() >= busyPart {
		t.Model = models[g.random.IntN(len(models))]
	}
	if g.random.Float64() < adapterPart {
		t.Adapter = g.org.Adapter(t.Model, c.Task, g.random.IntN(examples.FewestAdapters))
	}
	return t
}

func (g *generator) request(c Call, t fleet.Target, from int) *caller.Request {
	g.count++
	r := &caller.Request{
		Key: history.Key(fmt.Sprintf("%s-%d-%d", g.org.Name, g.Seed, g.count)), Label: c.Label, Once: c.Once,
		Credential: g.org.Credential(c.Role, from), Deadline: c.Deadline,
	}
	if c.Service != "" {
		r.Service, r.Method, r.Path = c.Service, c.Method, c.Path
		r.Body, _ = json.Marshal(map[string]any{"key": r.Key, "quantity": 1 + g.random.IntN(20)})
		return r
	}
	output := max(int(float64(c.Output)*(0.5+g.random.Float64())), 1)
	if g.random.Float64() < stragglerPart {
		output = output * stragglerFactor
		r.Label += "-straggler"
	}
	output = min(output, g.MaxOutput)
	r.Target, r.Stream = t, c.Stream
	// Callers cannot tell which of their calls become stragglers, so the limit leaves room for one.
	r.MaxTokens = min(2*c.Output*stragglerFactor, g.MaxOutput)
	var b strings.Builder
	name := t.String()
	for i := range prefixWords {
		b.WriteString(name + "-" + strconv.Itoa(i) + " ")
	}
	for range max(int(float64(c.Prompt)*(0.5+g.random.Float64())), 1) {
		b.WriteString("w" + strconv.Itoa(g.random.IntN(10000)) + " ")
	}
	b.WriteString(tokens.KeyMark(string(r.Key)) + " " + tokens.Mark(output))
	r.Prompt = b.String()
	return r
}

// planHeap orders planned calls by time, and by key at equal times.
type planHeap []load.Planned

func (h planHeap) Len() int { return len(h) }
func (h planHeap) Less(i, j int) bool {
	if h[i].At != h[j].At {
		return h[i].At < h[j].At
	}
	return h[i].Request.Key < h[j].Request.Key
}
func (h planHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push adds an element at the end.
func (h *planHeap) Push(x any) { *h = append(*h, x.(load.Planned)) }

// Pop removes the last element.
func (h *planHeap) Pop() any {
	old := *h
	x := old[len(old)-1]
	*h = old[:len(old)-1]
	return x
}
