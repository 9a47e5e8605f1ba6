package memnet

import (
	"cmp"
	"net/netip"
	"slices"
	"sync"
	"time"
)

// DefaultWindow is the default limit of the bytes written to a connection and not yet read.
const DefaultWindow = 256 << 10

// Settings describe a network.
type Settings struct {
	// Delay returns the one-way delay between two hosts; nil means none.
	Delay func(from, to netip.Addr) time.Duration
	// Window limits the bytes written to a connection and not yet read; zero means DefaultWindow.
	Window int
}

// Network connects hosts by IP address. It is safe for concurrent use.
type Network struct {
	settings Settings

	mu    sync.Mutex
	hosts map[netip.Addr]*Host
	links map[route]*link
	// changed is closed and replaced whenever the conditions of a link change.
	changed chan struct{}
}

// route is one direction between two hosts.
type route struct{ from, to netip.Addr }

// New returns a network without hosts.
func New(s Settings) *Network {
	if s.Window <= 0 {
		s.Window = DefaultWindow
	}
	return &Network{
		settings: s,
		hosts:    map[netip.Addr]*Host{},
		links:    map[route]*link{},
		changed:  make(chan struct{}),
	}
}

// Host returns the host with an IP address, which it adds on first use; it panics if the address is malformed.
func (n *Network) Host(ip string) *Host {
	a := netip.MustParseAddr(ip)
	n.mu.Lock()
	defer n.mu.Unlock()
	h, ok := n.hosts[a]
	if !ok {
		h = newHost(n, a)
		n.hosts[a] = h
	}
	return h
}

// Conditions are the state of one direction of a link.
type Conditions struct {
	// Delay is the one-way delay.
	Delay time.Duration
	// Bandwidth is shared by all connections over the link, in bytes a second; zero means unlimited.
	Bandwidth int64
	// Cut means that nothing is delivered and no error is reported.
	Cut bool
}

// Conditions returns the state of the link from one host to another.
func (n *Network) Conditions(from, to string) Conditions {
	l := n.link(netip.MustParseAddr(from), netip.MustParseAddr(to))
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.conditions
}

// Change calls edit with the conditions of the link from one host to another; the other direction stays as it is.
func (n *Network) Change(from, to string, edit func(*Conditions)) {
	n.updateLink(netip.MustParseAddr(from), netip.MustParseAddr(to), edit)
}

// Cut silently cuts both directions between two hosts.
func (n *Network) Cut(a, b string) { n.setCut(a, b, true) }

// Restore ends the cuts of both directions between two hosts.
func (n *Network) Restore(a, b string) { n.setCut(a, b, false) }

// CutOneWay silently cuts the link from one host to another.
func (n *Network) CutOneWay(from, to string) {
	n.Change(from, to, func(c *Conditions) { c.Cut = true })
}

// Isolate silently cuts a host off from every host that exists now.
func (n *Network) Isolate(ip string) { n.setIsolated(ip, true) }

// Rejoin ends the cuts between a host and every other host.
func (n *Network) Rejoin(ip string) { n.setIsolated(ip, false) }

// Partition silently cuts every host of one group off from every host of the other.
func (n *Network) Partition(a, b []string) {
	for _, x := range a {
		for _, y := range b {
			n.Cut(x, y)
		}
	}
}

// RestoreAll ends every cut.
func (n *Network) RestoreAll() {
	n.mu.Lock()
	routes := make([]route, 0, len(n.links))
	for r := range n.links {
		routes = append(routes, r)
	}
	n.mu.Unlock()
	for _, r := range routes {
		n.updateLink(r.from, r.to, func(c *Conditions) { c.Cut = false })
	}
}

// Traffic counts the bytes and dials over one direction of a link.
type Traffic struct {
	From, To netip.Addr
	Bytes    int64
	Dials    int64
}

