package soak

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"syscall"
	"time"

	"golang.org/x/sync/errgroup"

	"toucanway/platform/standin"
)

// Settings describe a run.
type Settings struct {
	// Program is the path of the toucanway executable.
	Program string
	Seed    uint64
	// Duration is the time in which faults are injected.
	Duration time.Duration
	// Accounts is set for a run with client accounts, and with faults that last longer than hosts may serve them without contact.
	Accounts bool
	// Out receives a line for each fault.
	Out io.Writer
}

// Sizes of a run.
const (
	controllers  = 3
	gateways     = 2
	plainServers = 2
	engines      = 2
	callers      = 6
	// formationTimeout is the longest time until the first configuration is acknowledged, and recoveryTime the time without
	// faults at the end.
	formationTimeout = 15 * time.Second
	recoveryTime     = 8 * time.Second
	// stopTimeout is the longest time in which a process must stop.
	stopTimeout = 6 * time.Second
	// lossRate is the share of requests that a stand-in runs without an answer.
	lossRate = 0.01
	// rateLimit is the limit in requests a second that each limitedEvery-th stand-in names, which gets more than that otherwise.
	rateLimit    = 20.0
	limitedEvery = 2
)

// Result is the outcome of a run.
type Result struct {
	// Answered and Failed count the requests of the callers, Runs those that ran at least once.
	Answered, Failed, Runs int
	Violations             []string
	// Logs are the logs of all processes, by name.
	Logs map[string]string
}

// run is the state of a run.
type run struct {
	cfg       Settings
	rand      *rand.Rand
	folder    string
	ports     ports
	links     *links
	processes []*process
	record    *standin.Record
	models    []string
	backends  []*backendServer
	// longFault is the last one.
	longFault longFault
}

// backendServer is a stand-in backend server over all its incarnations.
type backendServer struct {
	cfg    standin.BackendSettings
	cancel context.CancelFunc
	done   chan struct{}
	server *standin.Backend
}

// Run starts a deployment, injects faults for a duration and returns what the checks have found.
func Run(ctx context.Context, cfg Settings) (Result, error) {
	folder, err := os.MkdirTemp("", "toucanway-soak-")
	if err != nil {
		return Result{}, err
	}
	defer os.RemoveAll(folder)
	r := &run{
		cfg: cfg, rand: rand.New(rand.NewPCG(cfg.Seed, 5)), folder: folder, links: newLinks(), record: standin.NewRecord(),
		models: []string{"m0", "m1", "m2"},
	}
	if r.ports, err = freePorts(rand.New(rand.NewPCG(cfg.Seed, uint64(os.Getpid())))); err != nil {
		return Result{}, err
	}
	interrupted := ctx
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	eg, ctx := errgroup.WithContext(ctx)
	if err := r.start(ctx, eg); err != nil {
		r.stopAll()
		cancel()
		return Result{}, err
	}
	r.injectFaults(ctx)
	res := r.finish(ctx)
	r.stopAll()
	if err := interrupted.Err(); err != nil {
		// The checks at the end say nothing after an interrupt.
		return Result{}, err
	}
	r.checkLogs()
	res.Violations = r.record.Violations()
	for _, p := range r.processes {
		res.Logs[p.name] = p.log.String()
	}
	cancel()
	if err := eg.Wait(); err != nil && ctx.Err() == nil {
		return res, err
	}
	return res, nil
}

// The ports of processes are chosen below those that the system uses for outgoing connections, since a closed connection of an
// earlier run occupies its port on the address of a process for a minute.
const firstPort, portCount = 20000, 10000

// freePorts returns ports that are not in use.
func freePorts(r *rand.Rand) (ports, error) {
	var out [5]int
	for i := range out {
		l, err := listenInRange(r)
		if err != nil {
			return ports{}, err
		}
		defer l.Close()
		out[i] = l.Addr().(*net.TCPAddr).Port
	}
	return ports{out[0], out[1], out[2], out[3], out[4]}, nil
}

// maxPortTries is the most ports that are tried to find a free one.
const maxPortTries = 100

// listenInRange listens on a free port of the range for processes.
func listenInRange(r *rand.Rand) (l net.Listener, err error) {
	for range maxPortTries {
		l, err = net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", firstPort+r.IntN(portCount)))
		if err == nil {
			return l, nil
		}
	}
	return nil, err
}

