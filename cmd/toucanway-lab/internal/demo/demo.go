package demo

import (
	"context"
	"errors"
	"fmt"
	"io"
	"iter"
	"os"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"toucanway/cmd/toucanway-lab/internal/caller"
	"toucanway/cmd/toucanway-lab/internal/checker"
	"toucanway/cmd/toucanway-lab/internal/examples"
	"toucanway/cmd/toucanway-lab/internal/history"
	"toucanway/cmd/toucanway-lab/internal/live"
	"toucanway/cmd/toucanway-lab/internal/load"
	"toucanway/cmd/toucanway-lab/internal/workload"
	"toucanway/core/fleet"
	"toucanway/io/network"
)

const (
	// loadDivisor shortens load times: a remote checkpoint of 28 GiB takes 7 s instead of 70 s.
	loadDivisor = 10
	// stepTimeout bounds each step; a step takes a few seconds on an idle machine.
	stepTimeout = 40 * time.Second
	// runTimeout bounds the whole demonstration.
	runTimeout = 110 * time.Second
	// backgroundRate is the mean number of background calls a second, and backgroundTime the longest time for which they are sent;
	// the end of the steps stops them earlier.
	backgroundRate = 15
	backgroundTime = time.Minute
	// backgroundOutput is the maximum number of output tokens of a background call, so that the longest answers take about 15 s.
	backgroundOutput = 500
	// backgroundClients is the number of callers that send the background calls.
	backgroundClients = 12
)

// ErrViolated reports that the run violated invariants.
var ErrViolated = errors.New("invariants were violated")

// Demo is the demonstration; the zero value runs on loopback TCP.
type Demo struct {
	// Transport replaces loopback TCP, and Folder the temporary folder of the voters' files. Tests set them.
	Transport func(ip string) network.Network
	Folder    string
	// SkipBackground disables the background calls.
	SkipBackground bool
}

// run is the state of a running demonstration.
type run struct {
	Demo
	ctx          context.Context
	seed         uint64
	out          *printer
	live         *live.Live
	organisation workload.Organisation
	history      *history.History
	// stepResults are the results of the calls in the steps, backgroundResults those of the background calls.
	stepResults, backgroundResults *load.Results
	// version and text are those of the configuration document in force.
	version uint64
	text    string
	// orders are the keys of the orders that were sent.
	orders     []string
	coldStarts []coldStart
	// callers are closed at the end of the run; the printer's mutex guards them.
	callers []*caller.Client
}

// coldStart is the result of the first requests for a model that was not loaded.
type coldStart struct {
	model fleet.ModelID
	// requests is the number of first requests, answered the number of those with a correct answer.
	requests int
	answered int
	// minFirstToken and maxFirstToken are the shortest and the longest time to first token of the answered requests.
	minFirstToken time.Duration
	maxFirstToken time.Duration
}

// printer writes lines that start with the time since the start of the run. It is safe for concurrent use.
type printer struct {
	mu    sync.Mutex
	w     io.Writer
	begin time.Time
}

func (p *printer) line(format string, args ...any) {
	p.mu.Lock()
	defer p.mu.Unlock()
	fmt.Fprintf(p.w, "%5.1fs  %s\n", time.Since(p.begin).Seconds(), fmt.Sprintf(format, args...))
}

// Run runs the demonstration and returns an error if a step failed or an invariant was violated.
func (d Demo) Run(ctx context.Context, seed uint64, out io.Writer) error {
	ctx, cancel := context.WithTimeout(ctx, runTimeout)
	defer cancel()
	folder := d.Folder
	if folder == "" && d.Transport == nil {
		var err error
		if folder, err = os.MkdirTemp("", "toucanway-demo-"); err != nil {
			return err
		}
		defer os.RemoveAll(folder)
	}
	org := workload.KopiLintasData()
	org.Example.LoadDivisor = loadDivisor
	r := &run{
		Demo: d, ctx: ctx, seed: seed, out: &printer{w: out, begin: time.Now()}, organisation: org, history: history.New(),
		stepResults: load.NewResults(), backgroundResults: load.NewResults(), text: org.Example.Document(),
	}
	r.out.line("%s, seed %d: load times are those of the document divided by %d", org.Example.Title, seed, loadDivisor)
	l, err := live.Start(live.Settings{
		Organisation: org.Example, Folder: folder, Transport: d.Transport, Seed: seed, History: r.history,
	})
	r.live = l
	if err == nil {
		err = r.steps()
	}
	if l.Deployment != nil {
		for _, c := range r.callers {
			c.Close()
		}
		err = errors.Join(err, l.Close())
	}
	return errors.Join(err, r.report(out))
}

// steps runs the steps. Background calls run from the third step on.
func (r *run) steps() error {
	for _, s := range []step{{"start", r.awaitStart}, {"configuration", r.submitFirst}} {
		if err := r.runStep(s); err != nil {
			return err
		}
	}
	stop := make(chan struct{})
	var g errgroup.Group
	if !r.SkipBackground {
		g.Go(func() error {
			r.background(stop)
			return nil
		})
	}
	var err error
	for _, s := range []step{
		{"cold start of models", r.coldStartModels}, {"answers", r.streamAnswers}, {"order sent twice", r.repeatOrder},
		{"change of configuration", r.changeDocument}, {"backend server leaves", r.drainEngine}, {"entry host killed", r.crashVoter},
	} {
		if err = r.runStep(s); err != nil {
			break
		}
	}
	close(stop)
	return errors.Join(err, g.Wait())
}

type step struct {
	name string
	do   func(ctx context.Context) error
}

func (r *run) runStep(s step) error {
	ctx, cancel := context.WithTimeout(r.ctx, stepTimeout)
	defer cancel()
	if err := s.do(ctx); err != nil {
		r.out.line("%s: FAILED: %v", s.name, err)
		return fmt.Errorf("step %q: %w", s.name, err)
	}
	return nil
}

// background sends background calls of the organisation until stop is closed, and waits until all of them have ended.
func (r *run) background(stop <-chan struct{}) {
	s := load.Settings{}
	for i := range backgroundClients {
		s.Callers = append(s.Callers, r.caller(i%len(r.organisation.Example.Regions), ""))
	}
	plan := r.organisation.Plan(workload.Settings{
		Seed: r.seed, Rate: backgroundRate, Duration: backgroundTime, BurstInterval: 15 * time.Second, BurstSize: 12, MaxOutput: backgroundOutput,
	})
	r.backgroundResults = load.Run(r.ctx, s, untilStopped(stop, plan))
}

// untilStopped ends a plan when stop is closed.
func untilStopped(stop <-chan struct{}, plan iter.Seq[load.Planned]) iter.Seq[load.Planned] {
	return func(yield func(load.Planned) bool) {
		for p := range plan {
			select {
			case <-stop:
				return
			default:
				if !yield(p) {
					return
				}
			}
		}
	}
}

// caller returns a caller that is closed at the end of the run.
func (r *run) caller(region int, credential string, hosts ...string) *caller.Client {
	c := r.live.Caller(region, credential, r.seed, hosts...)
	r.out.mu.Lock()
	defer r.out.mu.Unlock()
	r.callers = append(r.callers, c)
	return c
}

// violations returns the invariant violations in the history of the run.
func (r *run) violations() []checker.Violation {
	return checker.Check(checker.Settings{DeadlineTolerance: live.DeadlineTolerance}, r.history.Records())
}

// example returns the example that the deployment is generated from.
func (r *run) example() *examples.Organisation { return r.organisation.Example }
