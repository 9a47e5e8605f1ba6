package capacity

import (
	"fmt"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/stretchr/testify/require"

	"toucanway/core/fleet"
	"toucanway/core/queue"
)

// readyTable returns a table that has had its first inventory and can grant.
func readyTable(change func(*Settings)) *Table {
	cfg := Settings{Backend: "b", Fence: 9, Memory: 1000, Slots: 2, KVReserve: 300, OwnedSince: epoch.Add(-time.Minute), Queue: queue.Settings{Limit: 4}}
	if change != nil {
		change(&cfg)
	}
	t := New(cfg)
	t.Handle(epoch, ReplicasEvent{Replicas: []Replica{{Order: 1, Model: "m", Memory: 200, Ready: true}}})
	t.Handle(epoch, InventoryEvent{Asked: epoch, Inventory: fleet.Inventory{Models: []fleet.LoadedModel{{Model: "m", Memory: 200}}}})
	return t
}

func acquire(id string, change func(*Acquire)) AcquireEvent {
	a := Acquire{Host: "h", Request: fleet.RequestID(id), Target: fleet.Target{Model: "m"}, Deadline: 10 * time.Second, Memory: 10}
	if change != nil {
		change(&a)
	}
	return AcquireEvent{Acquire: a}
}

func release(id fleet.GrantID, o Outcome) ReleaseEvent {
	return ReleaseEvent{Release: Release{Fence: 9, ID: id, Host: "h", Outcome: o}}
}

func makeLong(a *Acquire) { a.Long, a.Preemptible = true, true }

func withAdapter(size fleet.Bytes) func(*Acquire) {
	return func(a *Acquire) { a.Target.Adapter, a.AdapterMemory = "a1", size }
}

// summary lists the effects by type and subject for comparison with the expected ones.
func summary(effects []Effect) []string {
	out := []string{}
	for _, e := range effects {
		switch e := e.(type) {
		case Granted:
			out = append(out, "granted "+string(e.Grant.Request))
		case Refused:
			out = append(out, "refused "+string(e.Request)+" "+string(e.Refusal.Code))
		case Cancelled:
			out = append(out, "cancelled "+string(e.Request))
		case Preempt:
			out = append(out, "preempt "+string(e.Grant.Request))
		case LoadAdapter:
			out = append(out, "load "+e.Order.Target.String())
		case UnloadAdapter:
			out = append(out, "unload "+e.Order.Target.String())
		case AdmitLoad:
			out = append(out, fmt.Sprint("admit ", e.Order))
		case ReadInventory:
			out = append(out, "read")
		default:
			panic("capacity: unknown effect")
		}
	}
	return out
}

