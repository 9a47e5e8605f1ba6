package groups

import (
	"strconv"

	"toucanway/core/raft"
	"toucanway/io/metrics"
	"toucanway/io/voters"
)

// declareMetrics registers the metrics of a group, whose values are read when they are exposed.
func declareMetrics(r *metrics.Registry, id raft.GroupID, g *voters.Group) {
	group := strconv.FormatUint(uint64(id), 10)
	r.GaugeFuncs("raft-term", "Term of the group; group 0 is the control group, the others are ledger groups.", "group").
		With(func() int64 { return int64(g.Status().Term) }, group)
	r.GaugeFuncs("raft-commit", "Last committed log entry of the group that this voter knows of.", "group").
		With(func() int64 { return int64(g.Status().Commit) }, group)
	r.GaugeFuncs("raft-applied", "Last applied log entry of the group.", "group").
		With(func() int64 { return int64(g.Status().Applied) }, group)
	r.GaugeFuncs("raft-leads", "1 while this voter leads the group.", "group").
		With(func() int64 { return boolToInt(g.Status().Role == raft.Leader) }, group)
	r.GaugeFuncs("raft-out-of-service", "1 when this voter's storage failed or its disk was lost, so that it has no vote.", "group").
		With(func() int64 {
			st := g.Status()
			return boolToInt(st.Failed != nil || st.Refused)
		}, group)
	r.GaugeFuncs("raft-send-errors", "Batches of messages to other voters that did not arrive, since the start.", "group").
		With(func() int64 { return int64(g.Counters().SendErrors) }, group)
}

func boolToInt(b bool) int64 {
	if b {
		return 1
	}
	return 0
}
