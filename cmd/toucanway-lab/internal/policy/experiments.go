package policy

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"toucanway/core/capacity"
	"toucanway/core/fleet"
)

const (
	longTokens         = 400
	exceededPrediction = capacity.OutcomeExceededPrediction
)

// cancelWaiting cancels an attempt that waits for a slot at the owner of the server.
func (v *server) cancelWaiting(a *attempt) {
	if v.waiting[a.id] == a {
		delete(v.waiting, a.id)
		v.handle(capacity.CancelEvent{Cancel: capacity.Cancel{Host: "h", Request: a.id}})
	}
}

type experiment struct {
	columns  []string
	policies []settings
	measure  func(s *simulation) []float64
}

// Names returns the names of all experiments in order.
func Names() []string { return slices.Sorted(maps.Keys(experiments())) }

// Run runs an experiment and returns a table with a row for each policy; equal seeds give equal tables.
func Run(name string, seed uint64) (Table, error) {
	x, ok := experiments()[name]
	if !ok {
		return Table{}, fmt.Errorf("no experiment %q; choose one of %v", name, Names())
	}
	t := Table{Name: name, Seed: seed, Columns: x.columns}
	for _, p := range x.policies {
		s := newSimulation(p, seed)
		p.arrivals(s)
		s.run()
		t.Rows = append(t.Rows, Row{Policy: p.name, Values: x.measure(s)})
	}
	return t, nil
}

// Mean runs an experiment with consecutive seeds from first on and returns the mean of each value.
func Mean(name string, first uint64, seeds int) (Table, error) {
	sum, err := Run(name, first)
	if err != nil {
		return Table{}, err
	}
	for i := 1; i < seeds; i++ {
		t, err := Run(name, first+uint64(i))
		if err != nil {
			return Table{}, err
		}
		for r, row := range t.Rows {
			for k, v := range row.Values {
				sum.Rows[r].Values[k] += v
			}
		}
	}
	for _, row := range sum.Rows {
		for k := range row.Values {
			row.Values[k] /= float64(max(seeds, 1))
		}
	}
	sum.Name = fmt.Sprintf("%s, mean of %d seeds", name, max(seeds, 1))
	return sum, nil
}

func experiments() map[string]experiment {
	return map[string]experiment{
		"stragglers": stragglers(),
		"cold-start": coldStart(),
		"slowdown":   slowdown(),
		"herding":    herding(),
		"peak":       peak(),
		"prefix":     prefix(),
		"resends":    resends(),
	}
}

// servedTimes returns value(r) for each served request r for which value reports true.
func (s *simulation) servedTimes(value func(r *request) (time.Duration, bool)) []time.Duration {
	var out []time.Duration
	for _, r := range s.requests {
		if d, ok := value(r); ok && r.served {
			out = append(out, d)
		}
	}
	return out
}

func constantRate(rate float64) func(time.Duration) float64 {
	return func(time.Duration) float64 { return rate }
}

// variants returns one variant of the base policy for each change.
func variants(base settings, changes ...func(*settings)) []settings {
	var out []settings
	for _, c := range changes {
		p := base
		c(&p)
		out = append(out, p)
	}
	return out
}

// entryHostPolicy returns the change that selects the policy of the entry hosts, without hedging and preemption.
func entryHostPolicy(name string) func(*settings) {
	return func(p *settings) { p.name, p.maxRedirects, p.twoQueues = name, 1, true }
}

// mixedRequest returns a random request: a straggler with the probability stragglerShare, else a short request. Half of the
// stragglers come from a caller that sends nothing else.
func mixedRequest(s *simulation, stragglerShare float64) *request {
	r := &request{
		class: fleet.ClassStandard, tenant: fleet.TenantID(fmt.Sprint("t", s.rand.IntN(4))), prompt: 200 + s.rand.IntN(400),
		output: s.randomLength(40), deadline: s.now.Add(30 * time.Second),
	}
	r.caller = fleet.CallerID(string(r.tenant) + "-chat")
	if x := s.rand.Float64(); x < stragglerShare {
		r.isLong, r.output = true, 1000+s.rand.IntN(1000)
		if x < stragglerShare/2 {
			r.caller = "drafts"
		}
	}
	return r
}

