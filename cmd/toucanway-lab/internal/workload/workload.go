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
	// stragglerShare is the share of model calls with stragglerFactor times the usual output.
	stragglerShare  = 0.05
	stragglerFactor = 20
	maxOutput       = 4000
	// repetitionShare is the share of non-idempotent calls that the person behind them repeats with the same key.
	repetitionShare = 0.1
	// adapterShare is the share of model calls that use an adapter.
	adapterShare = 0.3
	// activeModelShare is the share of the models that get activeCallShare of the calls; the other models are mostly idle.
	activeModelShare = 0.1
	activeCallShare  = 0.9
	// prefixWords is the number of words of the common prefix of all prompts of a target.
	prefixWords = 64
	// burstDeadline is the least deadline of burst requests; it leaves time to load a model that is not loaded.
	burstDeadline = 30 * time.Second
)

// Settings describe a workload; zero fields mean the defaults in withDefaults.
type Settings struct {
	Seed     uint64
	Duration time.Duration
	// Rate is the mean number of calls per second, without bursts and repetitions.
	Rate float64
	// Callers is the number of callers.
	Callers int
	// BurstInterval is the time between bursts of requests for a model that is not loaded, and BurstSize the number of requests
	// in a burst.
	BurstInterval time.Duration
	BurstSize     int
	// MaxOutput bounds the number of tokens in one answer.
	MaxOutput int
	// Steady keeps the rate constant.
	Steady bool
}

// Call is one kind of call of an organisation.
type Call struct {
	Label string
	// Weight is the share of the calls that are of this kind.
	Weight float64
	// Role is a substring of the ids of the callers that make calls of this kind.
	Role     string
	Deadline time.Duration
	// Task is the kind of model; Prompt and Output are mean numbers of tokens.
	Task           string
	Prompt, Output int
	Stream         bool
	Service        fleet.ServiceID
	Method, Path   string
	NonIdempotent  bool
}

// Organisation is an example organisation with its kinds of calls.
type Organisation struct {
	Name    string
	Example *examples.Organisation
	Calls   []Call
}

// KopiLintasData returns the organisation with the route sales assistant across Java.
func KopiLintasData() Organisation {
	return Organisation{Name: "kopi", Example: examples.KopiLintasData(), Calls: []Call{
		{Label: "visit-summary", Weight: 0.17, Role: "visit-app", Deadline: 20 * time.Second, Task: "visit-summary", Prompt: 200, Output: 120, Stream: true},
		{Label: "order-suggestion", Weight: 0.2, Role: "order-app", Deadline: 10 * time.Second, Task: "order-suggestion", Prompt: 150, Output: 60},
		{Label: "chat", Weight: 0.3, Role: "chat-app", Deadline: 10 * time.Second, Task: "quick-chat", Prompt: 30, Output: 30, Stream: true},
		{Label: "day-review", Weight: 0.03, Role: "depot-review", Deadline: 60 * time.Second, Task: "day-review", Prompt: 400, Output: 300, Stream: true},
		{Label: "order", Weight: 0.15, Role: "order-app", Deadline: 10 * time.Second, Service: "orders", Path: "/orders", NonIdempotent: true},
		{Label: "price", Weight: 0.15, Role: "chat-app", Deadline: 5 * time.Second, Service: "prices", Method: http.MethodGet, Path: "/prices"},
	}}
}

