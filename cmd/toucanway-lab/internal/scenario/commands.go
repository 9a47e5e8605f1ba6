package scenario

import (
	"errors"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"toucanway/cmd/toucanway-lab/internal/caller"
	"toucanway/cmd/toucanway-lab/internal/deployment"
	"toucanway/cmd/toucanway-lab/internal/history"
	"toucanway/core/control"
	"toucanway/core/fleet"
	"toucanway/io/operators"
)

// command carries out one line of a script, given its positional arguments and key=value options.
type command func(r *run, args []string, opt options) error

// run is a running script; simulation is nil before the deploy command.
type run struct {
	simulation *simulation
	ts         *testscript.TestScript
}

func commands() map[string]command {
	return map[string]command{
		"deploy":        deploy,
		"submit":        submit,
		"call":          call,
		"order":         order,
		"await":         await,
		"advance":       advance,
		"kill-host":     killHosts,
		"stop-host":     stopHosts,
		"start-host":    startHosts,
		"lose-disk":     loseDisk,
		"crash-backend": crashBackends,
		"fault":         setFaults,
		"store":         setStoreSlowdown,
		"cut":           cut,
		"isolate":       isolate,
		"rejoin":        rejoin,
		"heal":          heal,
		"drain":         drain,
		"expect":        expect,
	}
}

// options are the key=value arguments of a command. Each one is removed when it is read, so that those left at the end are
// unknown.
type options map[string]string

var errUnknownOption = errors.New("unknown option")

func (o options) text(key, def string) string {
	v, ok := o[key]
	if !ok {
		return def
	}
	delete(o, key)
	return v
}

func (o options) number(key string, def int) int {
	n, err := strconv.Atoi(o.text(key, strconv.Itoa(def)))
	if err != nil {
		panic(fmt.Errorf("%s must be a whole number: %w", key, err))
	}
	return n
}

func (o options) flag(key string, def bool) bool {
	b, err := strconv.ParseBool(o.text(key, strconv.FormatBool(def)))
	if err != nil {
		panic(fmt.Errorf("%s must be true or false: %w", key, err))
	}
	return b
}

func (o options) duration(key string, def time.Duration) time.Duration {
	d, err := time.ParseDuration(o.text(key, def.String()))
	if err != nil {
		panic(fmt.Errorf("%s must be a duration: %w", key, err))
	}
	return d
}

// deploy starts hosts and stand-in backend servers, and submits a document with the number of models in models= unless it is 0.
func deploy(r *run, _ []string, opt options) error {
	s := deploymentSpec{
		hosts: opt.number("hosts", 3), voters: opt.number("voters", 3), regions: opt.number("regions", 3),
		engines: opt.number("engines", 3), services: opt.number("services", 1), models: opt.number("models", 3),
		checksFence: opt.flag("fence", true), refuseOvercommit: opt.flag("refuse", false), slots: opt.number("slots", 8),
		memory: fleet.Bytes(opt.number("memory-gib", 80)) * fleet.GiB, seed: uint64(opt.number("seed", 1)),
	}
	s.voters = min(s.voters, s.hosts)
	w, err := newSimulation(s)
	r.simulation = w
	if err != nil {
		return err
	}
	time.Sleep(3 * time.Second)
	if s.models == 0 {
		return nil
	}
	var extra []string
	if n := opt.number("min-replicas", 0); n > 0 {
		extra = append(extra, fmt.Sprintf("min-replicas: %d", n))
	}
	if err := r.submitText("lab", deployment.SmallDocument(s.models, extra...), 0, "ok"); err != nil {
		return err
	}
	time.Sleep(3 * time.Second)
	return nil
}

// submit submits a document: a file of the script, or a generated one with models=N models. as= is the expected result, ok or
// the code of an error; repeat=N submits N changes of the document one after the other.
func submit(r *run, args []string, opt options) error {
	text := ""
	switch {
	case len(args) == 1:
		text = r.ts.ReadFile(args[0])
	default:
		text = deployment.SmallDocument(opt.number("models", r.simulation.spec.models))
	}
	base := opt.number("base", int(r.simulation.version))
	want, from := opt.text("as", "ok"), opt.text("from", "lab")
	repeat := opt.number("repeat", 1)
	for i := range repeat {
		doc := text
		if repeat > 1 {
			doc += fmt.Sprintf("# change %d\n", i+1)
		}
		if err := r.submitText(from, doc, base, want); err != nil {
			return err
		}
		base = int(r.simulation.version)
	}
	return nil
}

func (r *run) submitText(name, text string, base int, want string) error {
	w := r.simulation
	c := w.d.Operator(address(1, kindOperator, 1), deployment.OperatorToken)
	a, err := c.Submit(w.ctx, operators.SubmitRequest{Base: uint64(base), Text: text})
	got := "ok"
	var apiErr *operators.Error
	switch {
	case errors.As(err, &apiErr):
		got = string(apiErr.Code)
	case err != nil:
		got = err.Error()
	default:
		w.version = fleet.DocumentVersion(a.Version)
		w.history.Add(history.DocumentAccepted{Version: w.version, Digest: control.Digest(text)})
	}
	if got != want {
		return fmt.Errorf("submission by %s on version %d: got %s (%w), want %s", name, base, got, err, want)
	}
	return nil
}