// address returns a loopback address of this run. It depends on the process id, so that concurrent runs use different ones.
func address(kind, n int) string {
	return fmt.Sprintf("127.%d.%d.%d", 64+os.Getpid()%128, kind, n)
}

// start starts the processes, the stand-in backend servers, the operator and the callers.
func (r *run) start(ctx context.Context, eg *errgroup.Group) error {
	var seeds []string
	for i := 1; i <= controllers; i++ {
		p := &process{role: "controller", name: fmt.Sprintf("c%d", i), ip: address(1, i), bindIP: address(2, i)}
		seeds = append(seeds, p.ip)
		r.processes = append(r.processes, p)
		eg.Go(func() error {
			return r.links.proxy(ctx, fmt.Sprintf("%s:%d", p.ip, r.ports.hosts), fmt.Sprintf("%s:%d", p.bindIP, r.ports.hosts))
		})
	}
	for i := 1; i <= gateways; i++ {
		r.processes = append(r.processes, &process{role: "gateway", name: fmt.Sprintf("g%d", i), ip: address(3, i)})
	}
	for _, p := range r.processes {
		p.folder, p.program = r.folder, r.cfg.Program
		if err := p.writeSettings(r.ports, seeds, true); err != nil {
			return err
		}
		if err := p.start(); err != nil {
			return err
		}
	}
	r.startBackends(ctx)
	op := r.operator()
	end := time.Now().Add(formationTimeout)
	for !op.Submit(ctx) {
		if time.Now().After(end) {
			return fmt.Errorf("no configuration was acknowledged within %v; the first lines of %s: %.2000s", formationTimeout,
				r.processes[0].name, r.processes[0].log.String())
		}
		time.Sleep(100 * time.Millisecond)
	}
	// The control group has formed; processes that start from now on must not form another one.
	for _, p := range r.processes {
		if err := p.writeSettings(r.ports, seeds, false); err != nil {
			return err
		}
	}
	eg.Go(func() error {
		r.runOperator(ctx, op)
		return nil
	})
	for i := range callers {
		c := &standin.Caller{
			Name: fmt.Sprintf("s%d-%d", r.cfg.Seed, i), Directory: func() []string { return r.addresses("controller", r.ports.directory) },
			Models: r.models, Record: r.record, Rand: rand.New(rand.NewPCG(r.cfg.Seed, uint64(100+i))),
			Accounts: r.cfg.Accounts, Gateways: r.addresses("gateway", r.ports.callers),
		}
		eg.Go(func() error { return c.Run(ctx) })
	}
	return nil
}

func (r *run) operator() *standin.Operator {
	return &standin.Operator{
		Control: func() []string { return r.addresses("controller", r.ports.control) }, Models: r.models, Record: r.record,
		Rand: rand.New(rand.NewPCG(r.cfg.Seed, 99)), Accounts: r.cfg.Accounts,
	}
}

// addresses returns the addresses of all processes of a role with a port.
func (r *run) addresses(role string, port int) []string {
	var out []string
	for _, p := range r.processes {
		if p.role == role {
			out = append(out, fmt.Sprintf("%s:%d", p.ip, port))
		}
	}
	return out
}

// runOperator submits and reads configurations until the context ends.
func (r *run) runOperator(ctx context.Context, op *standin.Operator) {
	for ctx.Err() == nil {
		if op.Rand.IntN(3) == 0 {
			op.Submit(ctx)
		} else {
			list := op.Control()
			op.Read(ctx, list[op.Rand.IntN(len(list))])
		}
		time.Sleep(time.Duration(50+op.Rand.IntN(250)) * time.Millisecond)
	}
}

