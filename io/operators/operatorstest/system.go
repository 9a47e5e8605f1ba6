// Package operatorstest provides a System with its own control state, and a server for it on an in-memory network, for
// tests of the operators' interface and its clients.
package operatorstest

import (
	"context"
	"errors"
	"sync"

	"toucanway/core/config"
	"toucanway/core/control"
	"toucanway/core/fleet"
	"toucanway/io/metrics"
	"toucanway/io/operators"
)

// System applies submissions to a control state like a single voter. Its other answers are fixed.
type System struct {
	// Registry holds the metrics.
	Registry *metrics.Registry
	// Expired are the expired hosts in answers to submissions.
	Expired []fleet.HostID
	// Drains records the requested drains. The host "gone" is unknown.
	Drains []operators.Drain

	mu             sync.Mutex
	state          control.State
	index          fleet.Index
	loseNextAnswer bool
	changed        chan struct{}
}

var _ operators.System = (*System)(nil)

// New returns a system without a document.
func New() *System {
	return &System{Registry: metrics.New(metrics.Options{}), changed: make(chan struct{}, 8)}
}

// Newest returns the newest accepted document.
func (s *System) Newest() control.Document {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.state.Document()
}

// LoseNextAnswer makes the next submission take effect but fail with a timeout, as if the answer was lost.
func (s *System) LoseNextAnswer() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.loseNextAnswer = true
}

// Document returns the newest accepted document.
func (s *System) Document(context.Context) (control.Document, error) { return s.Newest(), nil }

// History returns the accepted documents.
func (s *System) History(context.Context) ([]control.Document, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.state.History(), nil
}

// Submit applies a submission.
func (s *System) Submit(_ context.Context, c *control.SubmitDocument) (operators.Submission, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	entry, err := control.Encode(control.Proposal{Command: c})
	if err != nil {
		return operators.Submission{}, err
	}
	s.index++
	res := s.state.Apply(s.index, entry)
	select {
	case s.changed <- struct{}{}:
	default:
	}
	if s.loseNextAnswer {
		s.loseNextAnswer = false
		return operators.Submission{}, context.DeadlineExceeded
	}
	return operators.Submission{Result: res, Expired: s.Expired}, nil
}

// Status returns a fixed status with one unmet bound.
func (s *System) Status(context.Context) (operators.Status, error) {
	d := s.Newest()
	return operators.Status{
		Host: "h1", Version: d.Version, Digest: d.Digest, Applied: d.Index, Leader: "h1", LeaseValid: true, Hosts: 1, Backends: 1, Ready: 1,
		Unmet: []operators.Unmet{{
			Section: config.SectionModels, Subject: "model chat", Bound: "min-replicas", Want: "2", Have: "1",
			Reason: "no engine has 14GiB free",
		}},
	}, nil
}

// Hosts returns one host.
func (s *System) Hosts(context.Context) ([]operators.Host, error) {
	return []operators.Host{{
		Session: control.Session{
			Host: "h1", Incarnation: 3, Address: "127.0.1.1:7401", CallerAddress: "127.0.1.1:7400",
			Place: fleet.Place{Region: "west", DataCentre: "west-1"},
		},
		LeaseValid: true, Voter: true, Leader: true, Version: 1, Owned: 1,
	}}, nil
}

// Backends returns one engine.
func (s *System) Backends(context.Context) ([]operators.Backend, error) {
	return []operators.Backend{{
		Backend: control.Backend{
			Announcement: fleet.Announcement{
				ID: "e1", Address: "127.0.1.9:8000", Place: fleet.Place{Region: "west", DataCentre: "west-1"},
				Memory: 80 * fleet.GiB, Slots: 16, ChecksFence: true,
			},
			Leaving: true, Owner: "h1", Fence: 7,
		},
		Used: 20 * fleet.GiB, Running: 2, Models: []fleet.ModelID{"chat"},
	}}, nil
}

// Models returns one model with a replica and an adapter.
func (s *System) Models(context.Context) ([]operators.Model, error) {
	return []operators.Model{{
		Model: config.Model{
			Name: "chat", Versions: []fleet.ModelVersion{"v1"}, Memory: 14 * fleet.GiB, MinReplicas: 2, MaxReplicas: 4,
			Adapters: []config.Adapter{{Name: "depot-1"}, {Name: "depot-2"}},
		},
		Target: 2, Replicas: []control.Replica{{Order: 4, Backend: "e1", Version: "v1", State: control.ReplicaReady}},
		Adapters: []operators.Adapter{{ID: "depot-1", Memory: 48 * fleet.MiB, Backends: []fleet.BackendID{"e1"}}},
	}}, nil
}

// Drain records a drain.
func (s *System) Drain(_ context.Context, d operators.Drain) error {
	if d.Host == "gone" {
		return &operators.Unknown{Message: "there is no host gone; toucanway status lists all"}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.Drains = append(s.Drains, d)
	return nil
}

// Watch reports each applied submission as a change of the document.
func (s *System) Watch(ctx context.Context, after fleet.Index, each func(operators.Event) error) error {
	for {
		s.mu.Lock()
		at := s.index
		s.mu.Unlock()
		for ; after < at; after++ {
			if err := each(operators.Event{Index: after + 1, Kind: operators.EventDocument, Subject: "document", Detail: "accepted"}); err != nil {
				return err
			}
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-s.changed:
		}
	}
}

// Health returns nil.
func (s *System) Health() error { return nil }

// Ready returns an error: the host does not accept new work.
func (s *System) Ready() error {
	return errors.New("the session lease expired; check the connection to the voters")
}

// Metrics returns the registry.
func (s *System) Metrics() *metrics.Registry { return s.Registry }