// Asociacion returns the association of audit firms.
func Asociacion() Organisation {
	return Organisation{Name: "asociacion", Example: examples.Asociacion(), Calls: []Call{
		{Label: "draft", Weight: 0.4, Role: "-drafting", Deadline: 60 * time.Second, Task: "sampling-draft", Prompt: 400, Output: 400, Stream: true},
		{Label: "explain", Weight: 0.25, Role: "-explanations", Deadline: 20 * time.Second, Task: "item-explanation", Prompt: 150, Output: 120, Stream: true},
		{Label: "memo", Weight: 0.1, Role: "-partners", Deadline: 10 * time.Second, Task: "partner-review", Prompt: 200, Output: 80, Stream: true},
		{Label: "fieldwork", Weight: 0.1, Role: "-fieldwork", Deadline: 20 * time.Second, Task: "fieldwork-log", Prompt: 100, Output: 40, Stream: true},
		{Label: "selection", Weight: 0.1, Role: "-fieldwork", Deadline: 10 * time.Second, Service: "workpapers", Path: "/selections", NonIdempotent: true},
		{Label: "sign-off", Weight: 0.05, Role: "-partners", Deadline: 10 * time.Second, Service: "workpapers", Path: "/sign-offs", NonIdempotent: true},
	}}
}

func (s Settings) withDefaults() Settings {
	setDefault(&s.Duration, time.Minute)
	setDefault(&s.Rate, 20)
	setDefault(&s.Callers, 200)
	setDefault(&s.BurstInterval, 20*time.Second)
	setDefault(&s.BurstSize, 30)
	setDefault(&s.MaxOutput, maxOutput)
	return s
}

func setDefault[T int | float64 | time.Duration](v *T, defaultValue T) {
	if *v == 0 {
		*v = defaultValue
	}
}

// Models returns the models of a task, the active ones first.
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
	return fleet.AdapterID(fmt.Sprintf("%s-%s-%03d", o.Example.AdapterPrefix, group, n%examples.MinAdapters+1))
}

// Credential returns the token of a caller with a role by its number, modulo the number of such callers. Callers whose numbers
// are equal modulo the number of regions are in the same region.
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

// Plan returns the calls of an organisation ordered by intended time.
func (o Organisation) Plan(s Settings) iter.Seq[load.Planned] {
	s = s.withDefaults()
	return func(yield func(load.Planned) bool) {
		g := &generator{Settings: s, org: o, random: rand.New(rand.NewPCG(s.Seed, 1))}
		g.rateVariation = newRateVariation(s)
		g.nextCall = g.interarrival(0)
		g.nextBurst = s.BurstInterval / 2
		for {
			p, ok := g.nextPlanned()
			if !ok || !yield(p) {
				return
			}
		}
	}
}

type generator struct {
	Settings
	org           Organisation
	random        *rand.Rand
	rateVariation *rateVariation
	// nextCall and nextBurst are the times of the next regular call and the next burst.
	nextCall, nextBurst time.Duration
	bursts              int
	count               int
	planned             planHeap
}

// nextPlanned returns the earliest call that is not returned yet, after it has generated all calls and bursts up to that time.
func (g *generator) nextPlanned() (load.Planned, bool) {
	for {
		due := min(g.nextCall, g.nextBurst)
		if len(g.planned) > 0 && g.planned[0].At <= due {
			return heap.Pop(&g.planned).(load.Planned), true
		}
		if due >= g.Duration {
			return load.Planned{}, false
		}
		if g.nextBurst <= g.nextCall {
			g.planBurst()
			continue
		}
		at := g.nextCall
		g.nextCall += g.interarrival(at)
		g.addCall(at, g.randomCall())
	}
}

// interarrival returns the time to the next call: calls are a Poisson process with the current rate.
func (g *generator) interarrival(at time.Duration) time.Duration {
	rate := g.Rate * g.rateVariation.factor(at)
	return time.Duration(g.random.ExpFloat64() / rate * float64(time.Second))
}

// randomCall returns a random kind of call by weight.
func (g *generator) randomCall() Call {
	x := g.random.Float64()
	for _, c := range g.org.Calls {
		if x -= c.Weight; x < 0 {
			return c
		}
	}
	return g.org.Calls[len(g.org.Calls)-1]
}

// addCall adds a call from a random caller.
func (g *generator) addCall(at time.Duration, c Call) {
	callerNumber := g.random.IntN(g.Callers)
	g.addRequest(at, callerNumber, g.newRequest(c, g.randomTarget(c), callerNumber))
}

