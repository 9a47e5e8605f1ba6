package capacity

import (
	"fmt"
	"strings"
	"time"

	"github.com/fxamacker/cbor/v2"

	"toucanway/core/control"
	"toucanway/core/fleet"
)

// Target sizes of section 1.7 of the design page.
const (
	targetHosts    = 1300
	targetBackends = 6600
	targetModels   = 210
	targetAdapters = 2100
	// targetReplicas is the maximum number of replica records of targetModels models.
	targetReplicas = targetModels * control.MaxReplicasPerModel
	// hostsReplacedPerDay is the number of hosts that are restarted or replaced in a day.
	hostsReplacedPerDay = 400
	// documentLineFormat is the format of a line of the synthetic configuration document.
	documentLineFormat = "  - name: model-%06d, weights: 16GiB, adapters: 10\n"
	// targetDocumentLines is the number of lines of a document that has one line for each model and adapter.
	targetDocumentLines = targetModels + targetAdapters
)

// stateBuilder builds a control state by applying commands in the encoded form that log entries have.
type stateBuilder struct {
	machine control.Machine
	index   fleet.Index
}

func (b *stateBuilder) apply(c control.Command) error {
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
		Model: modelOfReplica(i), Version: "2026-11", Backend: backendID(i % backends), Incarnation: 1, Memory: 16 * fleet.GiB,
	}
}

// modelOfReplica returns the id of the model that replica number i belongs to.
func modelOfReplica(i int) fleet.ModelID {
	return fleet.ModelID(fmt.Sprintf("model-%04d", i/control.MaxReplicasPerModel))
}

// stateWithSessions returns a state with open sessions of n hosts and nothing else.
func stateWithSessions(n int) (*stateBuilder, error) {
	b := &stateBuilder{}
	return b, forEach(n, func(i int) error { return b.apply(openSession(i)) })
}

// stateWithBackends returns a state with n backend servers, all owned by one host.
func stateWithBackends(n int) (*stateBuilder, error) {
	b, err := stateWithSessions(1)
	if err != nil {
		return nil, err
	}
	return b, forEach(n, func(i int) error {
		if err := b.apply(&control.PutBackend{Announcement: announcement(i)}); err != nil {
			return err
		}
		return b.apply(&control.AssignOwner{Backend: backendID(i), Owner: hostID(0), Expected: fleet.Fence(b.index)})
	})
}

// addReplicas adds n replica records to a state that has targetBackends backend servers.
func (b *stateBuilder) addReplicas(n int) error {
	return forEach(n, func(i int) error {
		if i%control.MaxReplicasPerModel == 0 {
			if err := b.apply(&control.SetReplicaTarget{Model: modelOfReplica(i), Count: control.MaxReplicasPerModel}); err != nil {
				return err
			}
		}
		return b.apply(decideLoad(i, targetBackends))
	})
}

// forEach calls f with 0 to n-1 and stops at the first error.
func forEach(n int, f func(i int) error) error {
	for i := range n {
		if err := f(i); err != nil {
			return err
		}
	}
	return nil
}

// syntheticDocument returns the text of a synthetic configuration document.
func syntheticDocument(lines int) string {
	var b strings.Builder
	for i := range lines {
		fmt.Fprintf(&b, documentLineFormat, i)
	}
	return b.String()
}

// submitDocument applies a change of the document in force. text is the document after the change.
func submitDocument(b *stateBuilder, text string, hunks []control.Hunk) error {
	base := b.machine.State.Document().Version
	return b.apply(&control.SubmitDocument{
		Base: base, Digest: control.Digest(text), Hunks: hunks, Operator: "operator", Sections: []string{"models"},
	})
}

// stateWithDocument returns a state with a document of a number of lines in force, and the text of the document.
func stateWithDocument(lines int) (*stateBuilder, string, error) {
	b := &stateBuilder{}
	text := syntheticDocument(lines)
	err := submitDocument(b, text, []control.Hunk{{Lines: control.SplitLines(text)}})
	return b, text, err
}

// cpuPerCall calls f with 0 to n-1 and returns the mean CPU time of a call in microseconds.
func cpuPerCall(n int, f func(i int) error) (float64, error) {
	d, err := MeasureCPU(func() error { return forEach(n, f) })
	return float64(d) / float64(time.Microsecond) / float64(n), err
}

func cborSize(v any) (float64, error) {
	data, err := cbor.Marshal(v)
	return float64(len(data)), err
}
