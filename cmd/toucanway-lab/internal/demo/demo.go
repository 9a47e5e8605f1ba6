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
	// backgroundRate and backgroundTime describe the calls that go on during the steps, which end them.
	backgroundRate = 15
	backgroundTime = time.Minute
	// backgroundOutput lets the longest answers end within about 15 s.
	backgroundOutput = 500
	clients          = 12
)

// ErrViolated reports broken invariants.
var ErrViolated = errors.New("invariants were violated")

// Demo is the demonstration; the zero value runs on loopback TCP.
type Demo struct {
	// Transport replaces loopback TCP and Folder the temporary folder of the voters; tests set them.
	Transport func(ip string) network.Network
	Folder    string
	// Quiet leaves out the calls in the background.
	Quiet bool
}

// run is one demonstration under way.
type run struct {
	Demo
	ctx     context.Context
	seed    uint64
	out     *printer
	live    *live.Live
	org     workload.Organisation
	history *history.History
	// script are the results of the steps, results those of the calls in the background.
	script, results *load.Results
	version         uint64
	text            string
	orders          []string
	wakes           []wake
	callers         []*caller.Client
}

// wake is the cold start of one model, as its first callers saw it.
type wake struct {
	model    fleet.ModelID
	requests int
	answered int
	first    time.Duration
	last     time.Duration
}

// printer writes lines with the time since the beginning.
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
		Demo: d, ctx: ctx, seed: seed, out: &printer{w: out, begin: time.Now()}, org: org, history: history.New(),
		script: load.NewResults(), results: load.NewResults(), text: org.Example.Document(),
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

// steps carries out the demonstration with calls in the background.
func (r *run) steps() error {
	for _, s := range []step{{"start", r.start}, {"configuration", r.submit}} {
		if err := r.step(s); err != nil {
			return err
		}
	}
	stop := make(chan struct{})
	var g errgroup.Group
	if !r.Quiet {
		g.Go(func() error {
			r.background(stop)
			return nil
		})
	}
	var err error
	for _, s := range []step{
		{"wake sleeping models", r.wake}, {"answers", r.answers}, {"order sent twice", r.order},
		{"change of configuration", r.change}, {"backend server leaves", r.drain}, {"entry host killed", r.kill},
	} {
		if err = r.step(s); err != nil {
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

func (r *run) step(s step) error {
	ctx, cancel := context.WithTimeout(r.ctx, stepTimeout)
	defer cancel()
	if err := s.do(ctx); err != nil {
		r.out.line("%s: FAILED: %v", s.name, err)
		return fmt.Errorf("step %q: %w", s.name, err)
	}
	return nil
}

// background sends the organisation's calls until stop is closed, and waits for their ends.
func (r *run) background(stop <-chan struct{}) {
	s := load.Settings{}
	for i := range clients {
		s.Callers = append(s.Callers, r.caller(i%len(r.org.Example.Regions), ""))
	}
	plan := r.org.Plan(workload.Settings{
		Seed: r.seed, Rate: backgroundRate, Duration: backgroundTime, BurstEvery: 15 * time.Second, BurstSize: 12, MaxOutput: backgroundOutput,
	})
	r.results = load.Run(r.ctx, s, until(stop, plan))
}

// until ends a plan early.
func until(stop <-chan struct{}, plan iter.Seq[load.Planned]) iter.Seq[load.Planned] {
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

// caller returns a caller that is closed at the end. It is called by one goroutine at a time.
func (r *run) caller(region int, credential string, hosts ...string) *caller.Client {
	c := r.live.Caller(region, credential, r.seed, hosts...)
	r.out.mu.Lock()
	defer r.out.mu.Unlock()
	r.callers = append(r.callers, c)
	return c
}

// violations checks the history of the run.
func (r *run) violations() []checker.Violation {
	return checker.Check(checker.Settings{CallerDelay: live.CallerDelay}, r.history.Records())
}

// example returns the organisation's example.
func (r *run) example() *examples.Organisation { return r.org.Example }
