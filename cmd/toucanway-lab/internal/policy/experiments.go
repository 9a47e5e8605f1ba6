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
	longTokens = 400
	outgrown   = capacity.OutcomeOutgrown
)

// withdraw cancels an attempt that waits for a slot.
func (v *server) withdraw(a *attempt) {
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

// Run runs an experiment and returns a row for each policy; equal seeds give equal tables.
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

// Mean runs an experiment with several seeds from the first one on and returns the mean of each value.
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

// times returns one time of each served request, of those that value selects.
func (s *simulation) times(value func(r *request) (time.Duration, bool)) []time.Duration {
	var out []time.Duration
	for _, r := range s.requests {
		if d, ok := value(r); ok && r.served {
			out = append(out, d)
		}
	}
	return out
}

func steady(rate float64) func(time.Duration) float64 {
	return func(time.Duration) float64 { return rate }
}

// with returns policies that differ from a base only as given.
func with(base settings, changes ...func(*settings)) []settings {
	var out []settings
	for _, c := range changes {
		p := base
		c(&p)
		out = append(out, p)
	}
	return out
}

// ours is the policy of the entry hosts, without hedging and preemption.
func ours(name string) func(*settings) {
	return func(p *settings) { p.name, p.redirects, p.second = name, 1, true }
}

// mixed makes short requests and a share of stragglers, half of which come from a caller that always sends them.
func mixed(s *simulation, straggler float64) *request {
	r := &request{
		class: fleet.ClassStandard, tenant: fleet.TenantID(fmt.Sprint("t", s.rand.IntN(4))), prompt: 200 + s.rand.IntN(400),
		output: s.exponential(40), deadline: s.now.Add(30 * time.Second),
	}
	r.caller = fleet.CallerID(string(r.tenant) + "-chat")
	if x := s.rand.Float64(); x < straggler {
		r.long, r.output = true, 1000+s.rand.IntN(1000)
		if x < straggler/2 {
			r.caller = "drafts"
		}
	}
	return r
}

func stragglers() experiment {
	base := settings{hosts: 1, servers: 4, slots: 8, until: 4 * time.Minute}
	base.arrivals = func(s *simulation) { s.poisson(steady(13), 13, func() *request { return mixed(s, 0.05) }) }
	return experiment{
		columns: []string{"p50 short wait ms", "p99 short wait ms", "p99 long wait ms", "served"},
		policies: with(base,
			func(p *settings) { p.name, p.fifo, p.blind = "fifo", true, true },
			ours("ours"),
			func(p *settings) { ours("ours, preemption")(p); p.preempt = 2 },
			func(p *settings) { ours("oracle")(p); p.oracle = true },
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
				case r.long:
					long = append(long, r.waited)
				default:
					short = append(short, r.waited)
				}
			}
			return []float64{quantile(short, 0.5), quantile(short, 0.99), quantile(long, 0.99), share(served, len(s.requests))}
		},
	}
}

func slowdown() experiment {
	base := settings{hosts: 6, servers: 18, slots: 8, until: time.Minute}
	base.slow = func(at time.Duration, server int) float64 {
		if server < 2 && at > 20*time.Second && at < 50*time.Second {
			return 5
		}
		return 1
	}
	base.arrivals = func(s *simulation) { s.poisson(steady(70), 70, func() *request { return mixed(s, 0) }) }
	return experiment{
		columns: []string{"p50 ms", "p99 ms", "p99 first token ms", "hedges a request"},
		policies: with(base,
			func(p *settings) { p.name, p.choose = "random", chooseRandom },
			func(p *settings) { p.name, p.choose = "least outstanding", chooseLeast },
			ours("ours"),
			func(p *settings) { ours("ours, hedged")(p); p.hedge = true },
		),
		measure: func(s *simulation) []float64 {
			var total, first []time.Duration
			for _, r := range s.requests {
				if at := r.arrived.Sub(epoch); r.served && at > 20*time.Second && at < 50*time.Second {
					total = append(total, r.finished.Sub(r.arrived))
					first = append(first, r.first)
				}
			}
			return []float64{quantile(total, 0.5), quantile(total, 0.99), quantile(first, 0.99), share(s.hedges, len(s.requests))}
		},
	}
}

// herding has many hosts that see the same late reports.
func herding() experiment {
	base := settings{hosts: 60, servers: 18, slots: 8, until: 40 * time.Second}
	base.arrivals = func(s *simulation) { s.poisson(steady(145), 145, func() *request { return mixed(s, 0) }) }
	return experiment{
		columns: []string{"p50 wait ms", "p99 wait ms"},
		policies: with(base,
			func(p *settings) { p.name, p.choose = "random", chooseRandom },
			func(p *settings) { p.name, p.choose = "least outstanding", chooseLeast },
			ours("ours"),
		),
		measure: func(s *simulation) []float64 {
			waited := s.times(func(r *request) (time.Duration, bool) { return r.waited, true })
			return []float64{quantile(waited, 0.5), quantile(waited, 0.99)}
		},
	}
}

