package capacity

import (
	"fmt"
	"strings"
	"time"

	"github.com/fxamacker/cbor/v2"

	"toucanway/core/control"
	"toucanway/core/fleet"
)

// Sizes of the target in section 1.7 of the design page.
const (
	targetHosts    = 1300
	targetBackends = 6600
	targetModels   = 210
	targetAdapters = 2100
	// targetReplicas is the most records that 210 models may have.
	targetReplicas = targetModels * control.MaxReplicasPerModel
	// replacedPerDay is how many hosts are restarted or replaced in a day.
	replacedPerDay = 400
	// documentLine is the length of a line of the synthetic configuration document.
	documentLine  = "  - name: model-%06d, weights: 16GiB, adapters: 10\n"
	declaredItems = targetModels + targetAdapters
)

// builder applies commands to a control state as a log would.
type builder struct {
	machine control.Machine
	index   fleet.Index
}

func (b *builder) apply(c control.Command) error {
	b.index++
	entry, err := control.Encode(control.Proposal{
		Proposer: control.Proposer{Host: "host-0001", Incarnation: 1}, Seq: uint64(b.index), Command: c,
	})
	if err != nil {
		return err
	}
	res, err := control.DecodeResult(b.machine.Apply(b.index, entry))
	if err != nil {
		return err
	}
	return res.Err()
}

func place(i int) fleet.Place {
	return fleet.Place{
		Region: fleet.Region(fmt.Sprintf("region-%d", i%5)), DataCentre: fleet.DataCentre(fmt.Sprintf("dc-%02d", i%12)),
		Rack: fleet.Rack(fmt.Sprintf("rack-%04d", i%200)),
	}
}

func hostID(i int) fleet.HostID       { return fleet.HostID(fmt.Sprintf("host-%04d", i)) }
func backendID(i int) fleet.BackendID { return fleet.BackendID(fmt.Sprintf("engine-%05d", i)) }

func openSession(i int) *control.OpenSession {
	return &control.OpenSession{
		Host: hostID(i), Incarnation: 1, Address: fmt.Sprintf("10.%d.%d.1:7000", i/250, i%250),
		CallerAddress: fmt.Sprintf("10.%d.%d.1:8000", i/250, i%250), Place: place(i),
	}
}

func announcement(i int) fleet.Announcement {
	return fleet.Announcement{
		ID: backendID(i), Incarnation: 1, Kind: fleet.KindEngine, Address: fmt.Sprintf("10.1%d.%d.1:9000", i/250, i%250),
		Place: place(i), Memory: 640 * fleet.GiB, Slots: 64,
	}
}

func decideLoad(i, backends int) *control.DecideLoad {
	return &control.DecideLoad{
		Model: model(i), Version: "2026-11", Backend: backendID(i % backends), Incarnation: 1, Memory: 16 * fleet.GiB,
	}
}

func model(i int) fleet.ModelID {
	return fleet.ModelID(fmt.Sprintf("model-%04d", i/control.MaxReplicasPerModel))
}

// sessions returns a state with hosts alone.
func sessions(n int) (*builder, error) {
	b := &builder{}
	return b, each(n, func(i int) error { return b.apply(openSession(i)) })
}

// backends returns a state with backend servers, all owned by one host.
func backends(n int) (*builder, error) {
	b, err := sessions(1)
	if err != nil {
		return nil, err
	}
	return b, each(n, func(i int) error {
		if err := b.apply(&control.PutBackend{Announcement: announcement(i)}); err != nil {
			return err
		}
		return b.apply(&control.AssignOwner{Backend: backendID(i), Owner: hostID(0), Expected: fleet.Fence(b.index)})
	})
}

// replicas adds replica records to a state of enough backend servers.
func (b *builder) replicas(n int) error {
	return each(n, func(i int) error {
		if i%control.MaxReplicasPerModel == 0 {
			if err := b.apply(&control.SetTarget{Model: model(i), Count: control.MaxReplicasPerModel}); err != nil {
				return err
			}
		}
		return b.apply(decideLoad(i, targetBackends))
	})
}

func each(n int, f func(i int) error) error {
	for i := range n {
		if err := f(i); err != nil {
			return err
		}
	}
	return nil
}

// document returns a configuration text of a number of lines.
func document(lines int) string {
	var b strings.Builder
	for i := range lines {
		fmt.Fprintf(&b, documentLine, i)
	}
	return b.String()
}

func submit(b *builder, text string, hunks []control.Hunk) error {
	base := b.machine.State.Document().Version
	return b.apply(&control.SubmitDocument{
		Base: base, Digest: control.Digest(text), Hunks: hunks, Operator: "operator", Sections: []string{"models"},
	})
}

// withDocument returns a state that holds a document, and its text.
func withDocument(lines int) (*builder, string, error) {
	b := &builder{}
	text := document(lines)
	err := submit(b, text, []control.Hunk{{Lines: control.SplitLines(text)}})
	return b, text, err
}

// perCommand returns the CPU time of n commands in microseconds for each.
func perCommand(n int, f func(i int) error) (float64, error) {
	d, err := CPUOf(func() error { return each(n, f) })
	return float64(d) / float64(time.Microsecond) / float64(n), err
}

func cborSize(v any) (float64, error) {
	data, err := cbor.Marshal(v)
	return float64(len(data)), err
}