// startBackends starts the stand-ins of plain services and engines.
func (r *run) startBackends(ctx context.Context) {
	control := func() []string { return r.addresses("controller", r.ports.control) }
	for i := range plainServers + engines {
		cfg := standin.BackendSettings{
			ID: fmt.Sprintf("b%d", i), Service: "plain", DataCentre: "z", Address: fmt.Sprintf("%s:%d", address(4, i+1), r.ports.callers),
			Control: control, Record: r.record, LossRate: lossRate, Seed: r.cfg.Seed + uint64(i),
		}
		if i%limitedEvery == 0 {
			cfg.RateLimit = rateLimit
		}
		if i >= plainServers {
			cfg.Service, cfg.Engine, cfg.MaxModels = "engines", true, 2
			cfg.InitialModels = []string{r.models[i-plainServers]}
		}
		b := &backendServer{cfg: cfg}
		r.backends = append(r.backends, b)
		r.startBackend(ctx, b)
	}
}

// startBackend starts the next incarnation of a backend server.
func (r *run) startBackend(ctx context.Context, b *backendServer) {
	ctx, cancel := context.WithCancel(ctx)
	b.server, b.cancel, b.done = standin.NewBackend(b.cfg), cancel, make(chan struct{})
	go func() {
		defer close(b.done)
		if err := b.server.Run(ctx); err != nil {
			r.record.AddViolation("stand-in %s: %v", b.cfg.ID, err)
		}
	}()
}

func (r *run) logf(format string, args ...any) {
	fmt.Fprintf(r.cfg.Out, "%s seed %d: "+format+"\n", append([]any{time.Now().Format("15:04:05.000"), r.cfg.Seed}, args...)...)
}

// restore restores all links, and resumes or starts all processes.
func (r *run) restore() {
	r.links.restoreAll()
	for _, p := range r.processes {
		p.signal(syscall.SIGCONT)
		if err := p.start(); err != nil {
			r.record.AddViolation("%s cannot be started: %v", p.name, err)
		}
	}
}

// finish ends all faults, checks that the deployment serves again, and returns the result.
func (r *run) finish(ctx context.Context) Result {
	r.restore()
	time.Sleep(recoveryTime)
	before, _ := r.record.Answered()
	time.Sleep(time.Second)
	if after, _ := r.record.Answered(); after == before {
		r.record.AddViolation("no request was answered in the last second without faults")
	}
	op := r.operator()
	for _, a := range op.Control() {
		ok := false
		for end := time.Now().Add(5 * time.Second); !ok && time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
			ok = op.Read(ctx, a)
		}
		if !ok {
			r.record.AddViolation("%s returns no configuration after all faults have ended", a)
		}
	}
	if r.cfg.Accounts {
		r.checkAccountsCommand(ctx)
	}
	res := Result{Runs: r.record.Runs(), Logs: map[string]string{}}
	res.Answered, res.Failed = r.record.Answered()
	for _, p := range r.processes {
		p.mu.Lock()
		for _, u := range p.unexpectedExits {
			r.record.AddViolation("%s", u)
		}
		p.mu.Unlock()
	}
	return res
}

// checkAccountsCommand checks that the operators' command lists the client accounts without their keys.
func (r *run) checkAccountsCommand(ctx context.Context) {
	out, err := exec.CommandContext(ctx, r.cfg.Program, "accounts", "--settings", r.processes[0].settings).CombinedOutput()
	r.logf("%s", out)
	if err != nil {
		r.record.AddViolation("the command accounts failed: %v", err)
	}
	if bytes.Contains(out, []byte(standin.KeyPrefix)) {
		r.record.AddViolation("the command accounts shows a key")
	}
	for _, name := range standin.AccountNames() {
		if !bytes.Contains(out, []byte(name)) {
			r.record.AddViolation("the command accounts does not list account %s", name)
		}
	}
}

// checkLogs checks that no process has written a key to its log.
func (r *run) checkLogs() {
	for _, p := range r.processes {
		if bytes.Contains(p.log.Bytes(), []byte(standin.KeyPrefix)) {
			r.record.AddViolation("the log of %s contains a key", p.name)
		}
	}
}

// stopAll stops all processes that the run has started.
func (r *run) stopAll() {
	exited := make([]<-chan struct{}, len(r.processes))
	for i, p := range r.processes {
		p.signal(syscall.SIGCONT)
		exited[i] = p.terminate(syscall.SIGTERM)
	}
	for i, p := range r.processes {
		if !p.awaitExit(exited[i], stopTimeout) {
			r.record.AddViolation("%s did not stop within %v", p.name, stopTimeout)
		}
	}
}
