package entry

import (
	"context"
	"strconv"
	"time"

	"github.com/joomcode/errorx"

	"toucanway/core/config"
	"toucanway/core/control"
	"toucanway/core/fleet"
	"toucanway/io/follow"
	"toucanway/io/hosts"
	"toucanway/io/metrics"
	"toucanway/io/operators"
)

// overviewTimeout bounds the call to the leader that a status request makes.
const overviewTimeout = time.Second

// system gives operators access to a host; it implements operators.System.
type system struct{ h *Host }

func (s system) readState(f func(*control.State)) { s.h.follower.Read(f) }

// Document returns the newest accepted document.
func (s system) Document(context.Context) (d control.Document, err error) {
	s.readState(func(st *control.State) { d = st.Document() })
	return d, nil
}

// History returns the accepted documents that are still on record.
func (s system) History(context.Context) (out []control.Document, err error) {
	s.readState(func(st *control.State) { out = st.History() })
	return out, nil
}

// Submit proposes a document and waits until it is in force.
func (s system) Submit(ctx context.Context, c *control.SubmitDocument) (operators.Submission, error) {
	res, expired, err := s.h.follower.Submit(ctx, c)
	if err != nil {
		return operators.Submission{}, asUnavailable(err)
	}
	if err := res.Err(); err != nil {
		return operators.Submission{Result: res}, err
	}
	// Wait until the document is in force on this host too, so that a subsequent read returns it.
	if err := s.h.follower.WaitApplied(ctx, res.Index); err != nil {
		return operators.Submission{}, asUnavailable(err)
	}
	return operators.Submission{Result: res, Expired: expired}, nil
}

func asUnavailable(err error) error {
	if errorx.IsOfType(err, follow.ErrSuperseded) {
		return err
	}
	return &operators.Unavailable{Message: err.Error()}
}

// overview asks the leader for the state that only the leader has. It is empty if the leader does not answer.
func (s system) overview(ctx context.Context) hosts.OverviewResponse {
	ctx, cancel := context.WithTimeout(ctx, overviewTimeout)
	defer cancel()
	res, err := hosts.CallLeader[hosts.OverviewRequest, hosts.OverviewResponse](ctx, s.h.control, hosts.ProcedureOverview, 0, &hosts.OverviewRequest{})
	if err != nil {
		return hosts.OverviewResponse{}
	}
	return *res
}

// Status returns the state of the deployment.
func (s system) Status(ctx context.Context) (operators.Status, error) {
	o := s.overview(ctx)
	st := operators.Status{
		Host: s.h.cfg.ID, Leader: o.Leader, LeaseValid: s.h.follower.HasLease(time.Now()), Waiting: s.h.dispatch.RequestsInFlight(),
	}
	s.readState(func(c *control.State) {
		d := c.Document()
		st.Version, st.Digest, st.Applied = d.Version, d.Digest, c.Applied()
		st.Hosts, st.Backends = len(c.Sessions()), len(c.Backends())
		for _, r := range c.AllReplicas() {
			switch r.State {
			case control.ReplicaReady:
				st.Ready++
			case control.ReplicaIntended, control.ReplicaSent:
				st.Loading++
			case control.ReplicaInDoubt, control.ReplicaUnloadInDoubt, control.ReplicaLost:
				st.InDoubt++
			case control.ReplicaUnloadIntended, control.ReplicaUnloadSent:
			default:
				panic("entry: replica record in state " + r.State.String())
			}
		}
	})
	for _, u := range o.Unmet {
		st.Unmet = append(st.Unmet, operators.Unmet{
			Section: config.SectionModels, Subject: "model " + string(u.Model), Bound: u.Bound,
			Want: strconv.Itoa(u.Want), Have: strconv.Itoa(u.Have), Reason: u.Reason,
		})
	}
	return st, nil
}

