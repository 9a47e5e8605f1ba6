package workload

import (
	"container/heap"
	"encoding/json"
	"fmt"
	"iter"
	"math/rand/v2"
	"strconv"
	"strings"
	"time"

	"toucanway/cmd/toucanway-lab/internal/caller"
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
)

// Settings describe a workload; zero fields mean the organisation's own numbers.
type Settings struct {
	Seed     uint64
	Duration time.Duration
	// Rate is the mean number of calls a second, without bursts and resends.
	Rate float64
	// Callers is the number of callers.
	Callers int
	// Models and Adapters are the numbers of models and of adapters of each.
	Models, Adapters int
	// BurstEvery is the time between bursts of first requests for an idle model, and BurstSize their number.
	BurstEvery time.Duration
	BurstSize  int
	// Steady switches the swings of the rate off.
	Steady bool
}

// Call is one kind of call of an organisation.
type Call struct {
	Label string
	// Weight is the part of the calls that are of this kind.
	Weight     float64
	Credential string
	Deadline   time.Duration
	// Prompt and Output are mean numbers of tokens.
	Prompt, Output int
	Stream         bool
	Service        fleet.ServiceID
	Once           bool
}

// Organisation is who calls.
type Organisation struct {
	Name             string
	Models, Adapters int
	Calls            []Call
}

// Credentials of callers by priority.
const (
	KopiSales     = "kopi-sales"
	KopiDepot     = "kopi-depot"
	AuditPartner  = "audit-partner"
	AuditStaff    = "audit-staff"
	AuditDrafting = "audit-drafting"
)

// KopiLintasData is the route sales assistant across Java.
func KopiLintasData() Organisation {
	return Organisation{Name: "kopi", Models: 60, Adapters: 95, Calls: []Call{
		{Label: "visit-summary", Weight: 0.2, Credential: KopiDepot, Deadline: 20 * time.Second, Prompt: 200, Output: 120, Stream: true},
		{Label: "order-suggestion", Weight: 0.2, Credential: KopiSales, Deadline: 10 * time.Second, Prompt: 150, Output: 60},
		{Label: "chat", Weight: 0.3, Credential: KopiSales, Deadline: 10 * time.Second, Prompt: 30, Output: 30, Stream: true},
		{Label: "order", Weight: 0.15, Credential: KopiSales, Deadline: 10 * time.Second, Service: "orders", Once: true},
		{Label: "price", Weight: 0.15, Credential: KopiSales, Deadline: 5 * time.Second, Service: "prices"},
	}}
}

// Auditoria is the sampling service for audit firms.
func Auditoria() Organisation {
	return Organisation{Name: "audit", Models: 40, Adapters: 95, Calls: []Call{
		{Label: "draft", Weight: 0.4, Credential: AuditDrafting, Deadline: 60 * time.Second, Prompt: 400, Output: 400, Stream: true},
		{Label: "explain", Weight: 0.25, Credential: AuditStaff, Deadline: 20 * time.Second, Prompt: 150, Output: 120, Stream: true},
		{Label: "memo", Weight: 0.1, Credential: AuditPartner, Deadline: 10 * time.Second, Prompt: 200, Output: 80, Stream: true},
		{Label: "fieldwork", Weight: 0.2, Credential: AuditStaff, Deadline: 10 * time.Second, Service: "workpapers", Once: true},
		{Label: "sign-off", Weight: 0.05, Credential: AuditPartner, Deadline: 10 * time.Second, Service: "workpapers", Once: true},
	}}
}

func (s Settings) withDefaults(o Organisation) Settings {
	fill(&s.Duration, time.Minute)
	fill(&s.Rate, 20)
	fill(&s.Callers, 200)
	fill(&s.Models, o.Models)
	fill(&s.Adapters, o.Adapters)
	fill(&s.BurstEvery, 20*time.Second)
	fill(&s.BurstSize, 30)
	return s
}

func fill[T int | float64 | time.Duration](v *T, standard T) {
	if *v == 0 {
		*v = standard
	}
}

// Model returns the name of an organisation's model by number, from 0.
func (o Organisation) Model(i int) fleet.ModelID {
	return fleet.ModelID(fmt.Sprintf("%s-m%03d", o.Name, i+1))
}

// Plan returns the calls of an organisation in the order of their times.
func (o Organisation) Plan(s Settings) iter.Seq[load.Planned] {
	s = s.withDefaults(o)
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
	g.add(at, g.request(c, g.target()))
}

func (g *generator) add(at time.Duration, r *caller.Request) {
	p := load.Planned{At: at, Caller: g.random.IntN(g.Callers), Request: r}
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
	model := g.org.Model(g.Models - 1 - g.bursts%g.Models)
	g.bursts++
	var c Call
	for c = g.call(); c.Service != ""; {
		c = g.call()
	}
	for range g.BurstSize {
		at := g.burst + time.Duration(g.random.Int64N(int64(200*time.Millisecond)))
		r := g.request(c, fleet.Target{Model: model})
		r.Label = "burst"
		g.add(at, r)
	}
	g.burst += g.BurstEvery
}

func (g *generator) target() fleet.Target {
	active := max(int(float64(g.Models)*activePart), 1)
	t := fleet.Target{Model: g.org.Model(g.random.IntN(active))}
	if g.random.Float64() >= busyPart {
		t.Model = g.org.Model(g.random.IntN(g.Models))
	}
	if g.Adapters > 0 && g.random.Float64() < adapterPart {
		t.Adapter = fleet.AdapterID(fmt.Sprintf("a%03d", g.random.IntN(g.Adapters)+1))
	}
	return t
}

func (g *generator) request(c Call, t fleet.Target) *caller.Request {
	g.count++
	r := &caller.Request{
		Key: history.Key(fmt.Sprintf("%s-%d-%d", g.org.Name, g.Seed, g.count)), Label: c.Label, Once: c.Once,
		Credential: c.Credential, Deadline: c.Deadline,
	}
	if c.Service != "" {
		r.Service, r.Path = c.Service, "/"+c.Label
		r.Body, _ = json.Marshal(map[string]any{"key": r.Key, "quantity": 1 + g.random.IntN(20)})
		return r
	}
	output := max(int(float64(c.Output)*(0.5+g.random.Float64())), 1)
	if g.random.Float64() < stragglerPart {
		output = min(output*stragglerFactor, maxOutput)
		r.Label += "-straggler"
	}
	r.Target, r.Stream = t, c.Stream
	// Callers cannot tell which of their calls become stragglers, so the limit leaves room for one.
	r.MaxTokens = min(2*c.Output*stragglerFactor, maxOutput)
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
