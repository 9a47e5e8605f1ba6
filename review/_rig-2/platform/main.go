package main

import (
	"errors"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

// maxTime is the longest time that a case may take after its deployment serves.
const maxTime = 85 * time.Second

// Exit codes of a case.
const (
	exitHeld     = 0
	exitBroken   = 1
	exitNotRun   = 2
	recordName   = "record.txt"
	troubleOff   = "0"
	recordFolder = "review"
)

// run is one run of a case.
type run struct {
	*cluster
	record  *record
	trouble bool
}

// playedCase is a case with the models of its first configuration. Its function reports whether the rule was broken.
type playedCase struct {
	play   func(r *run) (bool, error)
	models map[string]float64
}

// cases maps the numbers of the cases to the cases.
var cases = map[string]playedCase{
	"6":  {playDeadly, nil},
	"7":  {playLimit, modelsBefore},
	"8":  {playCrash, nil},
	"9":  {playStall, nil},
	"10": {playSlowEnd, nil},
}

func main() {
	if len(os.Args) != 2 || cases[os.Args[1]].play == nil {
		fmt.Fprintln(os.Stderr, "usage: rig CASE, in the root of the repository")
		os.Exit(exitNotRun)
	}
	os.Exit(play(os.Args[1]))
}

// play runs a case, writes its record and returns the exit code.
func play(name string) int {
	r := &run{record: newRecord(), trouble: os.Getenv("TROUBLE") != troubleOff}
	r.record.add("case %s, trouble: %v", name, r.trouble)
	broken, err := r.start(cases[name])
	switch {
	case err != nil:
		r.record.add("not run: %v", err)
	case broken:
		r.record.add("result: the rule was broken")
	default:
		r.record.add("result: the rule held")
	}
	if werr := r.record.write(filepath.Join(recordFolder, name, recordName)); werr != nil {
		fmt.Fprintln(os.Stderr, werr)
		return exitNotRun
	}
	fmt.Println(r.record.lines[len(r.record.lines)-1])
	switch {
	case err != nil:
		return exitNotRun
	case broken:
		return exitBroken
	default:
		return exitHeld
	}
}

// start starts the deployment, plays the case and ends all processes.
func (r *run) start(c playedCase) (broken bool, err error) {
	models := c.models
	if models == nil {
		models = map[string]float64{"m": modelWeights}
	}
	r.cluster, err = newCluster(r.record, configuration(1, models))
	if r.cluster != nil {
		defer r.cluster.stop()
	}
	if err != nil {
		return false, err
	}
	type outcome struct {
		broken bool
		err    error
	}
	done := make(chan outcome, 1)
	go func() {
		broken, err := c.play(r)
		done <- outcome{broken, err}
	}()
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, syscall.SIGINT, syscall.SIGTERM)
	select {
	case o := <-done:
		return o.broken, o.err
	case <-interrupted:
		return false, errors.New("interrupted")
	case <-time.After(maxTime):
		return false, errors.New("the case took too long")
	}
}
