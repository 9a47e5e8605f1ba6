package policy

import (
	"cmp"
	"container/heap"
	"time"
)

// epoch is the simulated time at which every run starts.
var epoch = time.Unix(1_000_000, 0)

type event struct {
	at  time.Time
	seq int
	run func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return cmp.Or(e[i].at.Compare(e[j].at), cmp.Compare(e[i].seq, e[j].seq)) < 0
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// loop runs events in the order of their times; events with equal times run in the order in which they were scheduled.
type loop struct {
	now    time.Time
	seq    int
	events events
}

func (l *loop) after(d time.Duration, do func()) { l.at(l.now.Add(d), do) }

func (l *loop) at(t time.Time, do func()) {
	l.seq++
	heap.Push(&l.events, event{at: t, seq: l.seq, run: do})
}

func (l *loop) run() {
	for len(l.events) > 0 {
		e := heap.Pop(&l.events).(event)
		if e.at.After(l.now) {
			l.now = e.at
		}
		e.run()
	}
}

func (l *loop) elapsed() time.Duration { return l.now.Sub(epoch) }
