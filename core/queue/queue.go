package queue

import (
	"cmp"
	"slices"
	"time"

	"toucanway/core/fleet"
)

// Defaults of Settings.
const (
	DefaultLimit           = 1024
	DefaultAgingShare      = 0.5
	DefaultStarvationAfter = 5 * time.Second
	DefaultStarvationEvery = 16
)

// Settings configures a Queue; zero fields mean the defaults above.
type Settings struct {
	// Limit is the largest number of waiting entries.
	Limit int
	// AgingShare is the fraction of the time to its deadline after which an entry is promoted by one class.
	AgingShare float64
	// StarvationAfter is the wait after which an entry may be served out of order.
	StarvationAfter time.Duration
	// StarvationEvery is the interval, in served entries, at which the longest waiting entry is served out of order if it has
	// waited for StarvationAfter.
	StarvationEvery int
	// Weight returns a tenant's weight in the fair share; nil or a result that is not positive means 1.
	Weight func(fleet.TenantID) float64
	// ArrivalOrder serves entries in order of arrival, without classes, aging or fair shares. It is a baseline for
	// measurements.
	ArrivalOrder bool
}

// Ticket identifies an entry of one queue; later entries have higher tickets.
type Ticket uint64

// Entry is one waiting request.
type Entry struct {
	Ticket Ticket
	Class  fleet.Class
	Tenant fleet.TenantID
	Tokens fleet.Tokens
	Long   bool
	// Exempt entries are queued even beyond the limit. They are resumed requests, so their number is bounded by the requests
	// that were running before.
	Exempt   bool
	Enqueued time.Time
	Deadline time.Time
}

// Verdict is the caller's decision on an entry that Pop offers.
type Verdict int

// Verdicts on an offered entry.
const (
	// Serve removes the entry from the queue to serve it.
	Serve Verdict = iota
	// Skip leaves the entry waiting and offers the next one.
	Skip
	// Stop leaves the entry waiting and offers no further entries.
	Stop
)

// Queue is a bounded ordered queue. It is not safe for concurrent use.
type Queue struct {
	cfg        Settings
	lastTicket Ticket
	entries    map[Ticket]*item
	// arrivals holds the entries in order of arrival, with removed ones until they are compacted.
	arrivals []*item
	classes  [fleet.NumClasses]class
	// shorts counts by declared class the entries that are not predicted to be long.
	shorts [fleet.NumClasses]int
	// servedInOrder counts the entries served since one was served out of order because of starvation.
	servedInOrder int
	// nextDue is a lower bound on the next promotion or deadline.
	nextDue time.Time
}

// item is an entry in the queue.
type item struct {
	Entry
	// effectiveClass is the class in which the entry waits, after a possible promotion at promoteAt.
	effectiveClass fleet.Class
	promoteAt      time.Time
	removed        bool
}

// class is the queue of one priority class, with start-time fair queueing among its tenants.
type class struct {
	tenants map[fleet.TenantID]*tenant
	// active holds the tenants with waiting entries.
	active      []*tenant
	virtualTime float64
	count       int
}

type tenant struct {
	id fleet.TenantID
	// virtualTime is the start tag of the tenant's next entry: its service so far divided by its weight.
	virtualTime float64
	waiting     []*item
}

// New returns an empty queue.
func New(cfg Settings) *Queue {
	cfg.Limit = cmp.Or(cfg.Limit, DefaultLimit)
	cfg.AgingShare = cmp.Or(cfg.AgingShare, DefaultAgingShare)
	cfg.StarvationAfter = cmp.Or(cfg.StarvationAfter, DefaultStarvationAfter)
	cfg.StarvationEvery = cmp.Or(cfg.StarvationEvery, DefaultStarvationEvery)
	return &Queue{cfg: cfg, entries: map[Ticket]*item{}}
}

// Len returns the number of waiting entries.
func (q *Queue) Len() int { return len(q.entries) }

// ShortCount returns the number of waiting entries that are not predicted to be long.
func (q *Queue) ShortCount() int {
	n := 0
	for _, k := range q.shorts {
		n += k
	}
	return n
}

// HighestShortClass returns the highest class with a waiting entry that is not predicted to be long, and whether there is
// one.
func (q *Queue) HighestShortClass() (fleet.Class, bool) {
	for c, n := range q.shorts {
		if n > 0 {
			return fleet.Class(c), true
		}
	}
	return 0, false
}

