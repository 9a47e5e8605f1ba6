package operators

import (
	"toucanway/core/config"
	"toucanway/core/control"
	"toucanway/core/fleet"
)

// toStrings converts ids to strings. The result is never nil, so that JSON has an empty list instead of null.
func toStrings[T ~string](ids []T) []string {
	out := make([]string, len(ids))
	for i, id := range ids {
		out[i] = string(id)
	}
	return out
}

// convertAll converts each element. The result is never nil, so that JSON has an empty list instead of null.
func convertAll[T, A any](in []T, convert func(T) A) []A {
	out := make([]A, len(in))
	for i, v := range in {
		out[i] = convert(v)
	}
	return out
}

func documentAnswer(d control.Document) DocumentAnswer {
	return DocumentAnswer{
		Version: uint64(d.Version), Base: uint64(d.Base), Digest: d.Digest, Operator: string(d.Operator),
		Sections: toStrings(d.Sections), Text: d.Text,
	}
}

func historyEntry(d control.Document) DocumentAnswer {
	d.Text = ""
	return documentAnswer(d)
}

func hunkAnswer(h control.Hunk) HunkRequest {
	return HunkRequest{Start: h.Start, End: h.End, Lines: toStrings(h.Lines)}
}

func toHunk(h HunkRequest) control.Hunk {
	return control.Hunk{Start: h.Start, End: h.End, Lines: h.Lines}
}

func submitAnswer(s Submission) SubmitAnswer {
	return SubmitAnswer{Version: uint64(s.Result.Version), Sections: toStrings(s.Result.Sections), ExpiredHosts: toStrings(s.Expired)}
}

func statusAnswer(s Status) StatusAnswer {
	return StatusAnswer{
		Host: string(s.Host), Version: uint64(s.Version), Digest: s.Digest, Applied: uint64(s.Applied), Leader: string(s.Leader),
		LeaseValid: s.LeaseValid, Hosts: s.Hosts, BackendServers: s.Backends, ReadyReplicas: s.Ready, LoadingReplicas: s.Loading,
		InDoubtReplicas: s.InDoubt, Waiting: s.Waiting, Unmet: convertAll(s.Unmet, unmetAnswer),
	}
}

func unmetAnswer(u Unmet) UnmetAnswer {
	return UnmetAnswer{
		Section: string(u.Section), Subject: u.Subject, Bound: u.Bound, Want: u.Want, Have: u.Have, Reason: u.Reason,
	}
}

func hostAnswer(h Host) HostAnswer {
	s := h.Session
	return HostAnswer{
		ID: string(s.Host), Incarnation: uint64(s.Incarnation), Address: s.Address, CallerAddress: s.CallerAddress,
		Region: string(s.Place.Region), DataCentre: string(s.Place.DataCentre), Rack: string(s.Place.Rack),
		LeaseValid: h.LeaseValid, Draining: s.Draining, Voter: h.Voter, Leader: h.Leader, Applied: uint64(h.Applied),
		Version: uint64(h.Version), Owned: h.Owned, Waiting: h.Waiting,
	}
}

func backendAnswer(b Backend) BackendAnswer {
	a := b.Backend.Announcement
	return BackendAnswer{
		ID: string(a.ID), Kind: a.Kind.String(), Incarnation: uint64(a.Incarnation), Address: a.Address,
		Region: string(a.Place.Region), DataCentre: string(a.Place.DataCentre), Rack: string(a.Place.Rack),
		State: backendState(b), Owner: string(b.Backend.Owner), Fence: uint64(b.Backend.Fence), Memory: int64(a.Memory),
		Used: int64(b.Used), Slots: a.Slots, Running: b.Running, Queued: b.Queued, Models: toStrings(b.Models),
		Services: toStrings(a.Services), ChecksFence: a.ChecksFence,
	}
}

func backendState(b Backend) string {
	switch {
	case b.Backend.Lost:
		return "lost"
	case b.Backend.Leaving:
		return "leaving"
	case b.Slow:
		return "slow"
	default:
		return "in-service"
	}
}

func modelAnswer(m Model) ModelAnswer {
	var version fleet.ModelVersion
	if len(m.Model.Versions) > 0 {
		version = m.Model.Version()
	}
	return ModelAnswer{
		ID: string(m.Model.Name), Version: string(version), Memory: int64(m.Model.Memory), Target: m.Target,
		MinReplicas: m.Model.MinReplicas, MaxReplicas: m.Model.MaxReplicas, Waiting: m.Waiting,
		Replicas: convertAll(m.Replicas, replicaAnswer), DeclaredAdapters: len(m.Model.Adapters),
		LoadedAdapters: convertAll(m.Adapters, adapterAnswer),
	}
}

func replicaAnswer(r control.Replica) ReplicaAnswer {
	return ReplicaAnswer{
		Order: uint64(r.Order), BackendServer: string(r.Backend), Version: string(r.Version), State: r.State.String(),
		Role: config.RoleName(r.Role),
	}
}

func adapterAnswer(a Adapter) AdapterAnswer {
	return AdapterAnswer{ID: string(a.ID), Memory: int64(a.Memory), BackendServers: toStrings(a.Backends)}
}

func toDrain(r DrainRequest, operator fleet.OperatorID) Drain {
	return Drain{Host: fleet.HostID(r.Host), Backend: fleet.BackendID(r.BackendServer), Operator: operator}
}

func eventAnswer(e Event) EventAnswer {
	return EventAnswer{Index: uint64(e.Index), Kind: string(e.Kind), Subject: e.Subject, Detail: e.Detail}
}