// Traffic returns the traffic of each link that was used, ordered by addresses.
func (n *Network) Traffic() []Traffic {
	n.mu.Lock()
	links := make(map[route]*link, len(n.links))
	for r, l := range n.links {
		links[r] = l
	}
	n.mu.Unlock()
	var out []Traffic
	for r, l := range links {
		l.mu.Lock()
		if l.bytes > 0 || l.dials > 0 {
			out = append(out, Traffic{From: r.from, To: r.to, Bytes: l.bytes, Dials: l.dials})
		}
		l.mu.Unlock()
	}
	slices.SortFunc(out, func(a, b Traffic) int {
		return cmp.Or(a.From.Compare(b.From), a.To.Compare(b.To))
	})
	return out
}

// CrossBytes returns the bytes sent between hosts for which group returns different names, such as their regions.
func (n *Network) CrossBytes(group func(netip.Addr) string) int64 {
	var sum int64
	for _, t := range n.Traffic() {
		if group(t.From) != group(t.To) {
			sum += t.Bytes
		}
	}
	return sum
}

func (n *Network) setCut(a, b string, cut bool) {
	n.Change(a, b, func(c *Conditions) { c.Cut = cut })
	n.Change(b, a, func(c *Conditions) { c.Cut = cut })
}

func (n *Network) setIsolated(ip string, cut bool) {
	n.mu.Lock()
	var others []string
	for a := range n.hosts {
		if a.String() != ip {
			others = append(others, a.String())
		}
	}
	n.mu.Unlock()
	for _, o := range others {
		n.setCut(ip, o, cut)
	}
}

func (n *Network) updateLink(from, to netip.Addr, edit func(*Conditions)) {
	l := n.link(from, to)
	l.mu.Lock()
	edit(&l.conditions)
	streams := make([]*stream, 0, len(l.streams))
	for s := range l.streams {
		streams = append(streams, s)
	}
	l.mu.Unlock()
	for _, s := range streams {
		s.retransmit()
	}
	n.mu.Lock()
	close(n.changed)
	n.changed = make(chan struct{})
	n.mu.Unlock()
}

// link returns the link of a route, which it adds on first use.
func (n *Network) link(from, to netip.Addr) *link {
	n.mu.Lock()
	defer n.mu.Unlock()
	r := route{from, to}
	l, ok := n.links[r]
	if !ok {
		l = &link{streams: map[*stream]struct{}{}}
		if n.settings.Delay != nil {
			l.conditions.Delay = n.settings.Delay(from, to)
		}
		n.links[r] = l
	}
	return l
}

// lookup returns the host of an address, nil if there is none.
func (n *Network) lookup(a netip.Addr) *Host {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.hosts[a]
}

// watch returns a channel that is closed at the next change of a link.
func (n *Network) watch() <-chan struct{} {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.changed
}

// link is one direction between two hosts.
type link struct {
	mu         sync.Mutex
	conditions Conditions
	streams    map[*stream]struct{}
	// freeAt is the time when the link has sent all bytes written to it.
	freeAt time.Time
	bytes  int64
	dials  int64
}

// send reserves the link for a number of bytes and returns the time of their arrival, or false while the link is cut.
func (l *link) send(now time.Time, size int) (time.Time, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.conditions.Cut {
		return time.Time{}, false
	}
	l.bytes += int64(size)
	start := now
	if l.conditions.Bandwidth > 0 {
		if l.freeAt.After(start) {
			start = l.freeAt
		}
		start = start.Add(time.Duration(int64(size) * int64(time.Second) / l.conditions.Bandwidth))
		l.freeAt = start
	}
	return start.Add(l.conditions.Delay), true
}

// delay reports the delay of the link, or false while it is cut.
func (l *link) delay() (time.Duration, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.conditions.Delay, !l.conditions.Cut
}

func (l *link) countDial() {
	l.mu.Lock()
	l.dials++
	l.mu.Unlock()
}

func (l *link) add(s *stream) {
	l.mu.Lock()
	l.streams[s] = struct{}{}
	l.mu.Unlock()
}

func (l *link) remove(s *stream) {
	l.mu.Lock()
	delete(l.streams, s)
	l.mu.Unlock()
}