// Entry returns the waiting entry with a ticket, and whether there is one.
func (q *Queue) Entry(t Ticket) (Entry, bool) {
	w, ok := q.entries[t]
	if !ok {
		return Entry{}, false
	}
	return w.Entry, true
}

// Push adds an entry and returns its ticket, or false if the queue is full. A class out of range counts as the nearest one.
func (q *Queue) Push(now time.Time, e Entry) (Ticket, bool) {
	if len(q.entries) >= q.cfg.Limit && !e.Exempt {
		return 0, false
	}
	q.lastTicket++
	e.Ticket = q.lastTicket
	e.Enqueued = now
	e.Class = clampClass(e.Class)
	if q.cfg.ArrivalOrder {
		e.Class, e.Tenant = 0, ""
	}
	w := &item{Entry: e, effectiveClass: e.Class}
	w.promoteAt = now.Add(time.Duration(float64(e.Deadline.Sub(now)) * q.cfg.AgingShare))
	if at := w.due(); len(q.entries) == 0 || at.Before(q.nextDue) {
		q.nextDue = at
	}
	q.entries[e.Ticket] = w
	q.arrivals = append(q.arrivals, w)
	if !e.Long {
		q.shorts[e.Class]++
	}
	q.insert(w)
	return e.Ticket, true
}

// Remove removes an entry and returns it, or false if it is not waiting.
func (q *Queue) Remove(t Ticket) (Entry, bool) {
	w, ok := q.entries[t]
	if !ok {
		return Entry{}, false
	}
	q.remove(w)
	return w.Entry, true
}

// Expired removes and returns the entries whose deadline has passed, oldest first.
func (q *Queue) Expired(now time.Time) []Entry {
	if len(q.entries) == 0 || now.Before(q.nextDue) {
		return nil
	}
	var out []Entry
	for _, w := range q.arrivals {
		if !w.removed && !now.Before(w.Deadline) {
			out = append(out, w.Entry)
		}
	}
	for _, e := range out {
		q.remove(q.entries[e.Ticket])
	}
	q.promoteDue(now)
	return out
}

// NextDue returns a time by which Expired is to be called, and false when nothing waits.
func (q *Queue) NextDue() (time.Time, bool) { return q.nextDue, len(q.entries) > 0 }

// Pop offers entries in order until offer returns Serve for one, then removes and returns that entry. It returns false if no
// entry is served. offer must not change the queue.
func (q *Queue) Pop(now time.Time, offer func(*Entry) Verdict) (Entry, bool) {
	if len(q.entries) == 0 {
		return Entry{}, false
	}
	q.promoteDue(now)
	if q.servedInOrder+1 >= q.cfg.StarvationEvery {
		if w := q.oldest(); now.Sub(w.Enqueued) >= q.cfg.StarvationAfter && offer(&w.Entry) == Serve {
			q.servedInOrder = 0
			q.serve(w)
			return w.Entry, true
		}
	}
	for i := range q.classes {
		c := &q.classes[i]
		c.sort()
		for _, t := range c.active {
			for _, w := range t.waiting {
				switch offer(&w.Entry) {
				case Serve:
					q.servedInOrder++
					q.serve(w)
					return w.Entry, true
				case Skip:
				case Stop:
					return Entry{}, false
				default:
					panic("queue: unknown verdict")
				}
			}
		}
	}
	return Entry{}, false
}

// CountBefore returns how many waiting entries are expected to be served before a new one.
func (q *Queue) CountBefore(e Entry) int {
	if q.cfg.ArrivalOrder {
		return len(q.entries)
	}
	e.Class = clampClass(e.Class)
	n := 0
	for i := range e.Class {
		n += q.classes[i].count
	}
	c := &q.classes[e.Class]
	own := 0
	if t := c.tenants[e.Tenant]; t != nil {
		own, _ = slices.BinarySearchFunc(t.waiting, e.Deadline, func(w *item, d time.Time) int {
			if w.Deadline.After(d) {
				return 1
			}
			return -1
		})
	}
	for _, t := range c.active {
		if t.id == e.Tenant {
			n += own
			continue
		}
		share := float64(own+1) * q.weight(t.id) / q.weight(e.Tenant)
		n += min(len(t.waiting), int(share+0.5))
	}
	return n
}

// CorrectCharge charges a tenant the difference between the tokens that a request processed and those charged when it was
// served.
func (q *Queue) CorrectCharge(at fleet.Class, id fleet.TenantID, difference fleet.Tokens) {
	c := &q.classes[clampClass(at)]
	if t := c.tenants[id]; t != nil {
		t.virtualTime += float64(difference) / q.weight(id)
	}
}