// call sends n completion requests in the background: NAME model=m1 adapter= class= n= deadline= tokens= prompt= at=HOST.
func call(r *run, args []string, opt options) error {
	if len(args) != 1 {
		return errors.New("usage: call NAME [option=value...]")
	}
	c, err := r.simulation.caller(opt.text("class", "interactive"), opt.text("at", ""))
	if err != nil {
		return err
	}
	n := opt.number("n", 1)
	req := caller.Request{
		Target: fleet.Target{Model: fleet.ModelID(opt.text("model", "m1")), Adapter: fleet.AdapterID(opt.text("adapter", ""))},
		Prompt: opt.text("prompt", args[0]), MaxTokens: opt.number("tokens", 32), Stream: opt.flag("stream", true),
		Deadline: opt.duration("deadline", 30*time.Second),
	}
	for i := range n {
		request := req
		name := args[0]
		if n > 1 {
			name = fmt.Sprintf("%s-%d", args[0], i+1)
			request.Prompt = fmt.Sprintf("%s %d", req.Prompt, i+1)
		}
		request.Key = history.Key(name)
		if err := r.simulation.start(name, c, &request); err != nil {
			return err
		}
	}
	return nil
}

// order sends a non-idempotent call in the background: NAME key=KEY at=HOST deadline= resend=N.
func order(r *run, args []string, opt options) error {
	if len(args) != 1 {
		return errors.New("usage: order NAME [option=value...]")
	}
	c, err := r.simulation.caller(opt.text("class", "critical"), opt.text("at", ""))
	if err != nil {
		return err
	}
	key := opt.text("key", args[0])
	return r.simulation.start(args[0], c, &caller.Request{
		Key: history.Key(key), NonIdempotent: true, Repetition: opt.number("resend", 0), Service: "orders", Path: "/submit",
		Body: []byte(fmt.Sprintf(`{"key":%q}`, key)), Deadline: opt.duration("deadline", 10*time.Second),
	})
}

// await waits until requests have ended.
func await(r *run, args []string, _ options) error {
	for _, name := range r.expandNames(args) {
		if _, err := r.simulation.result(name); err != nil {
			return err
		}
	}
	return nil
}

// expandNames expands NAME* to all requests that begin with NAME.
func (r *run) expandNames(args []string) []string {
	var out []string
	r.simulation.mu.Lock()
	defer r.simulation.mu.Unlock()
	for _, a := range args {
		prefix, ok := strings.CutSuffix(a, "*")
		if !ok {
			out = append(out, a)
			continue
		}
		for name := range r.simulation.outcomes {
			if strings.HasPrefix(name, prefix) {
				out = append(out, name)
			}
		}
	}
	slices.Sort(out)
	return out
}

// advance sleeps for a synthetic DURATION.
func advance(_ *run, args []string, _ options) error {
	if len(args) != 1 {
		return errors.New("usage: advance DURATION")
	}
	d, err := time.ParseDuration(args[0])
	if err != nil {
		return err
	}
	time.Sleep(d)
	return nil
}

// killHosts ends the processes of hosts without a shutdown.
func killHosts(r *run, args []string, _ options) error {
	for _, name := range args {
		h, err := r.simulation.hostByName(name)
		if err != nil {
			return err
		}
		r.simulation.net.Host(h.IP).Close()
		if err := r.simulation.d.KillHost(h.ID); err != nil {
			return err
		}
	}
	return nil
}

// stopHosts shuts down hosts gracefully.
func stopHosts(r *run, args []string, _ options) error {
	for _, name := range args {
		if err := r.simulation.d.StopHost(fleet.HostID(name)); err != nil {
			return err
		}
	}
	return nil
}

// startHosts restarts hosts.
func startHosts(r *run, args []string, _ options) error {
	for _, name := range args {
		if err := r.simulation.d.StartHost(fleet.HostID(name)); err != nil {
			return err
		}
	}
	return nil
}

// loseDisk empties the disks of hosts that are not running.
func loseDisk(r *run, args []string, _ options) error {
	for _, name := range args {
		if err := r.simulation.d.LoseDisk(fleet.HostID(name)); err != nil {
			return err
		}
	}
	return nil
}

// crashBackends ends the processes of backend servers; for=DURATION restarts them after that time.
func crashBackends(r *run, args []string, opt options) error {
	restartDelay := opt.duration("for", 0)
	for _, name := range args {
		id := fleet.BackendID(name)
		switch {
		case r.simulation.d.Engines[id] != nil && restartDelay > 0:
			r.simulation.d.Engines[id].CrashAndRestart(restartDelay)
		case r.simulation.d.Engines[id] != nil:
			r.simulation.d.Engines[id].Crash()
		case r.simulation.d.Services[id] != nil && restartDelay > 0:
			r.simulation.d.Services[id].CrashAndRestart(restartDelay)
		case r.simulation.d.Services[id] != nil:
			r.simulation.d.Services[id].Crash()
		default:
			return fmt.Errorf("no backend server %s in the deployment", name)
		}
	}
	return nil
}

// setFaults sets the simulated faults of backend servers: slow=FACTOR mute= swap= late= crash-on-load= crash-on-prompt=TEXT;
// without options there are none.
func setFaults(r *run, args []string, opt options) error {
	slow, err := strconv.ParseFloat(opt.text("slow", "0"), 64)
	if err != nil {
		return err
	}
	f := parseFaults(opt)
	f.Slow = slow
	for _, name := range args {
		id := fleet.BackendID(name)
		switch {
		case r.simulation.d.Engines[id] != nil:
			r.simulation.d.Engines[id].Faults.Set(f)
		case r.simulation.d.Services[id] != nil:
			r.simulation.d.Services[id].Faults.Set(f)
		default:
			return fmt.Errorf("no backend server %s in the deployment", name)
		}
	}
	return nil
}