func stragglers() experiment {
	base := settings{hosts: 1, servers: 4, slots: 8, arrivalsUntil: 4 * time.Minute}
	base.arrivals = func(s *simulation) {
		s.schedulePoisson(constantRate(13), 13, func() *request { return mixedRequest(s, 0.05) })
	}
	return experiment{
		columns: []string{"p50 short wait ms", "p99 short wait ms", "p99 long wait ms", "served"},
		policies: variants(base,
			func(p *settings) { p.name, p.fifo, p.noPrediction = "fifo", true, true },
			entryHostPolicy("ours"),
			func(p *settings) { entryHostPolicy("ours, preemption")(p); p.maxPreemptions = 2 },
			func(p *settings) { entryHostPolicy("oracle")(p); p.oracle = true },
		),
		measure: func(s *simulation) []float64 {
			var short, long []time.Duration
			served := 0
			for _, r := range s.requests {
				if r.served {
					served++
				}
				switch {
				case !r.served || r.arrived.Sub(epoch) < 20*time.Second:
				case r.isLong:
					long = append(long, r.waitedForSlot)
				default:
					short = append(short, r.waitedForSlot)
				}
			}
			return []float64{quantile(short, 0.5), quantile(short, 0.99), quantile(long, 0.99), share(served, len(s.requests))}
		},
	}
}

func slowdown() experiment {
	base := settings{hosts: 6, servers: 18, slots: 8, arrivalsUntil: time.Minute}
	base.slowdown = func(at time.Duration, server int) float64 {
		if server < 2 && at > 20*time.Second && at < 50*time.Second {
			return 5
		}
		return 1
	}
	base.arrivals = func(s *simulation) {
		s.schedulePoisson(constantRate(70), 70, func() *request { return mixedRequest(s, 0) })
	}
	return experiment{
		columns: []string{"p50 ms", "p99 ms", "p99 first token ms", "hedges a request"},
		policies: variants(base,
			func(p *settings) { p.name, p.choose = "random", chooseRandom },
			func(p *settings) { p.name, p.choose = "least outstanding", chooseLeast },
			entryHostPolicy("ours"),
			func(p *settings) { entryHostPolicy("ours, hedged")(p); p.hedge = true },
		),
		measure: func(s *simulation) []float64 {
			var total, first []time.Duration
			for _, r := range s.requests {
				if at := r.arrived.Sub(epoch); r.served && at > 20*time.Second && at < 50*time.Second {
					total = append(total, r.finished.Sub(r.arrived))
					first = append(first, r.firstToken)
				}
			}
			return []float64{quantile(total, 0.5), quantile(total, 0.99), quantile(first, 0.99), share(s.hedges, len(s.requests))}
		},
	}
}

// herding returns the experiment with many hosts that choose servers by the same delayed load reports.
func herding() experiment {
	base := settings{hosts: 60, servers: 18, slots: 8, arrivalsUntil: 40 * time.Second}
	base.arrivals = func(s *simulation) {
		s.schedulePoisson(constantRate(145), 145, func() *request { return mixedRequest(s, 0) })
	}
	return experiment{
		columns: []string{"p50 wait ms", "p99 wait ms"},
		policies: variants(base,
			func(p *settings) { p.name, p.choose = "random", chooseRandom },
			func(p *settings) { p.name, p.choose = "least outstanding", chooseLeast },
			entryHostPolicy("ours"),
		),
		measure: func(s *simulation) []float64 {
			waited := s.servedTimes(func(r *request) (time.Duration, bool) { return r.waitedForSlot, true })
			return []float64{quantile(waited, 0.5), quantile(waited, 0.99)}
		},
	}
}

func peak() experiment {
	base := settings{hosts: 3, servers: 6, slots: 8, arrivalsUntil: time.Minute}
	rate := func(at time.Duration) float64 {
		if at >= 20*time.Second && at < 30*time.Second {
			return 120
		}
		return 40
	}
	base.arrivals = func(s *simulation) { s.schedulePoisson(rate, 120, func() *request { return randomClassRequest(s) }) }
	during := func(at time.Duration) bool { return at >= 20*time.Second && at < 30*time.Second }
	return experiment{
		columns: inTimeColumns(),
		policies: variants(base,
			func(p *settings) { p.name, p.fifo, p.noPrediction, p.choose = "fifo", true, true, chooseLeast },
			entryHostPolicy("ours"),
		),
		measure: func(s *simulation) []float64 { return inTimeShares(s, during) },
	}
}

func coldStart() experiment {
	base := settings{hosts: 6, servers: 4, slots: 8, arrivalsUntil: 30 * time.Second}
	base.readyAfter = func(server int) time.Duration { return time.Duration(6+4*(server/2)) * time.Second }
	base.arrivals = func(s *simulation) {
		s.schedulePoisson(constantRate(25), 25, func() *request { return randomClassRequest(s) })
	}
	during := func(at time.Duration) bool { return at < 15*time.Second }
	return experiment{
		columns: append(inTimeColumns(), "p99 first token ms"),
		policies: variants(base,
			func(p *settings) { p.name, p.fifo, p.noPrediction, p.choose = "fifo", true, true, chooseLeast },
			entryHostPolicy("ours"),
		),
		measure: func(s *simulation) []float64 {
			first := s.servedTimes(func(r *request) (time.Duration, bool) { return r.firstToken, during(r.arrived.Sub(epoch)) })
			return append(inTimeShares(s, during), quantile(first, 0.99))
		},
	}
}

