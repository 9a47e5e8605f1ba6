package controlscenario

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"toucanway/core/fleet"
	"toucanway/core/raft"
	"toucanway/core/routes"
)

// command carries out one line of a script; options are the words KEY=VALUE.
type command func(w *simulation, args []string, opt map[string]string) error

// commandTimeout is the longest time that a command waits for its condition.
const commandTimeout = 6 * time.Second

// commands returns the commands of scripts by name.
func commands() map[string]command {
	return map[string]command{
		"form":         form,
		"start":        startHosts,
		"add":          addHost,
		"kill-host":    killHosts,
		"wipe":         wipeHosts,
		"submit":       submit,
		"read":         read,
		"await-voters": awaitVoters,
		"lead":         awaitLead,
		"advance":      advance,
		"cut":          func(w *simulation, a []string, _ map[string]string) error { return cutPair(w, a, w.net.Cut) },
		"cut-one-way":  func(w *simulation, a []string, _ map[string]string) error { return cutPair(w, a, w.net.CutOneWay) },
		"isolate":      isolateHosts,
		"split":        splitHosts,
		"heal":         func(w *simulation, _ []string, _ map[string]string) error { w.net.RestoreAll(); return nil },
	}
}

// resolveHosts returns the hosts with the given names; "all" stands for those that run, and "leader" for the leader.
func (w *simulation) resolveHosts(args []string) ([]*host, error) {
	var out []*host
	for _, a := range args {
		switch a {
		case "all":
			for _, h := range w.hosts {
				if h.group != nil {
					out = append(out, h)
				}
			}
		case "leader":
			h, err := w.awaitLeader()
			if err != nil {
				return nil, err
			}
			out = append(out, h)
		default:
			h, err := w.host(a)
			if err != nil {
				return nil, err
			}
			out = append(out, h)
		}
	}
	return out, nil
}

func (w *simulation) awaitLeader() (*host, error) {
	for end := time.Now().Add(commandTimeout); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		if h := w.leader(); h != nil {
			return h, nil
		}
	}
	return nil, fmt.Errorf("no host became leader within %v", commandTimeout)
}

// seeds returns the addresses of a comma-separated list of hosts, which must have been added before.
func (w *simulation) seeds(text string) ([]fleet.HostID, error) {
	var out []fleet.HostID
	for name := range strings.SplitSeq(text, ",") {
		h, err := w.host(name)
		if err != nil {
			return nil, err
		}
		out = append(out, h.ip)
	}
	return out, nil
}

// form starts hosts h1, h2, ... for the first time: form N seeds=h1,h2,h3.
func form(w *simulation, args []string, opt map[string]string) error {
	n, err := strconv.Atoi(args[0])
	if err != nil {
		return err
	}
	for i := range n {
		w.add(fmt.Sprintf("h%d", i+1))
	}
	seeds, err := w.seeds(opt["seeds"])
	if err != nil {
		return err
	}
	for _, h := range w.hosts {
		h.seeds = seeds
		if err := w.start(h, true); err != nil {
			return err
		}
	}
	return nil
}

// startHosts restarts hosts: start h1 h2 [seeds=h3].
func startHosts(w *simulation, args []string, opt map[string]string) error {
	hs, err := w.resolveHosts(args)
	if err != nil {
		return err
	}
	for _, h := range hs {
		if s, ok := opt["seeds"]; ok {
			if h.seeds, err = w.seeds(s); err != nil {
				return err
			}
		}
		if err := w.start(h, false); err != nil {
			return err
		}
	}
	return nil
}

// addHost starts a new host with an empty disk: add h6 seeds=h2.
func addHost(w *simulation, args []string, opt map[string]string) error {
	seeds, err := w.seeds(opt["seeds"])
	if err != nil {
		return err
	}
	h := w.add(args[0])
	h.seeds = seeds
	return w.start(h, false)
}

// killHosts ends the processes of hosts without a shutdown.
func killHosts(w *simulation, args []string, _ map[string]string) error {
	hs, err := w.resolveHosts(args)
	if err != nil {
		return err
	}
	for _, h := range hs {
		if err := w.kill(h); err != nil {
			return err
		}
	}
	return nil
}

// wipeHosts empties the disks of hosts that are not running.
func wipeHosts(w *simulation, args []string, _ map[string]string) error {
	hs, err := w.resolveHosts(args)
	if err != nil {
		return err
	}
	for _, h := range hs {
		w.wipe(h)
	}
	return nil
}

