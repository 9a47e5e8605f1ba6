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

// Loop carries messages between detectors on synthetic time; the same seed gives the same run.
type Loop struct {
	Now   time.Time
	Hosts []*Host
	// Delay is the one-way delay between two hosts; nil means one millisecond.
	Delay func(from, to *Host) time.Duration
	// Cut drops a message silently; nil drops none.
	Cut func(from, to *Host) bool
	// Loss is the share of messages that is lost.
	Loss float64
	// Changed sees every effect of the kinds Changed and PathChanged; nil means none.
	Changed func(at *Host, e membership.Effect)

	rand   *rand.Rand
	queue  events
	seq    uint64
	byAddr map[string]*Host
	// waiting holds where the answers to requests go, by number.
	waiting  map[uint64]func(membership.Message)
	requests uint64
}

// Host is one host of a Loop.
type Host struct {
	ID       fleet.HostID
	Detector *membership.Detector
	// Lag delays everything the host does; a stopped host does nothing, and a paused one catches up at PausedUntil.
	Lag         time.Duration
	Stopped     bool
	PausedUntil time.Time
	// Calls, Messages and Bytes count what the host sent, requests and answers; bytes are of the encoded messages.
	Calls, Messages, Bytes int64

	address string
	start   uint64
	tick    time.Time
}

type event struct {
	at  time.Time
	seq uint64
	f   func()
}

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
		waiting: map[uint64]func(membership.Message){},
	}
}

// Address returns the address of host number i.
func Address(i int) string { return fmt.Sprintf("10.%d.%d.%d:7400", i>>16&0xff, i>>8&0xff, i&0xff) }

// Add starts a host with the given place and life that joins through the first three hosts.
func (l *Loop) Add(place fleet.Place, life fleet.Incarnation) *Host {
	i := len(l.Hosts)
	h := &Host{ID: fleet.HostID(fmt.Sprintf("host-%04d", i)), address: Address(i)}
	l.Hosts = append(l.Hosts, h)
	l.byAddr[h.address] = h
	l.Start(h, place, life)
	return h
}

// Start starts a host anew with an empty table.
func (l *Loop) Start(h *Host, place fleet.Place, life fleet.Incarnation) {
	h.Detector = membership.New(l.Now, membership.Settings{
		Host: h.ID, Address: h.address, Place: place, Life: life,
		Seeds: []string{Address(0), Address(1), Address(2)},
		Rand:  rand.New(rand.NewPCG(l.rand.Uint64(), l.rand.Uint64())),
	})
	h.Stopped = false
	h.start++
	h.tick = time.Time{}
	l.schedule(h)
}

// Run lets time pass.
func (l *Loop) Run(d time.Duration) {
	l.RunUntil(d, func() bool { return false })
}

// RunUntil lets time pass until a condition holds, checked every 50 ms, and reports whether it did.
func (l *Loop) RunUntil(d time.Duration, done func() bool) bool {
	end := l.Now.Add(d)
	check := l.Now
	for len(l.queue) > 0 && !l.queue[0].at.After(end) {
		e := heap.Pop(&l.queue).(event)
		l.Now = e.at
		e.f()
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
	heap.Push(&l.queue, event{at: l.Now.Add(d), seq: l.seq, f: f})
}

// on has a life of a host do something once its lag and pause are over.
func (l *Loop) on(h *Host, d time.Duration, f func()) {
	start := h.start
	l.after(d, func() {
		if h.Stopped || h.start != start {
			return
		}
		if wait := h.PausedUntil.Sub(l.Now); wait > 0 {
			l.on(h, wait, f)
			return
		}
		f()
	})
}

func (l *Loop) schedule(h *Host) {
	next := h.Detector.NextTick()
	if !h.tick.IsZero() && !next.Before(h.tick) {
		return
	}
	h.tick = next
	l.on(h, max(next.Sub(l.Now), 0), func() {
		if !h.tick.Equal(next) {
			return
		}
		h.tick = time.Time{}
		l.do(h, h.Detector.Tick(l.Now))
	})
}

// do carries out the effects of a host.
func (l *Loop) do(h *Host, effects []membership.Effect) {
	for _, e := range effects {
		switch e := e.(type) {
		case membership.Send:
			l.call(h, e)
		case membership.Reply:
			l.reply(e)
		case membership.Changed, membership.PathChanged:
			if l.Changed != nil {
				l.Changed(h, e)
			}
		default:
			panic("membershipload: unknown effect")
		}
	}
	l.schedule(h)
}

// call carries a request; it fails at its timeout unless the answer came.
func (l *Loop) call(h *Host, e membership.Send) {
	h.Calls++
	done := false
	l.on(h, e.Timeout, func() {
		if !done {
			done = true
			l.do(h, h.Detector.Failed(l.Now, e.Call))
		}
	})
	to := l.byAddr[e.Address]
	if to == nil {
		return
	}
	l.carry(h, to, e.Message, func(m membership.Message) {
		l.requests++
		id := l.requests
		l.waiting[id] = func(answer membership.Message) {
			l.carry(to, h, answer, func(answer membership.Message) {
				if !done {
					done = true
					l.do(h, h.Detector.Answer(l.Now, e.Call, answer))
				}
			})
		}
		l.do(to, to.Detector.Receive(l.Now, id, m))
	})
}

func (l *Loop) reply(e membership.Reply) {
	answer := l.waiting[e.Request]
	delete(l.waiting, e.Request)
	answer(e.Message)
}

// carry delivers a message in its encoded form unless the link loses it.
func (l *Loop) carry(from, to *Host, m membership.Message, deliver func(membership.Message)) {
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
	l.on(to, delay+to.Lag, func() {
		var got membership.Message
		if err := cbor.Unmarshal(data, &got); err != nil {
			panic("membershipload: message cannot be decoded: " + err.Error())
		}
		deliver(got)
	})
}

// Settled reports whether all running hosts hold exactly each other for alive.
func (l *Loop) Settled() bool {
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
