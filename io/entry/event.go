package entry

import (
	"fmt"

	"toucanway/core/control"
	"toucanway/io/hosts"
	"toucanway/io/operators"
)

// describeEntry returns the event that describes a log entry for operators. It returns false for entries that are not shown.
func describeEntry(e hosts.LogEntry) (operators.Event, bool) {
	if len(e.Data) == 0 {
		return operators.Event{}, false
	}
	p, err := control.Decode(e.Data)
	if err != nil {
		return operators.Event{}, false
	}
	ev := operators.Event{Index: e.Index}
	set := func(kind operators.EventKind, subject any, format string, args ...any) {
		ev.Kind, ev.Subject, ev.Detail = kind, fmt.Sprint(subject), fmt.Sprintf(format, args...)
	}
	switch c := p.Command.(type) {
	case *control.SubmitDocument:
		set(operators.EventDocument, c.Operator, "proposed on version %d, sections %v", c.Base, c.Sections)
	case *control.OpenSession:
		set(operators.EventHost, c.Host, "session opened, incarnation %d", c.Incarnation)
	case *control.DrainSession:
		set(operators.EventHost, c.Host, "draining")
	case *control.CloseSession:
		set(operators.EventHost, c.Host, "session closed, incarnation %d", c.Incarnation)
	case *control.PutBackend:
		set(operators.EventBackend, c.Announcement.ID, "announced, incarnation %d, leaving %t", c.Announcement.Incarnation, c.Leaving)
	case *control.RemoveBackend:
		set(operators.EventBackend, c.Backend, "removed, incarnation %d, dead %t", c.Incarnation, c.Dead)
	case *control.AssignOwner:
		set(operators.EventOwner, c.Backend, "owner %s", c.Owner)
	case *control.ReleaseOwner:
		set(operators.EventOwner, c.Backend, "released")
	case *control.SetReplicaTarget:
		set(operators.EventTarget, c.Model, "%d replicas", c.Count)
	case *control.DecideLoad:
		set(operators.EventReplica, c.Model, "load decided on %s", c.Backend)
	case *control.DecideUnload:
		set(operators.EventReplica, c.Order, "unload decided")
	case *control.ReportOrder:
		set(operators.EventReplica, c.Order, "%s", c.State)
	case *control.SettleInventory:
		set(operators.EventReplica, c.Backend, "inventory with %d models", len(c.Models))
	case *control.RecordCrash:
		set(operators.EventPoisonMark, c.Backend, "crashed while it ran %d requests", len(c.Fingerprints))
	case *control.DeleteCrashRecords:
		set(operators.EventPoisonMark, len(c.Fingerprints), "cleared")
	default:
		panic("entry: command without a description")
	}
	return ev, true
}