func (q *Queue) weight(id fleet.TenantID) float64 {
	if q.cfg.Weight == nil {
		return 1
	}
	if w := q.cfg.Weight(id); w > 0 {
		return w
	}
	return 1
}

// clampClass maps classes out of range to the nearest one.
func clampClass(c fleet.Class) fleet.Class { return min(max(c, 0), fleet.NumClasses-1) }

// promotable reports whether an entry can still be promoted by one class.
func (w *item) promotable() bool { return w.effectiveClass > 0 && w.effectiveClass == w.Class }

func (w *item) due() time.Time {
	if w.promotable() && w.promoteAt.Before(w.Deadline) {
		return w.promoteAt
	}
	return w.Deadline
}

func (q *Queue) oldest() *item {
	for q.arrivals[0].removed {
		q.arrivals = q.arrivals[1:]
	}
	return q.arrivals[0]
}

// promoteDue promotes the entries whose promotion is due and computes when the next promotion or deadline is due.
func (q *Queue) promoteDue(now time.Time) {
	if now.Before(q.nextDue) {
		return
	}
	first := true
	for _, w := range q.arrivals {
		if w.removed {
			continue
		}
		if w.promotable() && !now.Before(w.promoteAt) {
			q.detach(w)
			w.effectiveClass--
			q.insert(w)
		}
		if at := w.due(); first || at.Before(q.nextDue) {
			q.nextDue, first = at, false
		}
	}
}

func (q *Queue) insert(w *item) {
	c := &q.classes[w.effectiveClass]
	if c.tenants == nil {
		c.tenants = map[fleet.TenantID]*tenant{}
	}
	t := c.tenants[w.Tenant]
	if t == nil {
		c.dropIdleTenants(q.cfg.Limit)
		t = &tenant{id: w.Tenant}
		c.tenants[w.Tenant] = t
	}
	if len(t.waiting) == 0 {
		t.virtualTime = max(t.virtualTime, c.virtualTime)
		c.active = append(c.active, t)
	}
	i, _ := slices.BinarySearchFunc(t.waiting, w, func(a, b *item) int {
		if q.cfg.ArrivalOrder {
			return cmp.Compare(a.Ticket, b.Ticket)
		}
		return cmp.Or(a.Deadline.Compare(b.Deadline), cmp.Compare(a.Ticket, b.Ticket))
	})
	t.waiting = slices.Insert(t.waiting, i, w)
	c.count++
}

// detach removes an entry from its class and tenant.
func (q *Queue) detach(w *item) {
	c := &q.classes[w.effectiveClass]
	t := c.tenants[w.Tenant]
	i := slices.Index(t.waiting, w)
	t.waiting = slices.Delete(t.waiting, i, i+1)
	c.count--
	if len(t.waiting) == 0 {
		i := slices.Index(c.active, t)
		c.active = slices.Delete(c.active, i, i+1)
	}
}

func (q *Queue) remove(w *item) {
	q.detach(w)
	w.removed = true
	delete(q.entries, w.Ticket)
	if !w.Long {
		q.shorts[w.Class]--
	}
	if len(q.arrivals) > 2*len(q.entries)+16 {
		q.arrivals = slices.DeleteFunc(q.arrivals, func(w *item) bool { return w.removed })
	}
}

func (q *Queue) serve(w *item) {
	c := &q.classes[w.effectiveClass]
	t := c.tenants[w.Tenant]
	c.virtualTime = max(c.virtualTime, t.virtualTime)
	t.virtualTime += float64(max(w.Tokens, 1)) / q.weight(w.Tenant)
	q.remove(w)
}

func (c *class) sort() {
	slices.SortFunc(c.active, func(a, b *tenant) int {
		return cmp.Or(cmp.Compare(a.virtualTime, b.virtualTime), cmp.Compare(a.id, b.id))
	})
}

// dropIdleTenants bounds the known tenants. Once there are twice as many as the queue's limit, it drops idle tenants whose
// virtual time is not beyond that of the class; if that is not enough, it drops all idle tenants.
func (c *class) dropIdleTenants(limit int) {
	if len(c.tenants) < 2*limit {
		return
	}
	for id, t := range c.tenants {
		if len(t.waiting) == 0 && t.virtualTime <= c.virtualTime {
			delete(c.tenants, id)
		}
	}
	if len(c.tenants) < 2*limit {
		return
	}
	for id, t := range c.tenants {
		if len(t.waiting) == 0 {
			delete(c.tenants, id)
		}
	}
}
