package capacity

import (
	"fmt"

	"toucanway/core/control"
	"toucanway/core/fleet"
)

// cpuRepeats is the number of runs of a CPU time measurement at each size.
const cpuRepeats = 3

// Measurements returns all measurements that need no running deployment.
func Measurements() []Measurement {
	out := stateMeasurements()
	out = append(out, commandMeasurements()...)
	out = append(out, messageMeasurements()...)
	return append(out, documentMeasurements()...)
}

// stateMeasurements returns the measurements of the heap and the snapshot of a control state.
func stateMeasurements() []Measurement {
	hosts, servers, records := []int{325, 650, 1300}, []int{825, 1650, 3300, 6600}, []int{1680, 3360, 6720, targetReplicas}
	snapshot := func(build func(int) (*stateBuilder, error)) func(int) (float64, error) {
		return func(n int) (float64, error) {
			b, err := build(n)
			if err != nil {
				return 0, err
			}
			data, err := b.machine.Snapshot()
			return float64(len(data)), err
		}
	}
	heap := func(build func(int) (*stateBuilder, error)) func(int) (float64, error) {
		return func(n int) (float64, error) {
			return retainedHeap(func() (any, error) { return build(n) })
		}
	}
	return []Measurement{
		{Name: "control state heap, sessions", SizeUnit: "host", Unit: "B", Sizes: hosts, Target: targetHosts, Run: heap(stateWithSessions)},
		{Name: "control state heap, backend servers", SizeUnit: "backend server", Unit: "B", Sizes: servers, Target: targetBackends, Run: heap(stateWithBackends)},
		{
			Name: "control state heap, replica records", SizeUnit: "replica", Unit: "B", Sizes: records, Target: targetReplicas,
			Run: func(n int) (float64, error) {
				b, err := stateWithBackends(targetBackends)
				if err != nil {
					return 0, err
				}
				return retainedHeap(func() (any, error) { return b, b.addReplicas(n) })
			},
		},
		{
			Name: "control state heap, closed sessions of replaced hosts", SizeUnit: "host", Unit: "B",
			Sizes: []int{400, 800, 1600}, Target: 365 * hostsReplacedPerDay,
			Run: heap(func(n int) (*stateBuilder, error) {
				b := &stateBuilder{}
				return b, forEach(n, func(i int) error {
					if err := b.apply(openSession(i)); err != nil {
						return err
					}
					return b.apply(&control.CloseSession{Host: hostID(i), Incarnation: 1})
				})
			}),
		},
		{Name: "control snapshot, sessions", SizeUnit: "host", Unit: "B", Sizes: hosts, Target: targetHosts, Run: snapshot(stateWithSessions)},
		{Name: "control snapshot, backend servers", SizeUnit: "backend server", Unit: "B", Sizes: servers, Target: targetBackends, Run: snapshot(stateWithBackends)},
	}
}

// commandMeasurements returns the measurements of the CPU time of a command, which show whether it grows with the state.
func commandMeasurements() []Measurement {
	const commands = 500
	servers := []int{825, 1650, 3300, 6600}
	commandMeasurement := func(name string, run func(b *stateBuilder, n int) (float64, error)) Measurement {
		return Measurement{
			Name: "CPU of one command, " + name, SizeUnit: "backend server", Unit: "us", Sizes: servers, Target: targetBackends,
			Repeat: cpuRepeats,
			Run: func(n int) (float64, error) {
				b, err := stateWithBackends(n)
				if err != nil {
					return 0, err
				}
				return run(b, n)
			},
		}
	}
	return []Measurement{
		commandMeasurement("announcement renewed", func(b *stateBuilder, n int) (float64, error) {
			return cpuPerCall(commands, func(i int) error {
				return b.apply(&control.PutBackend{Announcement: announcement(i % n)})
			})
		}),
		commandMeasurement("session opened", func(b *stateBuilder, _ int) (float64, error) {
			return cpuPerCall(commands, func(i int) error { return b.apply(openSession(i + 1)) })
		}),
		commandMeasurement("session closed", func(b *stateBuilder, _ int) (float64, error) {
			if err := forEach(commands, func(i int) error { return b.apply(openSession(i + 1)) }); err != nil {
				return 0, err
			}
			return cpuPerCall(commands, func(i int) error {
				return b.apply(&control.CloseSession{Host: hostID(i + 1), Incarnation: 1})
			})
		}),
		commandMeasurement("load decided and ready", func(b *stateBuilder, n int) (float64, error) {
			if err := forEach(commands/control.MaxReplicasPerModel+1, func(i int) error {
				return b.apply(&control.SetReplicaTarget{Model: modelOfReplica(i * control.MaxReplicasPerModel), Count: control.MaxReplicasPerModel})
			}); err != nil {
				return 0, err
			}
			perLoad, err := cpuPerCall(commands, func(i int) error { return loadReplica(b, i, n) })
			return perLoad / commandsPerLoad, err
		}),
	}
}

// commandsPerLoad is the number of commands of a load: the decision and the reports that the order was sent and that the
// replica is ready.
const commandsPerLoad = 3