// Each case checks one rule of the table; want is the summary of the last event's effects.
func TestTable(t *testing.T) {
	adapterOrder := fleet.OrderID(adapterOrderBit | 9<<orderSeqBits | 1)
	loaded := AdapterEvent{Order: adapterOrder, Outcome: fleet.OrderDone}
	failed := func(n uint64) AdapterEvent {
		return AdapterEvent{Order: fleet.OrderID(adapterOrderBit | 9<<orderSeqBits | n), Outcome: fleet.OrderFailed}
	}
	intended := ReplicasEvent{Replicas: []Replica{
		{Order: 1, Model: "m", Memory: 200, Ready: true}, {Order: 2, Model: "n", Memory: 450, Intended: true},
	}}
	for name, c := range map[string]struct {
		settings func(*Settings)
		events   []Event
		// step is the time between two events.
		step time.Duration
		want []string
	}{
		"granted":                         {events: []Event{acquire("r1", nil)}, want: []string{"granted r1"}},
		"slots used up":                   {events: []Event{acquire("r1", nil), acquire("r2", nil), acquire("r3", nil)}, want: []string{}},
		"release grants the next request": {events: []Event{acquire("r1", nil), acquire("r2", nil), acquire("r3", nil), release(1, OutcomeDone)}, want: []string{"granted r3"}},
		"request repeated while it runs":  {events: []Event{acquire("r1", nil), acquire("r1", nil)}, want: []string{"refused r1 still-running"}},
		"never fits":                      {events: []Event{acquire("r1", func(a *Acquire) { a.Memory = 1001 })}, want: []string{"refused r1 too-large"}},
		"does not fit now":                {events: []Event{acquire("r1", func(a *Acquire) { a.Memory = 801 })}, want: []string{"refused r1 no-capacity"}},
		"no time left":                    {events: []Event{acquire("r1", func(a *Acquire) { a.Deadline = 0 })}, want: []string{"refused r1 deadline-too-short"}},
		"draining":                        {events: []Event{DrainEvent{}, acquire("r1", nil)}, want: []string{"refused r1 no-capacity"}},
		"drain refuses waiting requests":  {events: []Event{acquire("r1", nil), acquire("r2", nil), acquire("r3", nil), DrainEvent{}}, want: []string{"refused r3 no-capacity"}},
		"full queue": {
			events: []Event{acquire("r1", nil), acquire("r2", nil), acquire("r3", nil), acquire("r4", nil), acquire("r5", nil), acquire("r6", nil), acquire("r7", nil)},
			want:   []string{"refused r7 queue-full"},
		},
		"resumed in spite of a full queue": {
			events: []Event{acquire("r1", nil), acquire("r2", nil), acquire("r3", nil), acquire("r4", nil), acquire("r5", nil), acquire("r6", nil), acquire("r7", func(a *Acquire) { a.Resumed = true })},
			want:   []string{},
		},
		"expected wait beyond the deadline": {
			events: []Event{acquire("r1", nil), release(1, OutcomeDone), acquire("r2", nil), acquire("r3", nil), acquire("r4", func(a *Acquire) { a.Deadline = time.Second })},
			step:   4 * time.Second, want: []string{"refused r4 deadline-too-short", "read"},
		},
		"cancel of a waiting request": {events: []Event{acquire("r1", nil), acquire("r2", nil), acquire("r3", nil), CancelEvent{Cancel: Cancel{Host: "h", Request: "r3"}}}, want: []string{"cancelled r3"}},
		"cancel of a grant frees it":  {events: []Event{acquire("r1", nil), CancelEvent{Cancel: Cancel{Host: "h", Request: "r1"}}, acquire("r2", nil), acquire("r3", nil)}, want: []string{"granted r3"}},
		"release under another fence": {events: []Event{acquire("r1", nil), acquire("r2", nil), acquire("r3", nil), ReleaseEvent{Release: Release{Fence: 8, ID: 1, Host: "h"}}}, want: []string{}},
		"release by another host":     {events: []Event{acquire("r1", nil), acquire("r2", nil), acquire("r3", nil), ReleaseEvent{Release: Release{Fence: 9, ID: 1, Host: "x"}}}, want: []string{}},
		"long requests leave a slot": {
			events: []Event{acquire("r1", makeLong), acquire("r2", nil), acquire("r3", makeLong), acquire("r4", nil), release(2, OutcomeDone)},
			want:   []string{"granted r4"},
		},
		"request beyond its prediction counts as long": {
			events: []Event{acquire("r1", nil), acquire("r2", nil), release(1, OutcomeExceededPrediction), acquire("r3", makeLong), acquire("r4", nil), release(2, OutcomeDone)},
			want:   []string{"granted r4"},
		},
		"adapter is loaded on demand":                   {events: []Event{acquire("r1", withAdapter(100))}, want: []string{"load m:a1"}},
		"request is granted after the adapter load":     {events: []Event{acquire("r1", withAdapter(100)), loaded}, want: []string{"granted r1"}},
		"adapter does not fit beside the KV reserve":    {events: []Event{acquire("r1", withAdapter(501))}, want: []string{"refused r1 no-capacity"}},
		"adapter load fails once":                       {events: []Event{acquire("r1", withAdapter(100)), failed(1)}, want: []string{"load m:a1"}},
		"adapter load fails twice":                      {events: []Event{acquire("r1", withAdapter(100)), failed(1), failed(2)}, want: []string{"refused r1 load-failed"}},
		"adapter waits while the load share is used up": {settings: func(s *Settings) { s.Loads = NewLoadShare(0) }, events: []Event{acquire("r1", withAdapter(100))}, want: []string{}},
		"idle adapter is evicted for KV cache memory":   {events: []Event{acquire("r1", withAdapter(100)), loaded, release(1, OutcomeDone), acquire("r2", func(a *Acquire) { a.Memory = 750 })}, want: []string{"unload m:a1"}},
		"model load is admitted":                        {events: []Event{intended}, want: []string{"admit 2"}},
		"model load waits for memory":                   {events: []Event{acquire("r1", func(a *Acquire) { a.Memory = 400 }), intended}, want: []string{}},
		"model load admitted on release":                {events: []Event{acquire("r1", func(a *Acquire) { a.Memory = 400 }), intended, release(1, OutcomeDone)}, want: []string{"admit 2"}},
		"no new grant before a model load":              {events: []Event{acquire("r1", func(a *Acquire) { a.Memory = 400 }), intended, acquire("r2", nil)}, want: []string{}},
		"long request is preempted for a short one": {
			settings: func(s *Settings) { s.Preempt = true }, step: 1500 * time.Millisecond,
			events: []Event{acquire("r1", makeLong), acquire("r2", makeLong), acquire("r3", nil)}, want: []string{"preempt r1", "read"},
		},
		"long request is not preempted for a lower class": {
			settings: func(s *Settings) { s.Preempt = true }, step: 1500 * time.Millisecond,
			events: []Event{acquire("r1", makeLong), acquire("r2", makeLong), acquire("r3", func(a *Acquire) { a.Class = fleet.ClassBatch })}, want: []string{"read"},
		},
		"long request is preempted for a model load": {
			settings: func(s *Settings) { s.Preempt = true }, step: 2500 * time.Millisecond,
			events: []Event{acquire("r1", func(a *Acquire) { makeLong(a); a.Memory = 400 }), intended}, want: []string{"preempt r1", "read"},
		},
	} {
		t.Run(name, func(t *testing.T) {
			table := readyTable(c.settings)
			var got []Effect
			now := epoch
			for _, ev := range c.events {
				got = table.Handle(now, ev)
				now = now.Add(c.step)
			}
			require.Equal(t, c.want, summary(got))
		})
	}
}

