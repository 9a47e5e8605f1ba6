package checker

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"toucanway/cmd/toucanway-lab/internal/history"
	"toucanway/core/fleet"
)

// step is an event with its time since the beginning in seconds.
type step struct {
	at    float64
	event history.Event
}

func records(steps []step) []history.Record {
	var out []history.Record
	for _, s := range steps {
		out = append(out, history.Record{At: time.Duration(s.at * float64(time.Second)), Event: s.event})
	}
	return out
}

var (
	firstAttempt  = history.Attempt{Key: "k", Number: 1}
	secondAttempt = history.Attempt{Key: "k", Number: 2}
)

func invoked(a history.Attempt, nonIdempotent bool) history.Event {
	return history.RequestInvoked{Attempt: a, Host: "h", Deadline: time.Second, NonIdempotent: nonIdempotent}
}

func ran(id fleet.RequestID) history.Event {
	return history.RequestRun{Request: id, Key: "k", Backend: "b", Incarnation: 1}
}

func refused(a history.Attempt, x fleet.Execution) history.Event {
	return history.RequestRefused{Attempt: a, Request: fleet.RequestID("r"), Code: fleet.CodeNoCapacity, Execution: x}
}

func answered(a history.Attempt) history.Event {
	return history.RequestAnswered{Attempt: a, FirstByte: time.Second / 2, Want: "x", Got: "x"}
}

func decided(order fleet.OrderID, b fleet.BackendID) history.Event {
	return history.LoadDecided{Order: order, Model: "m", Backend: b}
}

func started(order fleet.OrderID, b fleet.BackendID, i fleet.Incarnation) history.Event {
	return history.LoadStarted{Order: order, Model: "m", Backend: b, Incarnation: i}
}

func inForce(v fleet.DocumentVersion) history.Event {
	return history.DocumentInForce{Host: "h", Version: v}
}

