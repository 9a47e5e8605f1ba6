package scenario

import (
	"errors"
	"strconv"

	"toucanway/cmd/toucanway-lab/internal/backend"
	"toucanway/cmd/toucanway-lab/internal/history"
	"toucanway/core/fleet"
	"toucanway/io/operators"
)

func parseFaults(opt options) backend.Faults {
	return backend.Faults{
		Mute: opt.flag("mute", false), Swap: opt.flag("swap", false), Late: opt.duration("late", 0),
		CrashOnLoad: opt.flag("crash-on-load", false), CrashOnPrompt: opt.text("crash-on-prompt", ""),
	}
}

// setStoreSlowdown makes transfers from the weight store take FACTOR times as long: slow=FACTOR, 1 for full speed.
func setStoreSlowdown(r *run, _ []string, opt options) error {
	factor, err := strconv.ParseFloat(opt.text("slow", "1"), 64)
	if err != nil {
		return err
	}
	r.simulation.weights.SetSlowdown(factor)
	return nil
}

// cut drops all traffic between two hosts or backend servers without an error; one-way=true drops only that from A to B.
func cut(r *run, args []string, opt options) error {
	if len(args) != 2 {
		return errors.New("usage: cut A B [one-way=true]")
	}
	a, err := r.simulation.ipByName(args[0])
	if err != nil {
		return err
	}
	b, err := r.simulation.ipByName(args[1])
	if err != nil {
		return err
	}
	if opt.flag("one-way", false) {
		r.simulation.net.CutOneWay(a, b)
		return nil
	}
	r.simulation.net.Cut(a, b)
	return nil
}

// isolate cuts hosts or backend servers off from all others without an error; callers=true keeps the links to callers.
func isolate(r *run, args []string, opt options) error {
	keepCallers := opt.flag("callers", false)
	for _, name := range args {
		ip, err := r.simulation.ipByName(name)
		if err != nil {
			return err
		}
		if !keepCallers {
			r.simulation.net.Isolate(ip)
			r.simulation.history.Add(history.HostUnreachable{Host: fleet.HostID(name)})
			continue
		}
		for _, other := range r.simulation.memberIPs() {
			if other != ip {
				r.simulation.net.Cut(ip, other)
			}
		}
	}
	return nil
}

// memberIPs returns the addresses of all hosts and backend servers.
func (w *simulation) memberIPs() []string {
	var out []string
	for _, h := range w.d.Settings.Hosts {
		out = append(out, h.IP)
	}
	for _, e := range w.d.Settings.Engines {
		ip, err := w.ipByName(string(e.ID))
		if err == nil {
			out = append(out, ip)
		}
	}
	for _, s := range w.d.Settings.Services {
		ip, err := w.ipByName(string(s.ID))
		if err == nil {
			out = append(out, ip)
		}
	}
	return out
}

// rejoin ends all cuts of hosts or backend servers.
func rejoin(r *run, args []string, _ options) error {
	for _, name := range args {
		ip, err := r.simulation.ipByName(name)
		if err != nil {
			return err
		}
		r.simulation.net.Rejoin(ip)
		r.simulation.history.Add(history.HostReachable{Host: fleet.HostID(name)})
	}
	return nil
}

// heal ends all cuts.
func heal(r *run, _ []string, _ options) error {
	r.simulation.net.RestoreAll()
	for _, h := range r.simulation.d.Settings.Hosts {
		r.simulation.history.Add(history.HostReachable{Host: h.ID})
	}
	return nil
}

// drain makes backend servers leave, or, with host=NAME, drains a host through the operators' interface.
func drain(r *run, args []string, opt options) error {
	if h := opt.text("host", ""); h != "" {
		c := r.simulation.d.Operator(address(1, kindOperator, 1), deploymentToken)
		_, err := c.Drain(r.simulation.ctx, operators.DrainRequest{Host: h})
		return err
	}
	for _, name := range args {
		if err := r.leaveBackend(fleet.BackendID(name)); err != nil {
			return err
		}
	}
	return nil
}

func (r *run) leaveBackend(id fleet.BackendID) error {
	w := r.simulation
	var n fleet.Incarnation
	var err error
	switch {
	case w.d.Engines[id] != nil:
		n, err = w.d.Engines[id].Incarnation(), w.d.Engines[id].Leave()
	case w.d.Services[id] != nil:
		n, err = w.d.Services[id].Incarnation(), w.d.Services[id].Leave()
	default:
		return errors.New("no backend server " + string(id) + " in the deployment")
	}
	if err == nil {
		w.history.Add(history.BackendLeft{Backend: id, Incarnation: n})
	}
	return err
}