// addRequest adds a request and, for a share of the non-idempotent ones, a repetition up to 3 s later.
func (g *generator) addRequest(at time.Duration, callerNumber int, r *caller.Request) {
	p := load.Planned{At: at, Caller: callerNumber, Request: r}
	heap.Push(&g.planned, p)
	if r.NonIdempotent && g.random.Float64() < repetitionShare {
		repetition := *r
		repetition.Repetition = 1
		repetition.Label += "-resend"
		p.Request = &repetition
		p.At += time.Duration(g.random.Int64N(int64(3 * time.Second)))
		heap.Push(&g.planned, p)
	}
}

// planBurst adds a burst of requests from many callers for one of the idle models. Successive bursts use different models,
// from the last model of the task on.
func (g *generator) planBurst() {
	var c Call
	for c = g.randomCall(); c.Service != ""; {
		c = g.randomCall()
	}
	models := g.org.Models(c.Task)
	model := models[len(models)-1-g.bursts%len(models)]
	g.bursts++
	for range g.BurstSize {
		at := g.nextBurst + time.Duration(g.random.Int64N(int64(200*time.Millisecond)))
		callerNumber := g.random.IntN(g.Callers)
		r := g.newRequest(c, fleet.Target{Model: model}, callerNumber)
		r.Label = "burst"
		r.Deadline = max(r.Deadline, burstDeadline)
		g.addRequest(at, callerNumber, r)
	}
	g.nextBurst += g.BurstInterval
}

func (g *generator) randomTarget(c Call) fleet.Target {
	if c.Service != "" {
		return fleet.Target{}
	}
	models := g.org.Models(c.Task)
	active := max(int(float64(len(models))*activeModelShare), 1)
	t := fleet.Target{Model: models[g.random.IntN(active)]}
	if g.random.Float64() >= activeCallShare {
		t.Model = models[g.random.IntN(len(models))]
	}
	if g.random.Float64() < adapterShare {
		t.Adapter = g.org.Adapter(t.Model, c.Task, g.random.IntN(examples.MinAdapters))
	}
	return t
}

func (g *generator) newRequest(c Call, t fleet.Target, callerNumber int) *caller.Request {
	g.count++
	r := &caller.Request{
		Key: history.Key(fmt.Sprintf("%s-%d-%d", g.org.Name, g.Seed, g.count)), Label: c.Label, NonIdempotent: c.NonIdempotent,
		Credential: g.org.Credential(c.Role, callerNumber), Deadline: c.Deadline,
	}
	if c.Service != "" {
		r.Service, r.Method, r.Path = c.Service, c.Method, c.Path
		r.Body, _ = json.Marshal(map[string]any{"key": r.Key, "quantity": 1 + g.random.IntN(20)})
		return r
	}
	output := max(int(float64(c.Output)*(0.5+g.random.Float64())), 1)
	if g.random.Float64() < stragglerShare {
		output = output * stragglerFactor
		r.Label += "-straggler"
	}
	output = min(output, g.MaxOutput)
	r.Target, r.Stream = t, c.Stream
	// Callers cannot know which of their calls become stragglers, so the limit allows the length of a straggler.
	r.MaxTokens = min(2*c.Output*stragglerFactor, g.MaxOutput)
	var b strings.Builder
	name := t.String()
	for i := range prefixWords {
		b.WriteString(name + "-" + strconv.Itoa(i) + " ")
	}
	for range max(int(float64(c.Prompt)*(0.5+g.random.Float64())), 1) {
		b.WriteString("w" + strconv.Itoa(g.random.IntN(10000)) + " ")
	}
	b.WriteString(tokens.KeyMark(string(r.Key)) + " " + tokens.LengthMark(output))
	r.Prompt = b.String()
	return r
}

// planHeap is a heap of planned calls, ordered by time and then by key.
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