// Hosts returns the hosts with a session.
func (s system) Hosts(ctx context.Context) ([]operators.Host, error) {
	o := s.overview(ctx)
	overviews := map[fleet.HostID]hosts.HostOverview{}
	for _, h := range o.Hosts {
		overviews[h.Host] = h
	}
	var out []operators.Host
	s.readState(func(c *control.State) {
		owned := map[fleet.HostID]int{}
		for _, b := range c.Backends() {
			owned[b.Owner]++
		}
		for _, v := range c.Sessions() {
			out = append(out, operators.Host{
				Session: v, LeaseValid: overviews[v.Host].LeaseValid, Applied: overviews[v.Host].Applied,
				Version: versionAt(c, overviews[v.Host].Applied), Voter: s.isVoter(v.Host), Leader: v.Host == o.Leader,
				Owned: owned[v.Host],
			})
		}
	})
	return out, nil
}

// versionAt returns the version of the newest document accepted up to a log index.
func versionAt(c *control.State, applied fleet.Index) fleet.DocumentVersion {
	var v fleet.DocumentVersion
	for _, d := range c.History() {
		if d.Index <= applied {
			v = d.Version
		}
	}
	return v
}

func (s system) isVoter(id fleet.HostID) bool {
	for _, v := range s.h.cfg.Voters {
		if v.ID == id {
			return true
		}
	}
	return false
}

// Backends returns the registered backend servers.
func (s system) Backends(context.Context) ([]operators.Backend, error) {
	var out []operators.Backend
	s.readState(func(c *control.State) {
		for _, b := range c.Backends() {
			one := operators.Backend{Backend: b, Used: c.MemoryOn(b.Announcement.ID)}
			for _, r := range c.ReplicasOn(b.Announcement.ID) {
				one.Models = append(one.Models, r.Model)
			}
			if q, ok := s.h.owner.State(b.Announcement.ID); ok {
				one.Running, one.Queued, one.Used = q.Granted, q.Waiting, b.Announcement.Memory-q.Free
			}
			out = append(out, one)
		}
	})
	return out, nil
}

// Models returns the declared models with their replicas.
func (s system) Models(context.Context) ([]operators.Model, error) {
	doc, _ := s.h.follower.Document()
	var out []operators.Model
	s.readState(func(c *control.State) {
		for _, m := range doc.Models {
			out = append(out, operators.Model{Model: m, Target: c.ReplicaTarget(m.Name), Replicas: c.Replicas(m.Name)})
		}
	})
	return out, nil
}

// Drain starts the drain of a host or a backend server.
func (s system) Drain(ctx context.Context, d operators.Drain) error {
	if d.Host != "" {
		return s.h.drainHost(ctx, d.Host)
	}
	b, ok := control.Backend{}, false
	s.readState(func(c *control.State) { b, ok = c.Backend(d.Backend) })
	if !ok {
		return &operators.Unknown{Message: "no backend server " + string(d.Backend) + " is registered; toucanway runners lists all"}
	}
	if err := s.h.registry.Leave(d.Backend, b.Announcement.Incarnation); err != nil {
		return asUnavailable(err)
	}
	return nil
}

// Watch calls each for the changes after a log index. An index of 0 stands for all changes that are kept.
func (s system) Watch(ctx context.Context, after fleet.Index, each func(operators.Event) error) error {
	if after == 0 {
		after = s.h.follower.OldestRecent()
	}
	for {
		changed := s.h.follower.Changed()
		entries, ok := s.h.follower.RecentEntries(after)
		if !ok {
			return &operators.Unknown{Message: "the changes after this index are no longer kept; watch without an index"}
		}
		for _, e := range entries {
			after = e.Index
			ev, ok := describeEntry(e)
			if !ok {
				continue
			}
			if err := each(ev); err != nil {
				return err
			}
		}
		select {
		case <-ctx.Done():
			return nil
		case <-changed:
		}
	}
}

// Health always returns nil, since a host with a fatal error exits by itself.
func (s system) Health() error { return nil }

// Ready returns nil if the host accepts new work.
func (s system) Ready() error {
	if s.h.draining.Load() {
		return &operators.Unavailable{Message: "the host is shutting down"}
	}
	if !s.h.follower.HasLease(time.Now()) {
		return &operators.Unavailable{Message: "the host has no session lease; check that it reaches a majority of the voters"}
	}
	return nil
}

// Metrics returns the registry of the host.
func (s system) Metrics() *metrics.Registry { return s.h.metrics }