// Guards against evicting a frequently used adapter instead of one that was used once, but later.
func TestEvictionKeepsUsedAdapters(t *testing.T) {
	table := readyTable(func(s *Settings) { s.Slots = 8 })
	var orders uint64
	useAdapter := func(name string) []string {
		orders++
		ev := acquire(fmt.Sprint("r", orders), func(a *Acquire) {
			a.Target.Adapter, a.AdapterMemory = fleet.AdapterID(name), 200
		})
		effects := table.Handle(epoch, ev)
		got := summary(effects)
		for len(effects) > 0 {
			var next []Effect
			switch e := effects[0].(type) {
			case LoadAdapter:
				next = table.Handle(epoch, AdapterEvent{Order: e.Order.ID})
			case UnloadAdapter:
				next = table.Handle(epoch, AdapterEvent{Order: e.Order.ID})
			case Granted:
				next = table.Handle(epoch, release(e.Grant.ID, OutcomeDone))
			}
			effects = append(effects[1:], next...)
		}
		return got
	}
	for range 3 {
		useAdapter("often")
	}
	useAdapter("once")
	require.Equal(t, []string{"unload m:once"}, useAdapter("third"))
}

// Guards against plain services, which have neither memory nor inventory, that never get grants or whose grants are never
// freed.
func TestTableWithoutInventory(t *testing.T) {
	table := New(Settings{Fence: 9, Slots: 1, KVReserve: 300, NoInventory: true, OwnedSince: epoch})
	serviceRequest := func(a *Acquire) { a.Memory, a.Deadline = 0, time.Minute }
	require.Empty(t, table.Handle(epoch, ReplicasEvent{}))
	require.Empty(t, table.Handle(epoch, acquire("r1", serviceRequest)), "the previous owner's grants may still be used")
	tick := func() ([]string, time.Duration) {
		at, ok := table.NextTick()
		require.True(t, ok)
		return summary(table.Handle(at, TickEvent{})), at.Sub(epoch)
	}
	got, firstDelay := tick()
	require.Equal(t, []string{"granted r1"}, got)
	require.Equal(t, table.settlingTime(), firstDelay)
	require.Empty(t, table.Handle(epoch.Add(firstDelay), acquire("r2", serviceRequest)))
	got, secondDelay := tick()
	require.Equal(t, []string{"granted r2"}, got, "the grant without a release is freed")
	require.Equal(t, firstDelay+table.settlingTime()+doubtTimeout, secondDelay)
}

