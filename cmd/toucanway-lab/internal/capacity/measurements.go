package capacity

import (
	"fmt"

	"toucanway/core/control"
	"toucanway/core/fleet"
)

// repeat is how often CPU times are measured at each size.
const repeat = 3

// Measurements returns all measurements of the parts that exist.
func Measurements() []Measurement {
	out := stateMeasurements()
	out = append(out, commandMeasurements()...)
	out = append(out, messageMeasurements()...)
	return append(out, documentMeasurements()...)
}

func stateMeasurements() []Measurement {
	hosts, servers, records := []int{325, 650, 1300}, []int{825, 1650, 3300, 6600}, []int{1680, 3360, 6720, targetReplicas}
	snapshot := func(build func(int) (*builder, error)) func(int) (float64, error) {
		return func(n int) (float64, error) {
			b, err := build(n)
			if err != nil {
				return 0, err
			}
			data, err := b.machine.Snapshot()
			return float64(len(data)), err
		}
	}
	heap := func(build func(int) (*builder, error)) func(int) (float64, error) {
		return func(n int) (float64, error) {
			return heapOf(func() (any, error) { return build(n) })
		}
	}
	return []Measurement{
		{Name: "control state heap, sessions", SizeUnit: "host", Unit: "B", Sizes: hosts, Target: targetHosts, Run: heap(sessions)},
		{Name: "control state heap, backend servers", SizeUnit: "backend server", Unit: "B", Sizes: servers, Target: targetBackends, Run: heap(backends)},
		{
			Name: "control state heap, replica records", SizeUnit: "replica", Unit: "B", Sizes: records, Target: targetReplicas,
			Run: func(n int) (float64, error) {
				b, err := backends(targetBackends)
				if err != nil {
					return 0, err
				}
				return heapOf(func() (any, error) { return b, b.replicas(n) })
			},
		},
		{
			Name: "control state heap, closed sessions of replaced hosts", SizeUnit: "host", Unit: "B",
			Sizes: []int{400, 800, 1600}, Target: 365 * replacedPerDay,
			Run: heap(func(n int) (*builder, error) {
				b := &builder{}
				return b, each(n, func(i int) error {
					if err := b.apply(openSession(i)); err != nil {
						return err
					}
					return b.apply(&control.CloseSession{Host: hostID(i), Incarnation: 1})
				})
			}),
		},
		{Name: "control snapshot, sessions", SizeUnit: "host", Unit: "B", Sizes: hosts, Target: targetHosts, Run: snapshot(sessions)},
		{Name: "control snapshot, backend servers", SizeUnit: "backend server", Unit: "B", Sizes: servers, Target: targetBackends, Run: snapshot(backends)},
	}
}

// commandMeasurements measure whether the time of a command grows with the state.
func commandMeasurements() []Measurement {
	const commands = 500
	servers := []int{825, 1650, 3300, 6600}
	onServers := func(name string, run func(b *builder, n int) (float64, error)) Measurement {
		return Measurement{
			Name: "CPU of one command, " + name, SizeUnit: "backend server", Unit: "us", Sizes: servers, Target: targetBackends,
			Repeat: repeat,
			Run: func(n int) (float64, error) {
				b, err := backends(n)
				if err != nil {
					return 0, err
				}
				return run(b, n)
			},
		}
	}
	return []Measurement{
		onServers("announcement renewed", func(b *builder, n int) (float64, error) {
			return perCommand(commands, func(i int) error {
				return b.apply(&control.PutBackend{Announcement: announcement(i % n)})
			})
		}),
		onServers("session opened", func(b *builder, _ int) (float64, error) {
			return perCommand(commands, func(i int) error { return b.apply(openSession(i + 1)) })
		}),
		onServers("session closed", func(b *builder, _ int) (float64, error) {
			if err := each(commands, func(i int) error { return b.apply(openSession(i + 1)) }); err != nil {
				return 0, err
			}
			return perCommand(commands, func(i int) error {
				return b.apply(&control.CloseSession{Host: hostID(i + 1), Incarnation: 1})
			})
		}),
		onServers("load decided and ready", func(b *builder, n int) (float64, error) {
			if err := each(commands/control.MaxReplicasPerModel+1, func(i int) error {
				return b.apply(&control.SetTarget{Model: model(i * control.MaxReplicasPerModel), Count: control.MaxReplicasPerModel})
			}); err != nil {
				return 0, err
			}
			perLoad, err := perCommand(commands, func(i int) error { return loadOne(b, i, n) })
			return perLoad / commandsPerLoad, err
		}),
	}
}