// loadReplica applies the commands of one load of a replica on a state with n backend servers.
func loadReplica(b *stateBuilder, i, n int) error {
	if err := b.apply(decideLoad(i, n)); err != nil {
		return err
	}
	order := fleet.OrderID(b.index)
	server, ok := b.machine.State.Backend(backendID(i % n))
	if !ok {
		return fmt.Errorf("backend server %s is not registered", backendID(i%n))
	}
	for _, state := range []control.ReplicaState{control.ReplicaSent, control.ReplicaReady} {
		if err := b.apply(&control.ReportOrder{Order: order, Fence: server.Fence, State: state}); err != nil {
			return err
		}
	}
	return nil
}

// messageMeasurements returns the measurements of the encoded size of log entries and inventories.
func messageMeasurements() []Measurement {
	entrySize := func(c control.Command) (float64, error) {
		data, err := control.Encode(control.Proposal{
			Proposer: control.Proposer{Host: hostID(1), Incarnation: 1}, Seq: 1 << 20, Command: c,
		})
		return float64(len(data)), err
	}
	totalSize := func(n int, c control.Command) (float64, error) {
		one, err := entrySize(c)
		return one * float64(n), err
	}
	counts := []int{1, 10, 100}
	return []Measurement{
		{
			Name: "log entries, announcements", SizeUnit: "entry", Unit: "B", Sizes: counts, Target: targetBackends,
			Run: func(n int) (float64, error) { return totalSize(n, &control.PutBackend{Announcement: announcement(1)}) },
		},
		{
			Name: "log entries, sessions", SizeUnit: "entry", Unit: "B", Sizes: counts, Target: targetHosts,
			Run: func(n int) (float64, error) { return totalSize(n, openSession(1)) },
		},
		{
			Name: "log entries, load decisions", SizeUnit: "entry", Unit: "B", Sizes: counts, Target: targetReplicas,
			Run: func(n int) (float64, error) { return totalSize(n, decideLoad(1, targetBackends)) },
		},
		{
			Name: "log entry, inventory", SizeUnit: "model", Unit: "B", Sizes: []int{1, 4, 16, 64}, Target: 64,
			Run: func(n int) (float64, error) {
				c := &control.SettleInventory{Backend: backendID(1), Incarnation: 1, Fence: 1 << 20, Before: 1 << 20}
				for i := range n {
					c.Models = append(c.Models, loadedModel(i))
				}
				return entrySize(c)
			},
		},
		{
			Name: "inventory in CBOR", SizeUnit: "running request", Unit: "B", Sizes: []int{8, 32, 64, 128}, Target: 128,
			Run: func(n int) (float64, error) {
				inv := fleet.Inventory{Backend: backendID(1), Incarnation: 1, Seq: 1 << 20, Memory: 640 * fleet.GiB}
				for i := range n {
					inv.Running = append(inv.Running, fleet.RunningRequest{
						Request: fleet.RequestID(fmt.Sprintf("0192f0c1-9a3b-7000-8000-%012d", i)), Memory: fleet.GiB,
					})
				}
				return cborSize(inv)
			},
		},
	}
}

func loadedModel(i int) fleet.LoadedModel {
	return fleet.LoadedModel{
		Model: modelOfReplica(i * control.MaxReplicasPerModel), Version: "2026-11", State: fleet.ReplicaReady, Memory: 16 * fleet.GiB, Order: 1 << 20,
	}
}

// documentMeasurements returns the measurements of a configuration document in the control state. The synthetic document has
// one line for each model and adapter.
func documentMeasurements() []Measurement {
	const changes = 50
	lines := []int{250, 500, 1000, 2000}
	lineChanger := func(n int) (*stateBuilder, func(i int) error, error) {
		b, text, err := stateWithDocument(n)
		return b, func(i int) error {
			split := control.SplitLines(text)
			old := text
			split[i%n] = fmt.Sprintf(documentLineFormat, n+i)
			hunk := control.Hunk{Start: i % n, End: i%n + 1, Lines: []string{split[i%n]}}
			var ok bool
			if text, ok = control.ApplyHunks(old, []control.Hunk{hunk}); !ok {
				return fmt.Errorf("hunk %d does not apply", i)
			}
			return submitDocument(b, text, []control.Hunk{hunk})
		}, err
	}
	return []Measurement{
		{
			Name: "control state heap, document", SizeUnit: "line", Unit: "B", Sizes: lines, Target: targetDocumentLines,
			Run: func(n int) (float64, error) {
				return retainedHeap(func() (any, error) {
					b, _, err := stateWithDocument(n)
					return b, err
				})
			},
		},
		{
			Name: "CPU of one changed line, sender and one host", SizeUnit: "line", Unit: "us", Sizes: lines, Target: targetDocumentLines,
			Repeat: cpuRepeats,
			Run: func(n int) (float64, error) {
				_, change, err := lineChanger(n)
				if err != nil {
					return 0, err
				}
				return cpuPerCall(changes, change)
			},
		},
		{
			Name: "log entry, changed lines", SizeUnit: "changed line", Unit: "B", Sizes: []int{1, 10, 100}, Target: 100,
			Run: func(n int) (float64, error) {
				text := syntheticDocument(n)
				data, err := control.Encode(control.Proposal{Command: &control.SubmitDocument{
					Base: 1, Digest: control.Digest(text), Operator: "operator", Sections: []string{"models"},
					Hunks: []control.Hunk{{End: n, Lines: control.SplitLines(text)}},
				}})
				return float64(len(data)), err
			},
		},
	}
}
