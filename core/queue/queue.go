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

// Settings configure a Queue; zero fields mean the defaults above.
type Settings struct {
	// Limit bounds the waiting entries.
	Limit int
	// AgingShare is the share of its deadline after which an entry moves up one class.
	AgingShare float64
	// StarvationAfter is the wait after which an entry may be served out of order.
	StarvationAfter time.Duration
	// StarvationEvery is the number of services of which one goes to the longest waiting entry past StarvationAfter.
	StarvationEvery int
	// Weight returns a tenant's share of service; nil or a result that is not positive means 1.
	Weight func(fleet.TenantID) float64
	// ArrivalOrder serves in order of arrival, without classes, aging or shares; it is a baseline for measurements.
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
	// Exempt entries are taken beyond the limit; their number is bounded by what their owner served before.
	Exempt   bool
	Enqueued time.Time
	Deadline time.Time
}

// Verdict is a server's answer to an offered entry.
type Verdict int

// Verdicts on an offered entry.
const (
	// Take serves the entry and removes it.
	Take Verdict = iota
	// Skip leaves the entry waiting and offers the next one.
	Skip
	// Stop leaves the entry waiting and offers none behind it.
	Stop
)

// Queue is a bounded ordered queue. It is not safe for concurrent use.
type Queue struct {
	cfg     Settings
	next    Ticket
	entries map[Ticket]*waiting
	order   []*waiting
	classes [fleet.Classes]class
	shorts  [fleet.Classes]int
	served  int
	// due is a lower bound on the next promotion or deadline.
	due time.Time
}

type waiting struct {
	Entry
	at      fleet.Class
	promote time.Time
	gone    bool
}

type class struct {
	tenants map[fleet.TenantID]*tenant
	active  []*tenant
	virtual float64
	count   int
}

type tenant struct {
	id      fleet.TenantID
	virtual float64
	waiting []*waiting
}

// New returns an empty queue.
func New(cfg Settings) *Queue {
	cfg.Limit = cmp.Or(cfg.Limit, DefaultLimit)
	cfg.AgingShare = cmp.Or(cfg.AgingShare, DefaultAgingShare)
	cfg.StarvationAfter = cmp.Or(cfg.StarvationAfter, DefaultStarvationAfter)
	cfg.StarvationEvery = cmp.Or(cfg.StarvationEvery, DefaultStarvationEvery)
	return &Queue{cfg: cfg, entries: map[Ticket]*waiting{}}
}

// Len returns the number of waiting entries.
func (q *Queue) Len() int { return len(q.entries) }

// Shorts returns the number of waiting entries that are not predicted long.
func (q *Queue) Shorts() int {
	n := 0
	for _, k := range q.shorts {
		n += k
	}
	return n
}

// TopShort returns the highest class that has a waiting entry not predicted long, and whether there is one.
func (q *Queue) TopShort() (fleet.Class, bool) {
	for c, n := range q.shorts {
		if n > 0 {
			return fleet.Class(c), true
		}
	}
	return 0, false
}

// Entry returns a waiting entry and whether it is there.
func (q *Queue) Entry(t Ticket) (Entry, bool) {
	w, ok := q.entries[t]
	if !ok {
		return Entry{}, false
	}
	return w.Entry, true
}

// Push adds an entry and returns its ticket, and false when the queue is full. An unknown class counts as the last one.
func (q *Queue) Push(now time.Time, e Entry) (Ticket, bool) {
	if len(q.entries) >= q.cfg.Limit && !e.Exempt {
		return 0, false
	}
	q.next++
	e.Ticket = q.next
	e.Enqueued = now
	e.Class = known(e.Class)
	if q.cfg.ArrivalOrder {
		e.Class, e.Tenant = 0, ""
	}
	w := &waiting{Entry: e, at: e.Class}
	w.promote = now.Add(time.Duration(float64(e.Deadline.Sub(now)) * q.cfg.AgingShare))
	if at := w.due(); len(q.entries) == 0 || at.Before(q.due) {
		q.due = at
	}
	q.entries[e.Ticket] = w
	q.order = append(q.order, w)
	if !e.Long {
		q.shorts[e.Class]++
	}
	q.insert(w)
	return e.Ticket, true
}

// Remove takes an entry out and returns it.
func (q *Queue) Remove(t Ticket) (Entry, bool) {
	w, ok := q.entries[t]
	if !ok {
		return Entry{}, false
	}
	q.remove(w)
	return w.Entry, true
}

// Expired removes and returns the entries whose deadline has come, oldest first.
func (q *Queue) Expired(now time.Time) []Entry {
	if len(q.entries) == 0 || now.Before(q.due) {
		return nil
	}
	var out []Entry
	for _, w := range q.order {
		if !w.gone && !now.Before(w.Deadline) {
			out = append(out, w.Entry)
		}
	}
	for _, e := range out {
		q.remove(q.entries[e.Ticket])
	}
	q.advance(now)
	return out
}

// NextDue returns a time by which Expired is to be called, and false when nothing waits.
func (q *Queue) NextDue() (time.Time, bool) { return q.due, len(q.entries) > 0 }

