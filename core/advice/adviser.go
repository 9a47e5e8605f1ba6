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
	// DefaultOverload is the load from which a host ranks behind all others.
	DefaultOverload = 0.85
)

// Settings configure an Adviser; zero fields mean the defaults above.
type Settings struct {
	// Lifetime is how long an answer is valid.
	Lifetime time.Duration
	// Hosts is the maximum number of hosts in an answer.
	Hosts int
	// Overload is the load from which a host ranks behind all others.
	Overload float64
}

// Host is the state of an entry host in the membership and the control state.
type Host struct {
	ID      fleet.HostID
	Address string
	Place   fleet.Place
	// Load is the share of the host's capacity in use; 1 is full load.
	Load     float64
	Draining bool
	Dead     bool
	Voter    bool
}

// Target is the model or service that a caller wants to use, with the backend servers that serve it now.
type Target struct {
	// Name is the name of the model or service.
	Name     string
	Backends []Backend
	// Caller is the place that the caller connects from; the zero value means that it is unknown.
	Caller fleet.Place
}

// Backend is a backend server that serves the target.
type Backend struct {
	Place fleet.Place
	Owner fleet.HostID
}

// Advice lists the addresses of the entry hosts to use, best first, and how long the list is valid.
type Advice struct {
	Addresses []string
	Lifetime  time.Duration
}

// Adviser chooses entry hosts for callers from its own copy of the hosts. Every host with the same copy gives the same answer, so
// that the callers of a model use few hosts. It is not safe for concurrent use.
type Adviser struct {
	cfg           Settings
	hosts         []Host
	hostHashes    []uint64
	hostIndex     map[fleet.HostID]int
	ownedBackends []int
	ranking       []ranked
	// places are the distinct data centres of the hosts, hostPlace is the index of each host's data centre in it, and placePoints
	// is the score of each data centre for the target of the current call.
	places      []fleet.Place
	hostPlace   []int
	placePoints []float64
}

// ranked is a host with its score; hosts with equal scores are ordered by tieBreak.
type ranked struct {
	host     int
	score    float64
	tieBreak uint64
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
	a.hostHashes = make([]uint64, len(hosts))
	a.hostIndex = make(map[fleet.HostID]int, len(hosts))
	a.ownedBackends = make([]int, len(hosts))
	a.ranking = make([]ranked, 0, a.cfg.Hosts+1)
	a.places = nil
	a.hostPlace = make([]int, len(hosts))
	for i, h := range a.hosts {
		a.hostHashes[i] = xxhash.Sum64String(string(h.ID))
		a.hostIndex[h.ID] = i
		at := fleet.Place{Region: h.Place.Region, DataCentre: h.Place.DataCentre}
		k := slices.Index(a.places, at)
		if k < 0 {
			k = len(a.places)
			a.places = append(a.places, at)
		}
		a.hostPlace[i] = k
	}
	a.placePoints = make([]float64, len(a.places))
}

// Points of a host for a target. Dead and draining hosts are left out; an overloaded host ranks behind every other.
const (
	ownerPoints      = 4.0
	dataCentrePoints = 2.0
	regionPoints     = 1.0
	callerPoints     = 2.0
	overloadPoints   = -16.0
	// loadPoints is the score at full load. It is scaled by the load, rounded down to a multiple of loadStep, so that advisers
	// whose copies differ little give the same answer.
	loadPoints = -3.0
	loadStep   = 0.25
)

// Hosts returns the hosts that a caller of the target should use, best first. There are none if every host is dead or draining.
func (a *Adviser) Hosts(t Target) Advice {
	clear(a.ownedBackends)
	a.ranking = a.ranking[:0]
	for _, b := range t.Backends {
		if i, ok := a.hostIndex[b.Owner]; ok {
			a.ownedBackends[i]++
		}
	}
	for k, p := range a.places {
		a.placePoints[k] = proximityPoints(p, t.Backends)
		if t.Caller.Region != "" && t.Caller.Region == p.Region {
			a.placePoints[k] += callerPoints
		}
	}
	seed := xxhash.Sum64String(t.Name)
	for i := range a.hosts {
		h := &a.hosts[i]
		if h.Dead || h.Draining {
			continue
		}
		a.insertRanked(ranked{host: i, score: a.score(h, i, len(t.Backends)), tieBreak: rendezvousHash(seed, a.hostHashes[i])})
	}
	out := Advice{Lifetime: a.cfg.Lifetime}
	for _, r := range a.ranking {
		out.Addresses = append(out.Addresses, a.hosts[r.host].Address)
	}
	return out
}

// insertRanked inserts a host into the ranking, which keeps the best ones.
func (a *Adviser) insertRanked(r ranked) {
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
	return r.score > other.score || r.score == other.score && r.tieBreak < other.tieBreak
}

func (a *Adviser) score(h *Host, i, backends int) float64 {
	s := a.placePoints[a.hostPlace[i]]
	if backends > 0 {
		s += ownerPoints * float64(a.ownedBackends[i]) / float64(backends)
	}
	if h.Load >= a.cfg.Overload {
		s += overloadPoints
	}
	return s + loadPoints*loadStep*float64(int(max(h.Load, 0)/loadStep))
}

// proximityPoints returns the points of a data centre for the shares of the backend servers that are in it and elsewhere in its
// region.
func proximityPoints(p fleet.Place, backends []Backend) float64 {
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

// rendezvousHash returns the rendezvous hash of a target and a host: a host that joins or leaves moves only the targets that it
// gains or loses.
func rendezvousHash(a, b uint64) uint64 {
	x := a ^ b*0x9e3779b97f4a7c15
	x ^= x >> 32
	x *= 0xd6e8feb86659fd93
	return x ^ x>>32
}
