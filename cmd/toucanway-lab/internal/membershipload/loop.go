package membershipload

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/fxamacker/cbor/v2"

	"toucanway/core/fleet"
	"toucanway/core/membership"
)

// Loop is an event loop that delivers messages between detectors on synthetic time; the same seed gives the same run.
type Loop struct {
	Now   time.Time
	Hosts []*Host
	// Delay is the one-way delay between two hosts; nil means one millisecond.
	Delay func(from, to *Host) time.Duration
	// Cut drops a message silently; nil drops none.
	Cut func(from, to *Host) bool
	// Loss is the share of messages that is lost.
	Loss float64
	// Changed is called for each effect of a host that is a state change of a member or of its path; nil ignores them.
	Changed func(at *Host, e membership.Effect)

	rand   *rand.Rand
	queue  events
	seq    uint64
	byAddr map[string]*Host
	// pending holds the functions to call with the answers to requests, by request number.
	pending  map[uint64]func(membership.Message)
	requests uint64
}

// Host is one host of a Loop.
type Host struct {
	ID       fleet.HostID
	Detector *membership.Detector
	// Lag delays the messages that the host receives. A stopped host does nothing; a paused one catches up at PausedUntil.
	Lag         time.Duration
	Stopped     bool
	PausedUntil time.Time
	// Calls counts the requests that the host has sent, Messages and Bytes its requests and answers. Bytes are those of the
	// encoded messages.
	Calls, Messages, Bytes int64

	address  string
	starts   uint64
	nextTick time.Time
}

// event is a function that is called at a point in time; events of the same time are ordered by seq.
type event struct {
	at   time.Time
	seq  uint64
	call func()
}

// events is a heap of events by time.
type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at.Before(e[j].at) || e[i].at.Equal(e[j].at) && e[i].seq < e[j].seq
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	old := *e
	x := old[len(old)-1]
	*e = old[:len(old)-1]
	return x
}

// NewLoop returns a loop without hosts.
func NewLoop(seed uint64) *Loop {
	return &Loop{
		Now:  time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC),
		rand: rand.New(rand.NewPCG(seed, 1)), byAddr: map[string]*Host{},
		pending: map[uint64]func(membership.Message){},
	}
}

// Address returns the address of host number i.
func Address(i int) string { return fmt.Sprintf("10.%d.%d.%d:7400", i>>16&0xff, i>>8&0xff, i&0xff) }

// Add starts a new host with a place and an incarnation. It joins through the first three hosts.
func (l *Loop) Add(place fleet.Place, incarnation fleet.Incarnation) *Host {
	i := len(l.Hosts)
	h := &Host{ID: fleet.HostID(fmt.Sprintf("host-%04d", i)), address: Address(i)}
	l.Hosts = append(l.Hosts, h)
	l.byAddr[h.address] = h
	l.Start(h, place, incarnation)
	return h
}

// Start restarts a host with an empty member table.
func (l *Loop) Start(h *Host, place fleet.Place, incarnation fleet.Incarnation) {
	h.Detector = membership.New(l.Now, membership.Settings{
		Host: h.ID, Address: h.address, Place: place, Incarnation: incarnation,
		Seeds: []string{Address(0), Address(1), Address(2)},
		Rand:  rand.New(rand.NewPCG(l.rand.Uint64(), l.rand.Uint64())),
	})
	h.Stopped = false
	h.starts++
	h.nextTick = time.Time{}
	l.schedule(h)
}

// Run runs the loop for a duration.
func (l *Loop) Run(d time.Duration) {
	l.RunUntil(d, func() bool { return false })
}

// RunUntil runs the loop until a condition holds, checked every 50 ms, at most for a duration. It reports whether it holds.
func (l *Loop) RunUntil(d time.Duration, done func() bool) bool {
	end := l.Now.Add(d)
	check := l.Now
	for len(l.queue) > 0 && !l.queue[0].at.After(end) {
		e := heap.Pop(&l.queue).(event)
		l.Now = e.at
		e.call()
		if l.Now.Before(check) {
			continue
		}
		if done() {
			return true
		}
		check = l.Now.Add(50 * time.Millisecond)
	}
	l.Now = end
	return done()
}