// commandsPerLoad is the number of commands that take a replica from its decision to ready.
const commandsPerLoad = 3

func loadOne(b *builder, i, n int) error {
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

// messageMeasurements measure the stored and sent size of messages that carry lists.
func messageMeasurements() []Measurement {
	entry := func(c control.Command) (float64, error) {
		data, err := control.Encode(control.Proposal{
			Proposer: control.Proposer{Host: hostID(1), Incarnation: 1}, Seq: 1 << 20, Command: c,
		})
		return float64(len(data)), err
	}
	batch := func(n int, c control.Command) (float64, error) {
		one, err := entry(c)
		return one * float64(n), err
	}
	counts := []int{1, 10, 100}
	return []Measurement{
		{
			Name: "log entries, announcements", SizeUnit: "entry", Unit: "B", Sizes: counts, Target: targetBackends,
			Run: func(n int) (float64, error) { return batch(n, &control.PutBackend{Announcement: announcement(1)}) },
		},
		{
			Name: "log entries, sessions", SizeUnit: "entry", Unit: "B", Sizes: counts, Target: targetHosts,
			Run: func(n int) (float64, error) { return batch(n, openSession(1)) },
		},
		{
			Name: "log entries, load decisions", SizeUnit: "entry", Unit: "B", Sizes: counts, Target: targetReplicas,
			Run: func(n int) (float64, error) { return batch(n, decideLoad(1, targetBackends)) },
		},
		{
			Name: "log entry, inventory", SizeUnit: "model", Unit: "B", Sizes: []int{1, 4, 16, 64}, Target: 64,
			Run: func(n int) (float64, error) {
				c := &control.SettleInventory{Backend: backendID(1), Incarnation: 1, Fence: 1 << 20, Before: 1 << 20}
				for i := range n {
					c.Models = append(c.Models, loadedModel(i))
				}
				return entry(c)
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
		Model: model(i * control.MaxReplicasPerModel), Version: "2026-11", State: fleet.ReplicaReady, Memory: 16 * fleet.GiB, Order: 1 << 20,
	}
}

// documentMeasurements measure the configuration document as the control state keeps it, one line for each item.
func documentMeasurements() []Measurement {
	const changes = 50
	lines := []int{250, 500, 1000, 2000}
	oneLine := func(n int) (*builder, func(i int) error, error) {
		b, text, err := withDocument(n)
		return b, func(i int) error {
			split := control.SplitLines(text)
			old := text
			split[i%n] = fmt.Sprintf(documentLine, n+i)
			hunk := control.Hunk{Start: i % n, End: i%n + 1, Lines: []string{split[i%n]}}
			var ok bool
			if text, ok = control.ApplyHunks(old, []control.Hunk{hunk}); !ok {
				return fmt.Errorf("hunk %d does not apply", i)
			}
			return submit(b, text, []control.Hunk{hunk})
		}, err
	}
	return []Measurement{
		{
			Name: "control state heap, document", SizeUnit: "line", Unit: "B", Sizes: lines, Target: declaredItems,
			Run: func(n int) (float64, error) {
				return heapOf(func() (any, error) {
					b, _, err := withDocument(n)
					return b, err
				})
			},
		},
		{
			Name: "CPU of one changed line, sender and one host", SizeUnit: "line", Unit: "us", Sizes: lines, Target: declaredItems,
			Repeat: repeat,
			Run: func(n int) (float64, error) {
				_, change, err := oneLine(n)
				if err != nil {
					return 0, err
				}
				return perCommand(changes, change)
			},
		},
		{
			Name: "log entry, changed lines", SizeUnit: "changed line", Unit: "B", Sizes: []int{1, 10, 100}, Target: 100,
			Run: func(n int) (float64, error) {
				text := document(n)
				data, err := control.Encode(control.Proposal{Command: &control.SubmitDocument{
					Base: 1, Digest: control.Digest(text), Operator: "operator", Sections: []string{"models"},
					Hunks: []control.Hunk{{End: n, Lines: control.SplitLines(text)}},
				}})
				return float64(len(data)), err
			},
		},
	}
}
