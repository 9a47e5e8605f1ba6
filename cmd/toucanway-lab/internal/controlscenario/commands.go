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
type command func(w *world, args []string, opt map[string]string) error

// patience is how long a command waits for what it expects.
const patience = 6 * time.Second

// commands are the words of the test language.
func commands() map[string]command {
	return map[string]command{
		"form":         form,
		"start":        start,
		"add":          add,
		"kill-host":    kill,
		"wipe":         wipe,
		"submit":       submit,
		"read":         read,
		"await-voters": awaitVoters,
		"lead":         lead,
		"advance":      advance,
		"cut":          func(w *world, a []string, _ map[string]string) error { return pair(w, a, w.net.Cut) },
		"cut-one-way":  func(w *world, a []string, _ map[string]string) error { return pair(w, a, w.net.CutOneWay) },
		"isolate":      isolate,
		"split":        split,
		"heal":         func(w *world, _ []string, _ map[string]string) error { w.net.RestoreAll(); return nil },
	}
}

// names returns the hosts of a list: names, "all" for those that run, or "leader".
func (w *world) names(args []string) ([]*host, error) {
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

func (w *world) awaitLeader() (*host, error) {
	for end := time.Now().Add(patience); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		if h := w.leader(); h != nil {
			return h, nil
		}
	}
	return nil, fmt.Errorf("no host leads within %v", patience)
}

// seeds returns the addresses of the hosts of an option; all hosts' names are known by then.
func (w *world) seeds(text string) ([]fleet.HostID, error) {
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
func form(w *world, args []string, opt map[string]string) error {
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

// start starts hosts again: start h1 h2 [seeds=h3].
func start(w *world, args []string, opt map[string]string) error {
	hs, err := w.names(args)
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

// add starts a new host with an empty disk: add h6 seeds=h2.
func add(w *world, args []string, opt map[string]string) error {
	seeds, err := w.seeds(opt["seeds"])
	if err != nil {
		return err
	}
	h := w.add(args[0])
	h.seeds = seeds
	return w.start(h, false)
}

// kill ends processes at once.
func kill(w *world, args []string, _ map[string]string) error {
	hs, err := w.names(args)
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

// wipe empties the disks of hosts that don't run.
func wipe(w *world, args []string, _ map[string]string) error {
	hs, err := w.names(args)
	if err != nil {
		return err
	}
	for _, h := range hs {
		w.wipe(h)
	}
	return nil
}

// submit sends a version until it is acknowledged, or once with once=1: submit 7 via=h2.
func submit(w *world, args []string, opt map[string]string) error {
	v, err := strconv.ParseUint(args[0], 10, 64)
	if err != nil {
		return err
	}
	hs, err := w.names([]string{opt["via"]})
	if err != nil {
		return err
	}
	for end := time.Now().Add(patience); ; time.Sleep(50 * time.Millisecond) {
		if err = w.submit(hs[0], routes.Version(v)); err == nil || opt["once"] != "" || time.Now().After(end) {
			return err
		}
	}
}

// read reads the configuration from hosts until that works, or once with once=1: read h1 h2 is=7.
func read(w *world, args []string, opt map[string]string) error {
	hs, err := w.names(args)
	if err != nil {
		return err
	}
	for _, h := range hs {
		for end := time.Now().Add(patience); ; time.Sleep(50 * time.Millisecond) {
			v, err := w.read(h)
			if err == nil {
				if want, ok := opt["is"]; ok && want != fmt.Sprint(v) {
					return fmt.Errorf("%s holds version %d", h.name, v)
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

// awaitVoters waits until the leader counts voters: await-voters 5 [has=h6] [not=h1].
func awaitVoters(w *world, args []string, opt map[string]string) error {
	var last string
	for end := time.Now().Add(2 * patience); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		h := w.leader()
		if h == nil {
			continue
		}
		st := h.group.Status()
		last = fmt.Sprint(st.Voters)
		if fmt.Sprint(len(st.Voters)) == args[0] && w.isVoter(st.Members, opt["has"], true) && w.isVoter(st.Members, opt["not"], false) &&
			w.knowsItself(opt["has"]) {
			return nil
		}
	}
	return fmt.Errorf("the voters are %s", last)
}

// isVoter says whether a host has a vote with its present disk, or has none, as is wanted; no name is always right.
func (w *world) isVoter(ms raft.Membership, name string, want bool) bool {
	if name == "" {
		return true
	}
	h, err := w.host(name)
	if err != nil {
		return false
	}
	m, ok := ms.Find(h.ip)
	return (ok && !m.Learner && m.Storage == h.disk) == want
}

// knowsItself says whether a host's own log names it as a voter, so that its admission is not lost with the leader.
func (w *world) knowsItself(name string) bool {
	h, err := w.host(name)
	if err != nil || h.group == nil {
		return name == ""
	}
	return w.isVoter(h.group.Status().Members, name, true)
}

// lead waits until some host leads: lead [within=1500ms].
func lead(w *world, _ []string, opt map[string]string) error {
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
			return fmt.Errorf("a leader took %v", took)
		}
	}
	return nil
}

// advance lets time pass.
func advance(_ *world, args []string, _ map[string]string) error {
	d, err := time.ParseDuration(args[0])
	if err != nil {
		return err
	}
	time.Sleep(d)
	return nil
}

func pair(w *world, args []string, f func(a, b string)) error {
	hs, err := w.names(args)
	if err != nil {
		return err
	}
	f(string(hs[0].ip), string(hs[1].ip))
	return nil
}

// isolate cuts hosts off from all others.
func isolate(w *world, args []string, _ map[string]string) error {
	hs, err := w.names(args)
	if err != nil {
		return err
	}
	for _, h := range hs {
		w.net.Isolate(string(h.ip))
	}
	return nil
}

// split cuts two groups apart: split h1,h2 h3,h4,h5.
func split(w *world, args []string, _ map[string]string) error {
	var sides [2][]string
	for i := range sides {
		hs, err := w.names(strings.Split(args[i], ","))
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