// Guards against fields that are lost when messages between hosts are encoded and decoded.
func TestMessagesKeepFields(t *testing.T) {
	for name, m := range map[string]any{
		"acquire": Acquire{Backend: "b", Host: "h", Request: "r", Target: fleet.Target{Model: "m", Adapter: "a"}, Class: 1, Deadline: 2, Tenant: "t", Memory: 3, Tokens: 4, Long: true, Alone: true, AdapterMemory: 5, Preemptible: true, Resumed: true},
		"answer":  Answer{Grant: &Grant{Backend: "b", Fence: 1, ID: 2, Request: "r", Waited: 3, Window: 4}, Refusal: fleet.Refuse(fleet.CodeQueueFull, 1, "x"), Queue: QueueState{Waiting: 1, Granted: 2, Slots: 3, Free: 4, Wait: 5}},
		"release": Release{Backend: "b", Fence: 1, ID: 2, Host: "h", Outcome: OutcomeInDoubt, Tokens: 3},
		"cancel":  Cancel{Backend: "b", Host: "h", Request: "r"},
	} {
		t.Run(name, func(t *testing.T) {
			data, err := cbor.Marshal(m)
			require.NoError(t, err)
			var got any
			switch m.(type) {
			case Acquire:
				got, err = decode[Acquire](data)
			case Answer:
				got, err = decode[Answer](data)
			case Release:
				got, err = decode[Release](data)
			default:
				got, err = decode[Cancel](data)
			}
			require.NoError(t, err)
			require.Equal(t, m, got)
		})
	}
}

func decode[T any](data []byte) (T, error) {
	var v T
	err := cbor.Unmarshal(data, &v)
	return v, err
}

func BenchmarkTable(b *testing.B) {
	for _, waiting := range []int{0, 1000} {
		b.Run(fmt.Sprint("waiting-", waiting), func(b *testing.B) {
			t := readyTable(func(s *Settings) { s.Slots, s.Memory, s.Queue.Limit = 64, 1<<40, 1024 })
			grants := []fleet.GrantID{}
			n := 0
			add := func() {
				n++
				ev := acquire(fmt.Sprint("r", n), func(a *Acquire) {
					a.Deadline, a.Tenant, a.Class = time.Hour, fleet.TenantID(fmt.Sprint("t", n%20)), fleet.Class(n%4)
				})
				for _, e := range t.Handle(epoch, ev) {
					if g, ok := e.(Granted); ok {
						grants = append(grants, g.Grant.ID)
					}
				}
			}
			for range 64 + waiting {
				add()
			}
			b.ReportAllocs()
			for b.Loop() {
				id := grants[0]
				grants = grants[1:]
				for _, e := range t.Handle(epoch, release(id, OutcomeUnused)) {
					if g, ok := e.(Granted); ok {
						grants = append(grants, g.Grant.ID)
					}
				}
				add()
			}
		})
	}
}
