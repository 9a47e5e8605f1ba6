package scenario

import (
	"errors"
	"fmt"
	"strconv"
	"time"

	"toucanway/cmd/toucanway-lab/internal/deployment"
	"toucanway/core/control"
	"toucanway/core/fleet"
)

const deploymentToken = deployment.OperatorToken

// expect checks an expectation: answered NAME... [within=DURATION], refused NAME... [code=] [execution=], runs KEY N, version N
// [at=HOST], replicas MODEL N, sessions N, lease HOST... [valid=false].
func expect(r *run, args []string, opt options) error {
	if len(args) == 0 {
		return errors.New("usage: expect WHAT [argument]")
	}
	what, rest := args[0], args[1:]
	switch what {
	case "answered":
		return r.expectAnswered(rest, opt)
	case "refused":
		return r.expectRefused(rest, opt)
	case "runs":
		return r.expectRuns(rest)
	case "version":
		return r.expectVersion(rest, opt)
	case "replicas":
		return r.expectReplicas(rest)
	case "sessions":
		return r.expectSessions(rest)
	case "lease":
		return r.expectLease(rest, opt)
	default:
		return fmt.Errorf("unknown expectation %q", what)
	}
}

func (r *run) expectAnswered(names []string, opt options) error {
	within := opt.duration("within", 0)
	for _, name := range r.expandNames(names) {
		o, err := r.simulation.result(name)
		switch {
		case err != nil:
			return err
		case !o.Answered && o.Refusal != nil:
			return fmt.Errorf("request %s was refused: %+v", name, *o.Refusal)
		case !o.Answered:
			return fmt.Errorf("request %s was not answered after %v and %d attempts: %w", name, o.Total, o.Attempts, o.Err)
		case o.WrongReason != "":
			return fmt.Errorf("request %s got a wrong answer: %s", name, o.WrongReason)
		case within > 0 && o.FirstToken > within:
			return fmt.Errorf("request %s got its first token after %v, more than %v", name, o.FirstToken, within)
		}
	}
	return nil
}

func (r *run) expectRefused(names []string, opt options) error {
	code, execution := opt.text("code", ""), opt.text("execution", "")
	for _, name := range r.expandNames(names) {
		o, err := r.simulation.result(name)
		switch {
		case err != nil:
			return err
		case o.Refusal == nil:
			return fmt.Errorf("request %s was not refused: answered %t, %w", name, o.Answered, o.Err)
		case code != "" && string(o.Refusal.Code) != code:
			return fmt.Errorf("request %s was refused with %s, want %s: %s", name, o.Refusal.Code, code, o.Refusal.Message)
		case execution != "" && string(o.Refusal.Execution) != execution:
			return fmt.Errorf("request %s was refused with execution %s, want %s", name, o.Refusal.Execution, execution)
		}
	}
	return nil
}

// expectRuns checks how often the services ran a key.
func (r *run) expectRuns(args []string) error {
	if len(args) != 2 {
		return errors.New("usage: expect runs KEY N")
	}
	n := 0
	for _, s := range r.simulation.d.Services {
		n += s.Counts()[args[0]]
	}
	return expectCount("runs of "+args[0], args[1], n)
}

func expectCount(what, want string, got int) error {
	if strconv.Itoa(got) != want {
		return fmt.Errorf("%s: got %d, want %s", what, got, want)
	}
	return nil
}

// expectVersion checks the document version in force on all running hosts, or on one.
func (r *run) expectVersion(args []string, opt options) error {
	at := opt.text("at", "")
	for _, h := range r.simulation.d.RunningHosts() {
		if at != "" && string(h.ID) != at {
			continue
		}
		var v fleet.DocumentVersion
		r.simulation.d.ReadState(h.ID, func(s *control.State) { v = s.Document().Version })
		if err := expectCount("version at "+string(h.ID), args[0], int(v)); err != nil {
			return err
		}
	}
	return nil
}

// expectReplicas checks the number of ready replicas of a model in the state of the first running host.
func (r *run) expectReplicas(args []string) error {
	if len(args) != 2 {
		return errors.New("usage: expect replicas MODEL N")
	}
	n := 0
	r.viewState(func(s *control.State) {
		for _, rep := range s.Replicas(fleet.ModelID(args[0])) {
			if rep.State == control.ReplicaReady {
				n++
			}
		}
	})
	return expectCount("ready replicas of "+args[0], args[1], n)
}

// viewState calls f with the control state of the first running host, if any.
func (r *run) viewState(f func(*control.State)) {
	if hosts := r.simulation.d.RunningHosts(); len(hosts) > 0 {
		r.simulation.d.ReadState(hosts[0].ID, f)
	}
}

func (r *run) expectSessions(args []string) error {
	n := 0
	r.viewState(func(s *control.State) { n = len(s.Sessions()) })
	return expectCount("open sessions", args[0], n)
}

// expectLease checks whether hosts have valid session leases.
func (r *run) expectLease(args []string, opt options) error {
	want := opt.flag("valid", true)
	for _, name := range args {
		got, ok := r.simulation.d.HasLease(fleet.HostID(name), time.Now())
		if !ok {
			return fmt.Errorf("host %s is not running", name)
		}
		if got != want {
			return fmt.Errorf("lease of host %s is valid: got %t, want %t", name, got, want)
		}
	}
	return nil
}
