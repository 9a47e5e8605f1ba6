package main

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"runtime"
	"slices"
)

// Exit codes of a case.
const (
	exitHeld = iota
	exitBroken
	exitNotRun
)

// cases are the cases by the name of their command.
var cases = map[string]func(ctx context.Context, w *world, trouble bool) (broken bool, err error){
	"killed-at-first-start":           killedAtFirstStart,
	"seed-lost-at-start":              seedLostAtStart,
	"other-writer":                    otherWriter,
	"disks-lost-after-first-manifest": disksLostAfterFirstManifest,
	"late-order":                      lateOrder,
}

func main() {
	// Processes end with the thread that has started them.
	runtime.LockOSThread()
	os.Exit(run())
}

// run plays the case that the first argument names. The second is the file of the record, the third the program.
func run() int {
	if len(os.Args) != 4 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: platform CASE RECORD PROGRAM")
		return exitNotRun
	}
	r, err := newRecord(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	trouble := os.Getenv("TROUBLE") != "0"
	r.line("case %s, with the disruption: %t", os.Args[1], trouble)
	broken, err := play(cases[os.Args[1]], r, os.Args[3], trouble)
	switch {
	case err != nil:
		r.result("the case could not run: %v", err)
		return exitNotRun
	case broken:
		r.result("the rule was broken")
		return exitBroken
	}
	r.result("the rule held")
	return exitHeld
}

// play plays a case, and ends all processes that it has started.
func play(f func(context.Context, *world, bool) (bool, error), r *record, program string, trouble bool) (bool, error) {
	program, err := filepath.Abs(program)
	if err != nil {
		return false, err
	}
	n, err := newNetwork(maxMachines)
	if err != nil {
		return false, err
	}
	tmp, err := os.MkdirTemp("", "review-")
	if err != nil {
		return false, err
	}
	defer os.RemoveAll(tmp)
	w := &world{network: n, program: program, folder: tmp, record: r, losses: 1}
	for _, i := range seeds {
		w.seeds = append(w.seeds, n.address(i, portControl))
	}
	defer w.close()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	return f(ctx, w, trouble)
}

// Machines of the cases: five controllers, of which three are the seeds, and two gateways. maxMachines is the largest number.
const maxMachines = 12

var (
	seeds       = []int{1, 2, 3}
	controllers = []int{1, 2, 3, 4, 5}
	gateways    = []int{6, 7}
)

// startAll starts all machines of the deployment for the first time, one of them last. It returns them by number.
func (w *world) startAll(last int) (map[int]*machine, error) {
	out := map[int]*machine{}
	others := slices.DeleteFunc(slices.Concat(controllers, gateways), func(i int) bool { return i == last })
	for _, i := range append(others, last) {
		role := roleController
		if slices.Contains(gateways, i) {
			role = roleGateway
		}
		out[i] = w.addMachine(i, role)
		if err := out[i].start(true); err != nil {
			return nil, err
		}
	}
	return out, nil
}