func peak() experiment {
	base := settings{hosts: 3, servers: 6, slots: 8, until: time.Minute}
	rate := func(at time.Duration) float64 {
		if at >= 20*time.Second && at < 30*time.Second {
			return 120
		}
		return 40
	}
	base.arrivals = func(s *simulation) { s.poisson(rate, 120, func() *request { return classed(s) }) }
	during := func(at time.Duration) bool { return at >= 20*time.Second && at < 30*time.Second }
	return experiment{
		columns: inTimeColumns(),
		policies: with(base,
			func(p *settings) { p.name, p.fifo, p.blind, p.choose = "fifo", true, true, chooseLeast },
			ours("ours"),
		),
		measure: func(s *simulation) []float64 { return inTime(s, during) },
	}
}

func coldStart() experiment {
	base := settings{hosts: 6, servers: 4, slots: 8, until: 30 * time.Second}
	base.upAfter = func(server int) time.Duration { return time.Duration(6+4*(server/2)) * time.Second }
	base.arrivals = func(s *simulation) { s.poisson(steady(25), 25, func() *request { return classed(s) }) }
	during := func(at time.Duration) bool { return at < 15*time.Second }
	return experiment{
		columns: append(inTimeColumns(), "p99 first token ms"),
		policies: with(base,
			func(p *settings) { p.name, p.fifo, p.blind, p.choose = "fifo", true, true, chooseLeast },
			ours("ours"),
		),
		measure: func(s *simulation) []float64 {
			first := s.times(func(r *request) (time.Duration, bool) { return r.first, during(r.arrived.Sub(epoch)) })
			return append(inTime(s, during), quantile(first, 0.99))
		},
	}
}

// classed makes requests of all classes with their usual deadlines.
func classed(s *simulation) *request {
	deadlines := [fleet.Classes]time.Duration{5 * time.Second, 5 * time.Second, 10 * time.Second, 60 * time.Second}
	r := mixed(s, 0)
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
	for c := range fleet.Class(fleet.Classes) {
		columns = append(columns, c.String())
	}
	return columns
}

// inTime returns the share of requests that arrived during a time and got their first token before the deadline, in all and
// by class.
func inTime(s *simulation, during func(time.Duration) bool) []float64 {
	var in, of [fleet.Classes + 1]int
	for _, r := range s.requests {
		if !during(r.arrived.Sub(epoch)) {
			continue
		}
		of[r.class]++
		of[fleet.Classes]++
		if r.first > 0 && !r.arrived.Add(r.first).After(r.deadline) {
			in[r.class]++
			in[fleet.Classes]++
		}
	}
	out := []float64{share(in[fleet.Classes], of[fleet.Classes])}
	for c := range fleet.Classes {
		out = append(out, share(in[c], of[c]))
	}
	return out
}

func prefix() experiment {
	base := settings{hosts: 6, servers: 18, slots: 8, until: time.Minute}
	base.arrivals = func(s *simulation) {
		s.poisson(steady(60), 60, func() *request {
			r := mixed(s, 0)
			r.session = uint64(1 + s.rand.IntN(500))
			r.shared = 1500
			r.prompt += r.shared
			return r
		})
	}
	return experiment{
		columns: []string{"cached prompt share", "p50 first token ms", "p99 first token ms"},
		policies: with(base,
			func(p *settings) { p.name, p.choose = "random", chooseRandom },
			func(p *settings) { p.name, p.choose = "least outstanding", chooseLeast },
			ours("ours"),
		),
		measure: func(s *simulation) []float64 {
			first := s.times(func(r *request) (time.Duration, bool) { return r.first, true })
			return []float64{share(s.hits, s.prompts), quantile(first, 0.5), quantile(first, 0.99)}
		},
	}
}

func resends() experiment {
	base := settings{hosts: 3, servers: 6, slots: 8, until: 30 * time.Second, resends: 5}
	base.crashAt, base.downFor, base.crashed = 10*time.Second, 5*time.Second, 3
	base.arrivals = func(s *simulation) {
		s.poisson(steady(45), 45, func() *request {
			r := mixed(s, 0)
			r.deadline = s.now.Add(4 * time.Second)
			return r
		})
		// One request crashes every server that runs it, and its caller sends it again.
		s.after(10*time.Second, func() {
			s.arrive(&request{
				class: fleet.ClassStandard, tenant: "t0", caller: "t0-chat", prompt: 100, output: 20, poison: true,
				deadline: s.now.Add(4 * time.Second),
			})
		})
	}
	return experiment{
		columns: []string{"dispatches a request", "acquires a request", "crashes", "served", "p99 ms"},
		policies: with(base,
			func(p *settings) { p.name, p.unbounded, p.choose = "unbounded retries", true, chooseLeast },
			ours("ours"),
		),
		measure: func(s *simulation) []float64 {
			var total []time.Duration
			origins, served := 0, 0
			for _, r := range s.requests {
				if r.resent == 0 {
					origins++
				}
				if r.poison {
					continue
				}
				if r.served {
					served++
					total = append(total, r.finished.Sub(r.arrived))
				}
			}
			return []float64{share(s.dispatches, origins), share(s.attempts, origins), float64(s.crashes), share(served, origins), quantile(total, 0.99)}
		},
	}
}
