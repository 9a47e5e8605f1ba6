package placementpolicy

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"toucanway/core/fleet"
	"toucanway/core/placement"
)

// scenario describes the deployment, the load and the faults of one experiment.
type scenario struct {
	models    int
	engines   int
	hosts     int
	memory    fleet.Bytes
	storeRate int
	duration  time.Duration
	// peakAt is the start of half an hour with peakFactor times the usual demand.
	peakAt     time.Duration
	peakFactor float64
	// lossAt is when one of three data centres is lost for lossDuration; 0 means never.
	lossAt       time.Duration
	lossDuration time.Duration
	// slowAt is when the weight store becomes three times slower for half an hour; 0 means never.
	slowAt time.Duration
}

const peakDuration = 30 * time.Minute

// kopi returns a shortened working day of route sales: bursts of visit summaries and a peak at closing time.
func kopi() scenario {
	return scenario{
		models: 60, engines: 18, hosts: 9, memory: 48 * fleet.GiB, storeRate: 3, duration: 6 * time.Hour,
		peakAt: 4 * time.Hour, peakFactor: 5,
	}
}

// asociacion returns a scenario with fewer models and hosts than kopi and a lower peak, as in the closing week of audits.
func asociacion() scenario {
	return scenario{
		models: 40, engines: 18, hosts: 6, memory: 48 * fleet.GiB, storeRate: 4, duration: 6 * time.Hour,
		peakAt: 3 * time.Hour, peakFactor: 4,
	}
}

// request is one call; at is its arrival time and service its service time.
type request struct {
	at       time.Duration
	model    int
	host     int
	class    fleet.Class
	service  time.Duration
	deadline time.Duration
}

// catalogue returns models of several sizes; the first two have a minimum of two replicas in two data centres.
func (sc *scenario) catalogue(rng *rand.Rand) placement.Catalogue {
	var c placement.Catalogue
	for i := range sc.models {
		gib := 6 + rng.IntN(16)
		remote := time.Duration(15+2*gib) * time.Second
		m := placement.Model{
			ID: fleet.ModelID(fmt.Sprintf("m%03d", i)), Version: "v1", Memory: fleet.Bytes(gib) * fleet.GiB,
			KVPerToken: 128 * fleet.KiB, Slots: 8, Class: fleet.Class(1 + i%3), LoadTime: [3]time.Duration{remote / 10, remote / 3, remote},
		}
		if i < 2 {
			m.Minimum, m.SpreadDataCentres = 2, 2
		}
		c.Models = append(c.Models, m)
	}
	return c
}

// requests returns all calls in the order of their arrival. They come in sessions that begin with a burst at many hosts. Some
// models have sessions at regular intervals, and sessions of some models are followed by a session of another model.
func (sc *scenario) requests(rng *rand.Rand) []request {
	var out []request
	session := func(m int, at time.Duration) {
		n := 4 + rng.IntN(16)
		for i := range n {
			r := request{at: at + time.Duration(rng.Float64()*float64(2*time.Second)), model: m, host: rng.IntN(sc.hosts)}
			if i > n/2 {
				r.at = at + time.Duration(rng.ExpFloat64()*float64(time.Minute))
			}
			r.class = fleet.Class(rng.IntN(3))
			r.service = time.Duration((0.5 + rng.ExpFloat64()*1.5) * float64(time.Second))
			if rng.IntN(33) == 0 {
				r.service *= 10
			}
			r.deadline = []time.Duration{20 * time.Second, 45 * time.Second, 2 * time.Minute}[r.class]
			out = append(out, r)
		}
	}
	for m := range sc.models {
		if m%5 == 4 {
			period := time.Duration(12+rng.IntN(40)) * time.Minute
			for at := time.Duration(rng.Float64() * float64(period)); at < sc.duration; at += period {
				session(m, at+time.Duration(rng.NormFloat64()*float64(20*time.Second)))
			}
			continue
		}
		// Popularity falls with rank; the median model has about two sessions an hour.
		perHour := 60 / math.Pow(float64(m+1), 0.95)
		for at := time.Duration(0); at < sc.duration; {
			rate := perHour
			if at >= sc.peakAt && at < sc.peakAt+peakDuration {
				rate *= sc.peakFactor
			}
			step := time.Duration(rng.ExpFloat64() / rate * float64(time.Hour))
			if step > 5*time.Minute {
				// The rate may change within a long gap, so the gap is sampled again every five minutes.
				at += 5 * time.Minute
				continue
			}
			at += step
			session(m, at)
			if m%7 == 3 && rng.IntN(4) > 0 {
				session((m+20)%sc.models, at+time.Duration(60+rng.IntN(60))*time.Second)
			}
		}
	}
	out = slices.DeleteFunc(out, func(r request) bool { return r.at < 0 || r.at >= sc.duration })
	slices.SortStableFunc(out, func(a, b request) int { return cmp.Compare(a.at, b.at) })
	return out
}
