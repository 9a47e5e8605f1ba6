package directory

import (
	"cmp"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"

	"toucanway/core/fleet"
)

// Capacity is what a host can bear; fields are 0 if they are not known.
type Capacity struct {
	Cores, LinkMbps float64
}

const (
	// similarShare is the share of the largest host's capacity from which all hosts count as equal.
	similarShare = 0.8
	// minWeight is the least weight of a host, so that callers of each data centre still learn of hosts with little capacity.
	minWeight = 0.1
	// minNamed is the number of hosts that each answer names at least, if there are so many: a caller that knows one host only
	// can't go to another one when it fails.
	minNamed = 3
)

// Weights returns the share of the callers that each host should get, relative to the largest host, or nil if the hosts differ by
// little or nothing is known of them. The scarcer of a host's resources counts. What isn't known of a host counts as the mean.
func Weights(list []Capacity) []float64 {
	cores := relative(list, func(c Capacity) float64 { return c.Cores })
	links := relative(list, func(c Capacity) float64 { return c.LinkMbps })
	out := make([]float64, len(list))
	most := 0.0
	for i := range out {
		out[i] = min(cores[i], links[i])
		most = max(most, out[i])
	}
	least := 1.0
	for i := range out {
		out[i] = max(out[i]/most, minWeight)
		least = min(least, out[i])
	}
	if least >= similarShare {
		return nil
	}
	return out
}

// relative returns a resource of each host as a share of the largest known one.
func relative(list []Capacity, of func(Capacity) float64) []float64 {
	most, sum, known := 0.0, 0.0, 0
	for _, c := range list {
		if x := of(c); x > 0 {
			most, sum, known = max(most, x), sum+x, known+1
		}
	}
	out := make([]float64, len(list))
	for i, c := range list {
		switch x := of(c); {
		case known == 0:
			out[i] = 1
		case x > 0:
			out[i] = x / most
		default:
			out[i] = sum / float64(known) / most
		}
	}
	return out
}

// fraction returns a hash as a number from 0 to 1.
func fraction(hash uint64) float64 { return float64(hash>>11) / (1 << 53) }

// ChooseWeighted returns up to n of the hosts for one of the answers to callers, which are numbered. The n hosts are the same ones for
// all answers; those with a higher weight are preferred. Each answer leaves out some of them, so that they are named in proportion to
// their weights. Without weights it is Choose.
func ChooseWeighted[T any](hosts []T, weights []float64, n int, answer uint64, id func(T) fleet.HostID) []T {
	if weights == nil {
		return Choose(hosts, n, id)
	}
	type ranked struct {
		score, weight, phase float64
		host                 T
	}
	list := make([]ranked, len(hosts))
	for i, h := range hosts {
		hash := xxhash.Sum64String(string(id(h)))
		// The n lowest of these scores are a sample in proportion to the weights, in the order of Choose if these are equal.
		score := -math.Log1p(-fraction(hash)) / weights[i]
		// The low bits, so that the phase doesn't depend on the score.
		list[i] = ranked{score, weights[i], fraction(hash << 32), h}
	}
	slices.SortFunc(list, func(a, b ranked) int {
		return cmp.Or(cmp.Compare(a.score, b.score), cmp.Compare(id(a.host), id(b.host)))
	})
	list = list[:min(n, len(list))]
	most := 0.0
	for _, r := range list {
		most = max(most, r.weight)
	}
	var out, left []T
	for _, r := range list {
		// Multiples of the golden ratio are spread evenly, so that the shares hold over a few answers.
		if _, x := math.Modf(r.phase + float64(answer%(1<<20))*(math.Phi-1)); x*most < r.weight {
			out = append(out, r.host)
		} else {
			left = append(left, r.host)
		}
	}
	return append(out, left[:min(max(minNamed-len(out), 0), len(left))]...)
}
