package organisation

import (
	"context"
	"errors"
	"fmt"
	"os"
	"strings"
	"time"

	"golang.org/x/sync/errgroup"

	"toucanway/cmd/toucanway-lab/internal/checker"
	"toucanway/cmd/toucanway-lab/internal/experiment"
	"toucanway/cmd/toucanway-lab/internal/history"
	"toucanway/cmd/toucanway-lab/internal/live"
	"toucanway/cmd/toucanway-lab/internal/load"
	"toucanway/cmd/toucanway-lab/internal/report"
	"toucanway/cmd/toucanway-lab/internal/workload"
	"toucanway/core/config"
	"toucanway/core/control"
	"toucanway/core/fleet"
	"toucanway/core/pause"
	"toucanway/io/dispatch"
	"toucanway/io/entry"
	"toucanway/io/operators"
	"toucanway/io/planning"
)

// Variants of the daemon.
const (
	Simple  experiment.Variant = "simple policies"
	Product experiment.Variant = "toucanway"
)

const (
	loadDivisor = 10
	runDuration = 45 * time.Second
	// maxOutput lets the longest straggler end within about 20 s after it begins.
	maxOutput     = 600
	burstInterval = 8 * time.Second
	burstSize     = 30
	callerCount   = 48
	// fixedKeepWarm is the time for which serverless systems usually keep an idle instance.
	fixedKeepWarm = 10 * time.Minute
	startTimeout  = time.Minute
	// maxNotes bounds the violations that are printed.
	maxNotes     = 10
	pollInterval = 100 * time.Millisecond
)

// Policies returns the policies of a variant.
func Policies(v experiment.Variant) entry.Policies {
	if v == Product {
		return entry.Policies{}
	}
	return entry.Policies{
		Dispatch:     dispatch.Policies{LeastOutstanding: true, NoHedging: true},
		Planning:     planning.Policies{KeepWarm: fixedKeepWarm},
		ArrivalOrder: true,
	}
}

// Runner sends the calls of an organisation to a variant of the daemon.
type Runner struct {
	Organisation func() workload.Organisation
	// Rate is the mean number of calls per second.
	Rate  float64
	Slots int
	// ShortLabels are the labels of short requests, whose wait behind long ones is measured.
	ShortLabels []string
}

// Experiments returns the experiments of both organisations.
func Experiments() []experiment.Experiment {
	question := "how do cold starts, idle hours, the peak, short work behind long work, and slowed engines compare with simple policies? " +
		fmt.Sprintf("Load times are those of the document divided by %d.", loadDivisor)
	plotted := []string{"1 ", "2 ", "3 ", "4 ", "5 "}
	return []experiment.Experiment{
		{Name: "kopi", Question: "Kopi Lintas Data: " + question, Baseline: Simple, Change: Product, Runner: &Runner{
			Organisation: workload.KopiLintasData, Rate: 40, Slots: 8, ShortLabels: []string{"chat", "order-suggestion"},
		}, Plotted: plotted},
		{Name: "asociacion", Question: "Asociación: " + question, Baseline: Simple, Change: Product, Runner: &Runner{
			Organisation: workload.Asociacion, Rate: 10, Slots: 8, ShortLabels: []string{"memo", "explain"},
		}, Plotted: plotted},
	}
}

// Run starts a deployment of a variant, sends the calls generated from the seed, checks the history, and returns the
// measurements.
func (r *Runner) Run(ctx context.Context, v experiment.Variant, seed uint64) (report.VariantResult, error) {
	folder, err := os.MkdirTemp("", "toucanway-experiment-")
	if err != nil {
		return report.VariantResult{}, err
	}
	defer os.RemoveAll(folder)
	org := r.Organisation()
	org.Example.LoadDivisor = loadDivisor
	h := history.New()
	l, err := live.Start(live.Settings{
		Organisation: org.Example, Folder: folder, Policies: Policies(v), Seed: seed, History: h, Slots: r.Slots,
	})
	if err != nil {
		return report.VariantResult{}, err
	}
	if err = prepareDeployment(ctx, l, org); err != nil {
		return report.VariantResult{}, errors.Join(err, l.Close())
	}
	result := r.sendCalls(ctx, l, org, seed)
	violations := 0
	for _, violation := range checker.Check(checker.Settings{DeadlineTolerance: live.DeadlineTolerance}, h.Records()) {
		result.Values["violations "+string(violation.Invariant)]++
		if violations++; violations <= maxNotes {
			result.Notes = append(result.Notes, violation.String())
		}
	}
	for _, e := range history.Filter[history.RequestRefused](h.Records()) {
		result.Values["refusals "+string(e.Code)]++
	}
	return result, errors.Join(addTraffic(ctx, l, result.Values), l.Close())
}