func (l *Loop) after(d time.Duration, f func()) {
	l.seq++
	heap.Push(&l.queue, event{at: l.Now.Add(d), seq: l.seq, call: f})
}

// callOn calls f for a host after d and the end of its pause, unless it was stopped or restarted meanwhile.
func (l *Loop) callOn(h *Host, d time.Duration, f func()) {
	start := h.starts
	l.after(d, func() {
		if h.Stopped || h.starts != start {
			return
		}
		if wait := h.PausedUntil.Sub(l.Now); wait > 0 {
			l.callOn(h, wait, f)
			return
		}
		f()
	})
}

// schedule schedules the next tick of a host's detector.
func (l *Loop) schedule(h *Host) {
	next := h.Detector.NextTick()
	if !h.nextTick.IsZero() && !next.Before(h.nextTick) {
		return
	}
	h.nextTick = next
	l.callOn(h, max(next.Sub(l.Now), 0), func() {
		if !h.nextTick.Equal(next) {
			return
		}
		h.nextTick = time.Time{}
		l.apply(h, h.Detector.Tick(l.Now))
	})
}

// apply carries out the effects that a host's detector has returned.
func (l *Loop) apply(h *Host, effects []membership.Effect) {
	for _, e := range effects {
		switch e := e.(type) {
		case membership.Send:
			l.sendRequest(h, e)
		case membership.Reply:
			l.sendAnswer(e)
		case membership.StateChanged, membership.PathChanged:
			if l.Changed != nil {
				l.Changed(h, e)
			}
		default:
			panic("membershipload: unknown effect")
		}
	}
	l.schedule(h)
}

// sendRequest sends a request of a host; it fails at its timeout unless the answer has arrived.
func (l *Loop) sendRequest(h *Host, e membership.Send) {
	h.Calls++
	done := false
	l.callOn(h, e.Timeout, func() {
		if !done {
			done = true
			l.apply(h, h.Detector.Failed(l.Now, e.Call))
		}
	})
	to := l.byAddr[e.Address]
	if to == nil {
		return
	}
	l.send(h, to, e.Message, func(m membership.Message) {
		l.requests++
		id := l.requests
		l.pending[id] = func(answer membership.Message) {
			l.send(to, h, answer, func(answer membership.Message) {
				if !done {
					done = true
					l.apply(h, h.Detector.Answer(l.Now, e.Call, answer))
				}
			})
		}
		l.apply(to, to.Detector.Receive(l.Now, id, m))
	})
}

func (l *Loop) sendAnswer(e membership.Reply) {
	answer := l.pending[e.Request]
	delete(l.pending, e.Request)
	answer(e.Message)
}

// send encodes a message, counts it and delivers it after the delay, unless it is cut off or lost.
func (l *Loop) send(from, to *Host, m membership.Message, deliver func(membership.Message)) {
	data, err := cbor.Marshal(m)
	if err != nil {
		panic("membershipload: message cannot be encoded: " + err.Error())
	}
	from.Messages++
	from.Bytes += int64(len(data))
	if l.Cut != nil && l.Cut(from, to) || l.Loss > 0 && l.rand.Float64() < l.Loss {
		return
	}
	delay := time.Millisecond
	if l.Delay != nil {
		delay = l.Delay(from, to)
	}
	l.callOn(to, delay+to.Lag, func() {
		var got membership.Message
		if err := cbor.Unmarshal(data, &got); err != nil {
			panic("membershipload: message cannot be decoded: " + err.Error())
		}
		deliver(got)
	})
}

// Converged reports whether each running host considers exactly the running hosts alive.
func (l *Loop) Converged() bool {
	for _, a := range l.Hosts {
		if a.Stopped {
			continue
		}
		for _, b := range l.Hosts {
			if m, ok := a.Detector.Member(b.ID); a != b && (ok && m.State == membership.Alive) == b.Stopped {
				return false
			}
		}
	}
	return true
}