// Pop offers entries in order until one is taken, and returns it; offer must not change the queue.
func (q *Queue) Pop(now time.Time, offer func(*Entry) Verdict) (Entry, bool) {
	if len(q.entries) == 0 {
		return Entry{}, false
	}
	q.advance(now)
	if q.served+1 >= q.cfg.StarvationEvery {
		if w := q.oldest(); now.Sub(w.Enqueued) >= q.cfg.StarvationAfter && offer(&w.Entry) == Take {
			q.served = 0
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
				case Take:
					q.served++
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

// Ahead returns how many waiting entries are expected to be served before a new one.
func (q *Queue) Ahead(e Entry) int {
	if q.cfg.ArrivalOrder {
		return len(q.entries)
	}
	e.Class = known(e.Class)
	n := 0
	for i := range e.Class {
		n += q.classes[i].count
	}
	c := &q.classes[e.Class]
	own := 0
	if t := c.tenants[e.Tenant]; t != nil {
		own, _ = slices.BinarySearchFunc(t.waiting, e.Deadline, func(w *waiting, d time.Time) int {
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

// Correct charges a tenant the difference between the work it did and the work that was estimated when it was served.
func (q *Queue) Correct(at fleet.Class, id fleet.TenantID, difference fleet.Tokens) {
	c := &q.classes[known(at)]
	if t := c.tenants[id]; t != nil {
		t.virtual += float64(difference) / q.weight(id)
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

// known maps unknown classes to the nearest one.
func known(c fleet.Class) fleet.Class { return min(max(c, 0), fleet.Classes-1) }

// ages says whether an entry still moves up one class.
func (w *waiting) ages() bool { return w.at > 0 && w.at == w.Class }

func (w *waiting) due() time.Time {
	if w.ages() && w.promote.Before(w.Deadline) {
		return w.promote
	}
	return w.Deadline
}

func (q *Queue) oldest() *waiting {
	for q.order[0].gone {
		q.order = q.order[1:]
	}
	return q.order[0]
}

// advance moves entries up whose aging time has come and computes the next time at which one does.
func (q *Queue) advance(now time.Time) {
	if now.Before(q.due) {
		return
	}
	first := true
	for _, w := range q.order {
		if w.gone {
			continue
		}
		if w.ages() && !now.Before(w.promote) {
			q.detach(w)
			w.at--
			q.insert(w)
		}
		if at := w.due(); first || at.Before(q.due) {
			q.due, first = at, false
		}
	}
}

func (q *Queue) insert(w *waiting) {
	c := &q.classes[w.at]
	if c.tenants == nil {
		c.tenants = map[fleet.TenantID]*tenant{}
	}
	t := c.tenants[w.Tenant]
	if t == nil {
		c.forget(q.cfg.Limit)
		t = &tenant{id: w.Tenant}
		c.tenants[w.Tenant] = t
	}
	if len(t.waiting) == 0 {
		t.virtual = max(t.virtual, c.virtual)
		c.active = append(c.active, t)
	}
	i, _ := slices.BinarySearchFunc(t.waiting, w, func(a, b *waiting) int {
		if q.cfg.ArrivalOrder {
			return cmp.Compare(a.Ticket, b.Ticket)
		}
		return cmp.Or(a.Deadline.Compare(b.Deadline), cmp.Compare(a.Ticket, b.Ticket))
	})
	t.waiting = slices.Insert(t.waiting, i, w)
	c.count++
}

// detach takes an entry out of its class and tenant.
func (q *Queue) detach(w *waiting) {
	c := &q.classes[w.at]
	t := c.tenants[w.Tenant]
	i := slices.Index(t.waiting, w)
	t.waiting = slices.Delete(t.waiting, i, i+1)
	c.count--
	if len(t.waiting) == 0 {
		i := slices.Index(c.active, t)
		c.active = slices.Delete(c.active, i, i+1)
	}
}

func (q *Queue) remove(w *waiting) {
	q.detach(w)
	w.gone = true
	delete(q.entries, w.Ticket)
	if !w.Long {
		q.shorts[w.Class]--
	}
	if len(q.order) > 2*len(q.entries)+16 {
		q.order = slices.DeleteFunc(q.order, func(w *waiting) bool { return w.gone })
	}
}

func (q *Queue) serve(w *waiting) {
	c := &q.classes[w.at]
	t := c.tenants[w.Tenant]
	c.virtual = max(c.virtual, t.virtual)
	t.virtual += float64(max(w.Tokens, 1)) / q.weight(w.Tenant)
	q.remove(w)
}

func (c *class) sort() {
	slices.SortFunc(c.active, func(a, b *tenant) int {
		return cmp.Or(cmp.Compare(a.virtual, b.virtual), cmp.Compare(a.id, b.id))
	})
}

// forget drops idle tenants without debt once limit tenants are known, and all idle ones if that is not enough.
func (c *class) forget(limit int) {
	if len(c.tenants) < 2*limit {
		return
	}
	for id, t := range c.tenants {
		if len(t.waiting) == 0 && t.virtual <= c.virtual {
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