// prepareDeployment waits until all hosts and backend servers have joined, submits the document, and waits until every model
// has its minimum number of ready replicas.
func prepareDeployment(ctx context.Context, l *live.Live, org workload.Organisation) error {
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	await := func(ok func(*control.State) bool) error {
		for {
			done := false
			valid, _ := l.HasLease(l.Settings.Hosts[0].ID, time.Now())
			l.ReadState(l.Settings.Hosts[0].ID, func(s *control.State) { done = valid && ok(s) })
			if done {
				return nil
			}
			if err := pause.For(ctx, pollInterval); err != nil {
				return err
			}
		}
	}
	servers := len(l.Engines) + len(l.Services)
	err := await(func(s *control.State) bool {
		return len(s.Backends()) == servers && len(s.Sessions()) == len(l.Settings.Hosts)
	})
	if err != nil {
		return fmt.Errorf("the deployment did not start: %w", err)
	}
	text := org.Example.Document()
	declared, problems := config.Parse("document.yaml", text)
	if err := problems.Err(); err != nil {
		return err
	}
	op := l.Operator(l.OperatorIP(), org.Example.Token(org.Example.Operators[0].ID))
	defer op.Close()
	a, err := op.Submit(ctx, operators.SubmitRequest{Text: text})
	if err != nil {
		return err
	}
	l.History().Add(history.DocumentAccepted{Version: fleet.DocumentVersion(a.Version), Digest: control.Digest(text)})
	if err = await(minimumReady(declared)); err != nil {
		return fmt.Errorf("models with min-replicas are not ready: %w", err)
	}
	return nil
}

// minimumReady returns a condition that holds when every model has at least MinReplicas ready replicas.
func minimumReady(d *config.Document) func(*control.State) bool {
	return func(s *control.State) bool {
		for i := range d.Models {
			ready := 0
			for _, r := range s.Replicas(d.Models[i].Name) {
				if r.State == control.ReplicaReady {
					ready++
				}
			}
			if ready < d.Models[i].MinReplicas {
				return false
			}
		}
		return true
	}
}

// sendCalls sends the calls to the deployment while some engines are slowed down, and returns the measurements.
func (r *Runner) sendCalls(ctx context.Context, l *live.Live, org workload.Organisation, seed uint64) report.VariantResult {
	var s load.Settings
	c := &collector{startedAt: time.Now(), models: map[history.Key]fleet.ModelID{}}
	for i := range callerCount {
		client := l.Caller(i%len(org.Example.Regions), "", seed+uint64(i))
		defer client.Close()
		s.Callers = append(s.Callers, &sender{caller: client, collector: c})
	}
	windows := slowdownWindows(runDuration)
	runCtx, stop := context.WithTimeout(ctx, runDuration)
	defer stop()
	var g errgroup.Group
	var idleHours float64
	g.Go(func() error {
		slowEnginesDown(runCtx, l, c.startedAt, windows, seed)
		return nil
	})
	g.Go(func() error {
		idleHours = sampleIdleHours(runCtx, l)
		return nil
	})
	results := load.Run(ctx, s, org.Plan(workload.Settings{
		Seed: seed, Duration: runDuration, Rate: r.Rate, BurstInterval: burstInterval, BurstSize: burstSize, MaxOutput: maxOutput,
	}))
	_ = g.Wait()
	result := report.VariantResult{Summaries: results.Summaries(), Values: r.measurements(c.samples, windows, idleHours)}
	var ready []sample
	for _, cold := range coldStarts(l.History().Records(), c.models) {
		result.Notes = append(result.Notes, cold.String())
		if len(cold.ready) > 0 {
			ready = append(ready, sample{answered: true, firstToken: cold.ready[0] - cold.firstRequest})
		}
	}
	result.Values["1 model ready p50 ms"] = quantile(ready, 0.5)
	result.Values["1 model ready max ms"] = quantile(ready, 1)
	return result
}

// measurements returns the values for the five parts of the experiment's question; their names begin with the number of the
// part.
func (r *Runner) measurements(samples []sample, windows []window, idleHours float64) map[string]float64 {
	cold := filter(samples, func(s sample) bool { return strings.HasPrefix(s.label, burstLabel) })
	rest := filter(samples, func(s sample) bool { return !strings.HasPrefix(s.label, burstLabel) })
	peak := filter(rest, inPeak(rest))
	short := filter(rest, func(s sample) bool {
		for _, label := range r.ShortLabels {
			if s.label == label {
				return true
			}
		}
		return false
	})
	slowed := filter(short, inWindows(windows))
	return map[string]float64{
		"1 cold start p50 ms":                quantile(cold, 0.5),
		"1 cold start p95 ms":                quantile(cold, 0.95),
		"1 cold start p99 ms":                quantile(cold, 0.99),
		"1 cold start answered share":        answeredShare(cold),
		"2 idle accelerator hours":           idleHours,
		"3 peak answered share":              answeredShare(peak),
		"3 peak first token p95 ms":          quantile(peak, 0.95),
		"4 short work first token p50 ms":    quantile(short, 0.5),
		"4 short work first token p95 ms":    quantile(short, 0.95),
		"4 short work first token p99 ms":    quantile(short, 0.99),
		"4 short work answered share":        answeredShare(short),
		"5 short work while slowed p95 ms":   quantile(slowed, 0.95),
		"5 short work while slowed p99 ms":   quantile(slowed, 0.99),
		"5 short work while slowed answered": answeredShare(slowed),
	}
}