// submit sends a version until it is acknowledged, or once with once=1: submit 7 via=h2.
func submit(w *simulation, args []string, opt map[string]string) error {
	v, err := strconv.ParseUint(args[0], 10, 64)
	if err != nil {
		return err
	}
	hs, err := w.resolveHosts([]string{opt["via"]})
	if err != nil {
		return err
	}
	for end := time.Now().Add(commandTimeout); ; time.Sleep(50 * time.Millisecond) {
		if err = w.submit(hs[0], routes.Version(v)); err == nil || opt["once"] != "" || time.Now().After(end) {
			return err
		}
	}
}

// read reads the configuration from hosts and checks its version; it retries errors unless once=1: read h1 h2 is=7.
func read(w *simulation, args []string, opt map[string]string) error {
	hs, err := w.resolveHosts(args)
	if err != nil {
		return err
	}
	for _, h := range hs {
		for end := time.Now().Add(commandTimeout); ; time.Sleep(50 * time.Millisecond) {
			v, err := w.read(h)
			if err == nil {
				if want, ok := opt["is"]; ok && want != fmt.Sprint(v) {
					return fmt.Errorf("%s has version %d, which is not the expected one", h.name, v)
				}
				break
			}
			if opt["once"] != "" || time.Now().After(end) {
				return fmt.Errorf("%s: %w", h.name, err)
			}
		}
	}
	return nil
}

// awaitVoters waits until the leader's group has the given number of voters, includes the host in has= and excludes the host in
// not=: await-voters 5 [has=h6] [not=h1].
func awaitVoters(w *simulation, args []string, opt map[string]string) error {
	var last string
	for end := time.Now().Add(2 * commandTimeout); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		h := w.leader()
		if h == nil {
			continue
		}
		st := h.group.Status()
		last = fmt.Sprint(st.Voters)
		if fmt.Sprint(len(st.Voters)) == args[0] && w.checkVoter(st.Members, opt["has"], true) && w.checkVoter(st.Members, opt["not"], false) &&
			w.isVoterInOwnLog(opt["has"]) {
			return nil
		}
	}
	return fmt.Errorf("timed out waiting for the expected voters; the voters are %s", last)
}

// checkVoter reports whether a host is a voter with its current disk (want true) or is not (want false). It returns true for an
// empty name.
func (w *simulation) checkVoter(ms raft.Membership, name string, want bool) bool {
	if name == "" {
		return true
	}
	h, err := w.host(name)
	if err != nil {
		return false
	}
	m, ok := ms.Find(h.ip)
	return (ok && !m.Learner && m.Storage == h.storageID) == want
}

// isVoterInOwnLog reports whether a host is a voter according to its own log, so that its membership is not lost with the leader.
func (w *simulation) isVoterInOwnLog(name string) bool {
	h, err := w.host(name)
	if err != nil || h.group == nil {
		return name == ""
	}
	return w.checkVoter(h.group.Status().Members, name, true)
}

// awaitLead waits until a host leads: lead [within=1500ms].
func awaitLead(w *simulation, _ []string, opt map[string]string) error {
	began := time.Now()
	if _, err := w.awaitLeader(); err != nil {
		return err
	}
	if text, ok := opt["within"]; ok {
		within, err := time.ParseDuration(text)
		if err != nil {
			return err
		}
		if took := time.Since(began); took > within {
			return fmt.Errorf("the election of a leader took %v, longer than within= allows", took)
		}
	}
	return nil
}

// advance sleeps for a synthetic duration.
func advance(_ *simulation, args []string, _ map[string]string) error {
	d, err := time.ParseDuration(args[0])
	if err != nil {
		return err
	}
	time.Sleep(d)
	return nil
}

// cutPair calls f with the addresses of two hosts.
func cutPair(w *simulation, args []string, f func(a, b string)) error {
	hs, err := w.resolveHosts(args)
	if err != nil {
		return err
	}
	f(string(hs[0].ip), string(hs[1].ip))
	return nil
}

// isolateHosts cuts hosts off from all others.
func isolateHosts(w *simulation, args []string, _ map[string]string) error {
	hs, err := w.resolveHosts(args)
	if err != nil {
		return err
	}
	for _, h := range hs {
		w.net.Isolate(string(h.ip))
	}
	return nil
}

// splitHosts cuts two groups of hosts off from each other: split h1,h2 h3,h4,h5.
func splitHosts(w *simulation, args []string, _ map[string]string) error {
	var sides [2][]string
	for i := range sides {
		hs, err := w.resolveHosts(strings.Split(args[i], ","))
		if err != nil {
			return err
		}
		for _, h := range hs {
			sides[i] = append(sides[i], string(h.ip))
		}
	}
	w.net.Partition(sides[0], sides[1])
	return nil
}
