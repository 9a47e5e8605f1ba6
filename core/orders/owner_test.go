package orders_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"toucanway/core/control"
	"toucanway/core/fleet"
	"toucanway/core/orders"
)

// fixture is one owner of one engine with one decided load.
type fixture struct {
	t             *testing.T
	now           time.Time
	state         control.State
	index         fleet.Index
	owner         *orders.Owner
	leaseDuration time.Duration
}

func newFixture(t *testing.T, checksFence bool) *fixture {
	b := &fixture{t: t, now: time.Unix(1_000_000, 0), leaseDuration: time.Minute, owner: orders.New(orders.Settings{Host: "h"}, "e")}
	b.apply(&control.OpenSession{Host: "h", Incarnation: 1})
	b.apply(&control.PutBackend{Announcement: fleet.Announcement{ID: "e", Incarnation: 1, Memory: 30, ChecksFence: checksFence}})
	b.apply(&control.AssignOwner{Backend: "e", Owner: "h", Expected: 2})
	b.apply(&control.SetReplicaTarget{Model: "m", Count: 1})
	b.apply(&control.DecideLoad{Model: "m", Backend: "e", Incarnation: 1, Memory: 20})
	return b
}

func (b *fixture) apply(c control.Command) {
	data, err := control.Encode(control.Proposal{Command: c})
	require.NoError(b.t, err)
	b.index++
	require.NoError(b.t, b.state.Apply(b.index, data).Err())
}

// step advances the time, runs one step and returns its effects by kind; inventory reads are answered with the given models.
func (b *fixture) step(d time.Duration, models ...fleet.LoadedModel) (proposed []control.Command, sent []orders.Send, reads int) {
	b.now = b.now.Add(d)
	for _, e := range b.owner.Step(b.now, orders.View{State: &b.state, LeaseEnd: b.now.Add(b.leaseDuration)}) {
		switch e := e.(type) {
		case orders.Propose:
			proposed = append(proposed, e.Command)
		case orders.Send:
			sent = append(sent, e)
		case orders.ReadInventory:
			reads++
			b.owner.RecordInventory(b.now, e.Read, &fleet.Inventory{Backend: "e", Incarnation: 1, Fence: e.Fence, Models: models})
		}
	}
	return proposed, sent, reads
}

// Guards against an order that is sent before its record's state is committed as sent, or after the lease has ended.
func TestOrderIsCommittedBeforeSent(t *testing.T) {
	b := newFixture(t, true)
	_, sent, reads := b.step(0)
	require.Empty(t, sent)
	require.Equal(t, 1, reads)
	proposed, sent, _ := b.step(0)
	require.Empty(t, sent)
	require.Equal(t, []control.Command{&control.ReportOrder{Order: 5, Fence: 3, State: control.ReplicaSent}}, proposed)
	b.apply(proposed[0])
	b.leaseDuration = 0
	_, sent, _ = b.step(0)
	require.Empty(t, sent, "the lease has ended")
	b.leaseDuration = 300 * time.Millisecond
	_, sent, _ = b.step(0)
	require.Len(t, sent, 1)
	require.Equal(t, b.now.Add(b.leaseDuration), sent[0].NotAfter)
	require.Equal(t, fleet.Fence(3), sent[0].Order.Fence)
	b.owner.RecordOutcome(b.now, sent[0].Order.ID, fleet.OrderDone)
	proposed, sent, _ = b.step(time.Second)
	require.Empty(t, sent)
	require.Equal(t, []control.Command{&control.ReportOrder{Order: 5, Fence: 3, State: control.ReplicaReady}}, proposed)
}

// Guards against reading the inventory of an engine that ignores fences while an earlier owner may still send orders.
func TestTakeoverWaitsForEarlierOwner(t *testing.T) {
	for name, c := range map[string]struct {
		checksFences bool
		wait         time.Duration
	}{"checks fences": {true, 0}, "ignores fences": {false, 4040 * time.Millisecond}} {
		t.Run(name, func(t *testing.T) {
			b := newFixture(t, c.checksFences)
			waited := time.Duration(0)
			for _, _, reads := b.step(0); reads == 0; _, _, reads = b.step(10 * time.Millisecond) {
				waited += 10 * time.Millisecond
			}
			require.Equal(t, c.wait, waited)
		})
	}
}

// Guards against settling a load in doubt by an inventory although the order may still arrive later.
func TestInDoubtLoadIsSettledAfterDeadline(t *testing.T) {
	for name, c := range map[string]struct {
		checksFences bool
		minDelay     time.Duration
	}{
		"checks fences":  {true, orders.DefaultLoadDeadline},
		"ignores fences": {false, orders.DefaultLoadDeadline + orders.DefaultMaxOrderDelay},
	} {
		t.Run(name, func(t *testing.T) {
			b := newFixture(t, c.checksFences)
			var sentAt time.Time
			for len(b.state.Replicas("m")) > 0 {
				proposed, sent, _ := b.step(500 * time.Millisecond)
				if len(sent) > 0 {
					require.True(t, sentAt.IsZero(), "a load is sent once")
					sentAt = b.now
				}
				for _, p := range proposed {
					if _, ok := p.(*control.SettleInventory); ok {
						require.GreaterOrEqual(t, b.now.Sub(sentAt), c.minDelay)
					}
					b.apply(p)
				}
				require.Less(t, b.now.Sub(time.Unix(1_000_000, 0)), time.Hour)
			}
			require.False(t, sentAt.IsZero())
		})
	}
}