// Guards against violations that are not found, and against violations reported for valid histories.
func TestCheck(t *testing.T) {
	target := func(n int) history.Event { return history.TargetDecided{Model: "m", Count: n} }
	lost := history.RequestLost{Attempt: firstAttempt, Reason: "reset"}
	leave := history.BackendLeft{Backend: "b", Incarnation: 1}
	accept := func(v fleet.DocumentVersion, digest string) history.Event {
		return history.DocumentAccepted{Version: v, Digest: digest}
	}
	cases := map[string]struct {
		steps []step
		want  []Invariant
	}{
		"loads as decided": {steps: []step{
			{0, target(1)}, {1, decided(1, "b")}, {2, started(1, "b", 1)}, {3, history.Unloaded{Model: "m", Backend: "b", Incarnation: 1}},
			{4, decided(2, "c")}, {5, started(2, "c", 1)}, {6, history.BackendStopped{Backend: "c", Incarnation: 1}},
			{7, decided(3, "b")}, {8, started(3, "b", 1)},
			{9, history.LoadEnded{Order: 3, Model: "m", Backend: "b", Incarnation: 1}}, {10, decided(4, "b")}, {11, target(0)},
			{12, started(4, "b", 1)},
		}},
		"load without a decision": {steps: []step{{0, target(1)}, {1, started(1, "b", 1)}}, want: []Invariant{I1}},
		"load on another server": {
			steps: []step{{0, target(1)}, {1, decided(1, "b")}, {2, started(1, "c", 1)}}, want: []Invariant{I1},
		},
		"order carried out by two incarnations": {steps: []step{
			{0, target(1)}, {1, decided(1, "b")}, {2, started(1, "b", 1)}, {3, history.BackendStopped{Backend: "b", Incarnation: 1}},
			{4, started(1, "b", 2)},
		}, want: []Invariant{I1}},
		"more loaded than the target": {steps: []step{
			{0, target(1)}, {1, decided(1, "b")}, {2, started(1, "b", 1)}, {3, decided(2, "c")}, {4, started(2, "c", 1)},
		}, want: []Invariant{I1}},
		"memory full":     {steps: []step{{1, history.MemoryPeak{Backend: "b", Used: 10, Total: 10}}}},
		"memory exceeded": {steps: []step{{1, history.MemoryPeak{Backend: "b", Used: 11, Total: 10}}}, want: []Invariant{I2}},
		"answered and refused in time": {steps: []step{
			{0, invoked(firstAttempt, false)}, {1, refused(firstAttempt, fleet.NotRun)}, {2, invoked(secondAttempt, false)}, {9, answered(secondAttempt)},
		}},
		"answered late": {steps: []step{
			{0, invoked(firstAttempt, false)}, {3, history.RequestAnswered{Attempt: firstAttempt, FirstByte: 2 * time.Second}},
		}, want: []Invariant{I3}},
		"refused late":         {steps: []step{{0, invoked(firstAttempt, false)}, {2, refused(firstAttempt, fleet.NotRun)}}, want: []Invariant{I3}},
		"lost without a fault": {steps: []step{{0, invoked(firstAttempt, false)}, {0.5, lost}}, want: []Invariant{I3}},
		"no outcome":           {steps: []step{{0, invoked(firstAttempt, false)}, {5, ran("q")}}, want: []Invariant{I3}},
		"lost with a host":     {steps: []step{{0, invoked(firstAttempt, false)}, {0.4, history.HostStopped{Host: "h"}}, {0.5, lost}}},
		"lost before another host stopped": {
			steps: []step{{0, invoked(firstAttempt, false)}, {0.4, history.HostStopped{Host: "g"}}, {0.5, lost}}, want: []Invariant{I3},
		},
		"lost after the host was reachable again": {steps: []step{
			{0, history.HostUnreachable{Host: "h"}}, {1, history.HostReachable{Host: "h"}}, {2, invoked(firstAttempt, false)}, {2.5, lost},
		}, want: []Invariant{I3}},
		"answer of another request": {steps: []step{
			{0, invoked(firstAttempt, false)}, {1, history.RequestAnswered{Attempt: firstAttempt, Want: "x", Got: "y"}},
		}, want: []Invariant{I4}},
		"answer repeated": {steps: []step{
			{0, invoked(firstAttempt, false)}, {1, history.RequestAnswered{Attempt: firstAttempt, Want: "x", Got: "xx"}},
		}, want: []Invariant{I4}},
		"two outcomes": {
			steps: []step{{0, invoked(firstAttempt, false)}, {0.1, answered(firstAttempt)}, {0.2, answered(firstAttempt)}}, want: []Invariant{I4},
		},
		"refused as not run and run": {steps: []step{
			{0, invoked(firstAttempt, false)}, {0.1, refused(firstAttempt, fleet.NotRun)}, {0.2, ran("r")},
		}, want: []Invariant{I5}},
		"refused as possibly run": {steps: []step{
			{0, invoked(firstAttempt, true)}, {0.1, ran("r")}, {0.2, refused(firstAttempt, fleet.MayHaveRun)},
		}},
		"order repeated after a correct refusal": {steps: []step{
			{0, invoked(firstAttempt, true)}, {0.1, refused(firstAttempt, fleet.NotRun)}, {1, invoked(secondAttempt, true)}, {1.1, ran("s")}, {1.2, answered(secondAttempt)},
		}},
		"order run, then repeated and refused as not run": {steps: []step{
			{0, invoked(firstAttempt, true)}, {0.1, ran("q")}, {0.5, history.HostStopped{Host: "h"}}, {0.6, lost},
			{0.7, inForce(1)}, {1, invoked(secondAttempt, true)}, {1.1, refused(secondAttempt, fleet.NotRun)},
		}, want: []Invariant{I5}},
		"order run twice": {steps: []step{
			{0, invoked(firstAttempt, true)}, {0.1, ran("q")}, {0.2, ran("s")}, {0.3, answered(firstAttempt)},
		}, want: []Invariant{I6}},
		"idempotent request run twice": {steps: []step{
			{0, invoked(firstAttempt, false)}, {0.1, ran("q")}, {0.2, ran("s")}, {0.3, answered(firstAttempt)},
		}},
		"run within the limit after a leave": {steps: []step{{1, leave}, {2.9, ran("q")}}},
		"run beyond the limit after a leave": {steps: []step{{1, leave}, {3.1, ran("q")}}, want: []Invariant{I7}},
		"queued within the limit, run later": {steps: []step{
			{1, leave}, {4, history.RequestRun{Backend: "b", Incarnation: 1, Waited: 2 * time.Second}},
		}},
		"dispatch after a leave": {steps: []step{
			{0, history.BackendStarted{Backend: "b", Incarnation: 1}}, {1, leave},
			{4, history.RequestDispatched{Request: "q", Host: "h", Backend: "b"}},
		}, want: []Invariant{I7}},
		"new incarnation after a leave": {steps: []step{
			{1, leave}, {4, history.RequestRun{Backend: "b", Incarnation: 2}},
		}},
		"graceful shutdown": {steps: []step{
			{0, invoked(firstAttempt, false)}, {0.1, history.ShutdownBegan{Host: "h"}}, {0.2, answered(firstAttempt)}, {1, history.ShutdownEnded{Host: "h"}},
			{2, invoked(secondAttempt, false)}, {2.1, history.RequestLost{Attempt: secondAttempt}},
		}},
		"interrupted by a shutdown": {steps: []step{
			{0, invoked(firstAttempt, false)}, {0.1, history.ShutdownBegan{Host: "h"}}, {0.2, lost}, {1, history.ShutdownEnded{Host: "h"}},
		}, want: []Invariant{I3, I8}},
		"refused by a shutdown that began later": {steps: []step{
			{0, invoked(firstAttempt, false)}, {0.1, history.ShutdownBegan{Host: "h"}},
			{0.2, history.RequestRefused{Attempt: firstAttempt, Code: fleet.CodeHostDraining, Execution: fleet.NotRun}},
		}, want: []Invariant{I8}},
		"document in force in time": {steps: []step{
			{0, inForce(1)}, {1, accept(2, "x")}, {1, accept(2, "x")}, {4.9, inForce(2)}, {9, ran("q")},
		}},
		"document in force late": {
			steps: []step{{0, inForce(1)}, {1, accept(2, "x")}, {5.1, inForce(2)}}, want: []Invariant{I9},
		},
		"suspended host": {steps: []step{
			{0, inForce(1)}, {1, accept(2, "x")}, {4, history.HostSuspended{Host: "h"}}, {9, inForce(2)},
		}},
		"host comes back with an old document": {steps: []step{
			{0, inForce(1)}, {1, accept(2, "x")}, {4, history.HostSuspended{Host: "h"}}, {9, inForce(1)},
		}, want: []Invariant{I9}},
		"document reverted":      {steps: []step{{0, inForce(2)}, {1, inForce(1)}}, want: []Invariant{I9}},
		"two documents accepted": {steps: []step{{0, accept(2, "x")}, {1, accept(2, "y")}}, want: []Invariant{I9}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			var got []Invariant
			violations := Check(Settings{}, records(c.steps))
			for _, v := range violations {
				got = append(got, v.Invariant)
			}
			require.Equal(t, c.want, got, Report(violations))
		})
	}
}