// randomClassRequest returns a random request of any class with the usual deadline of the class.
func randomClassRequest(s *simulation) *request {
	deadlines := [fleet.NumClasses]time.Duration{5 * time.Second, 5 * time.Second, 10 * time.Second, 60 * time.Second}
	r := mixedRequest(s, 0)
	switch x := s.rand.Float64(); {
	case x < 0.1:
		r.class = fleet.ClassCritical
	case x < 0.4:
		r.class = fleet.ClassInteractive
	case x < 0.8:
		r.class = fleet.ClassStandard
	default:
		r.class = fleet.ClassBatch
	}
	r.deadline = s.now.Add(deadlines[r.class])
	return r
}

func inTimeColumns() []string {
	columns := []string{"all in time"}
	for c := range fleet.Class(fleet.NumClasses) {
		columns = append(columns, c.String())
	}
	return columns
}

// inTimeShares returns the share of requests that got their first token before the deadline, first over all classes and then for
// each class. It counts only requests whose arrival time is selected.
func inTimeShares(s *simulation, selected func(time.Duration) bool) []float64 {
	var inTime, arrived [fleet.NumClasses + 1]int
	for _, r := range s.requests {
		if !selected(r.arrived.Sub(epoch)) {
			continue
		}
		arrived[r.class]++
		arrived[fleet.NumClasses]++
		if r.firstToken > 0 && !r.arrived.Add(r.firstToken).After(r.deadline) {
			inTime[r.class]++
			inTime[fleet.NumClasses]++
		}
	}
	out := []float64{share(inTime[fleet.NumClasses], arrived[fleet.NumClasses])}
	for c := range fleet.NumClasses {
		out = append(out, share(inTime[c], arrived[c]))
	}
	return out
}

func prefix() experiment {
	base := settings{hosts: 6, servers: 18, slots: 8, arrivalsUntil: time.Minute}
	base.arrivals = func(s *simulation) {
		s.schedulePoisson(constantRate(60), 60, func() *request {
			r := mixedRequest(s, 0)
			r.session = uint64(1 + s.rand.IntN(500))
			r.sharedPrefix = 1500
			r.prompt += r.sharedPrefix
			return r
		})
	}
	return experiment{
		columns: []string{"cached prompt share", "p50 first token ms", "p99 first token ms"},
		policies: variants(base,
			func(p *settings) { p.name, p.choose = "random", chooseRandom },
			func(p *settings) { p.name, p.choose = "least outstanding", chooseLeast },
			entryHostPolicy("ours"),
		),
		measure: func(s *simulation) []float64 {
			first := s.servedTimes(func(r *request) (time.Duration, bool) { return r.firstToken, true })
			return []float64{share(s.cachedTokens, s.promptTokens), quantile(first, 0.5), quantile(first, 0.99)}
		},
	}
}

func resends() experiment {
	base := settings{hosts: 3, servers: 6, slots: 8, arrivalsUntil: 30 * time.Second, maxRepetitions: 5}
	base.crashAt, base.downFor, base.crashCount = 10*time.Second, 5*time.Second, 3
	base.arrivals = func(s *simulation) {
		s.schedulePoisson(constantRate(45), 45, func() *request {
			r := mixedRequest(s, 0)
			r.deadline = s.now.Add(4 * time.Second)
			return r
		})
		// One request crashes every server that runs it, and its caller repeats it.
		s.after(10*time.Second, func() {
			s.arrive(&request{
				class: fleet.ClassStandard, tenant: "t0", caller: "t0-chat", prompt: 100, output: 20, crashesServers: true,
				deadline: s.now.Add(4 * time.Second),
			})
		})
	}
	return experiment{
		columns: []string{"dispatches a request", "acquires a request", "crashes", "served", "p99 ms"},
		policies: variants(base,
			func(p *settings) { p.name, p.unboundedRetries, p.choose = "unbounded retries", true, chooseLeast },
			entryHostPolicy("ours"),
		),
		measure: func(s *simulation) []float64 {
			var total []time.Duration
			originals, served := 0, 0
			for _, r := range s.requests {
				if r.repetition == 0 {
					originals++
				}
				if r.crashesServers {
					continue
				}
				if r.served {
					served++
					total = append(total, r.finished.Sub(r.arrived))
				}
			}
			return []float64{share(s.dispatches, originals), share(s.attempts, originals), float64(s.crashes), share(served, originals), quantile(total, 0.99)}
		},
	}
}
