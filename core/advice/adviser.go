package advice

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"toucanway/core/fleet"
)

// Defaults of Settings.
const (
	DefaultLifetime = 5 * time.Second
	DefaultHosts    = 3
	// DefaultOverload is the load from which a host is named only when there is no better one.
	DefaultOverload = 0.85
)

// Settings configure an Adviser; zero fields mean the defaults above.
type Settings struct {
	Lifetime time.Duration
	// Hosts is the number of hosts named.
	Hosts    int
	Overload float64
}

// Host is an entry host as membership and the control state know it.
type Host struct {
	ID      fleet.HostID
	Address string
	Place   fleet.Place
	// Load is the used share of the host's capacity, from 0.
	Load     float64
	Draining bool
	Dead     bool
	Voter    bool
}

// Target is what a caller asks for, with the backend servers that serve it now.
type Target struct {
	// Name is the model or service.
	Name     string
	Backends []Backend
	// Caller is where the caller connects from, as far as the asked host knows; the zero value is unknown.
	Caller fleet.Place
}

// Backend is a backend server that serves the target.
type Backend struct {
	Place fleet.Place
	Owner fleet.HostID
}

// Advice is the answer to a caller.
type Advice struct {
	Addresses []string
	Lifetime  time.Duration
}

// Adviser answers from its own copy of the hosts; the same hosts give the same answer on every host, so that a model's
// callers gather on few. It is not safe for concurrent use.
type Adviser struct {
	cfg     Settings
	hosts   []Host
	hashes  []uint64
	index   map[fleet.HostID]int
	owned   []int
	ranking []ranked
	// places are the data centres of hosts; place is each host's, and points what each is worth for the target asked for.
	places []fleet.Place
	place  []int
	points []float64
}

type ranked struct {
	host  int
	score float64
	tie   uint64
}

// New returns an adviser that knows no hosts.
func New(cfg Settings) *Adviser {
	cfg.Lifetime = cmp.Or(cfg.Lifetime, DefaultLifetime)
	cfg.Hosts = cmp.Or(cfg.Hosts, DefaultHosts)
	cfg.Overload = cmp.Or(cfg.Overload, DefaultOverload)
	return &Adviser{cfg: cfg}
}

// SetHosts replaces the known hosts.
func (a *Adviser) SetHosts(hosts []Host) {
	a.hosts = slices.Clone(hosts)
	a.hashes = make([]uint64, len(hosts))
	a.index = make(map[fleet.HostID]int, len(hosts))
	a.owned = make([]int, len(hosts))
	a.ranking = make([]ranked, 0, a.cfg.Hosts+1)
	a.places = nil
	a.place = make([]int, len(hosts))
	for i, h := range a.hosts {
		a.hashes[i] = xxhash.Sum64String(string(h.ID))
		a.index[h.ID] = i
		at := fleet.Place{Region: h.Place.Region, DataCentre: h.Place.DataCentre}
		k := slices.Index(a.places, at)
		if k < 0 {
			k = len(a.places)
			a.places = append(a.places, at)
		}
		a.place[i] = k
	}
	a.points = make([]float64, len(a.places))
}

// Points of a host for a target. Dead and draining hosts are left out; an overloaded one is behind every other.
const (
	ownerPoints      = 4.0
	dataCentrePoints = 2.0
	regionPoints     = 1.0
	callerPoints     = 2.0
	overloadPoints   = -16.0
	// loadPoints is taken off at full load in steps of loadStep, so that hosts whose copies differ a little answer alike.
	loadPoints = -3.0
	loadStep   = 0.25
)

// Hosts returns the hosts that a caller of the target should use, best first; none when every host is dead or draining.
func (a *Adviser) Hosts(t Target) Advice {
	clear(a.owned)
	a.ranking = a.ranking[:0]
	for _, b := range t.Backends {
		if i, ok := a.index[b.Owner]; ok {
			a.owned[i]++
		}
	}
	for k, p := range a.places {
		a.points[k] = near(p, t.Backends)
		if t.Caller.Region != "" && t.Caller.Region == p.Region {
			a.points[k] += callerPoints
		}
	}
	seed := xxhash.Sum64String(t.Name)
	for i := range a.hosts {
		h := &a.hosts[i]
		if h.Dead || h.Draining {
			continue
		}
		a.rank(ranked{host: i, score: a.score(h, i, len(t.Backends)), tie: mix(seed, a.hashes[i])})
	}
	out := Advice{Lifetime: a.cfg.Lifetime}
	for _, r := range a.ranking {
		out.Addresses = append(out.Addresses, a.hosts[r.host].Address)
	}
	return out
}

// rank puts a host in its place among the best ones.
func (a *Adviser) rank(r ranked) {
	i := len(a.ranking)
	for i > 0 && r.before(a.ranking[i-1]) {
		i--
	}
	if i < a.cfg.Hosts {
		a.ranking = slices.Insert(a.ranking, i, r)
		a.ranking = a.ranking[:min(len(a.ranking), a.cfg.Hosts)]
	}
}

func (r ranked) before(other ranked) bool {
	return r.score > other.score || r.score == other.score && r.tie < other.tie
}

func (a *Adviser) score(h *Host, i, backends int) float64 {
	s := a.points[a.place[i]]
	if backends > 0 {
		s += ownerPoints * float64(a.owned[i]) / float64(backends)
	}
	if h.Load >= a.cfg.Overload {
		s += overloadPoints
	}
	return s + loadPoints*loadStep*float64(int(max(h.Load, 0)/loadStep))
}

// near returns points for the share of backend servers in the host's data centre and region.
func near(p fleet.Place, backends []Backend) float64 {
	if len(backends) == 0 {
		return 0
	}
	s := 0.0
	for _, b := range backends {
		switch {
		case b.Place.DataCentre == p.DataCentre:
			s += dataCentrePoints
		case b.Place.Region == p.Region:
			s += regionPoints
		}
	}
	return s / float64(len(backends))
}

// mix orders hosts by rendezvous hashing: a host that joins or leaves moves only the targets that it gains or loses.
func mix(a, b uint64) uint64 {
	x := a ^ b*0x9e3779b97f4a7c15
	x ^= x >> 32
	x *= 0xd6e8feb86659fd93
	return x ^ x>>32
}
