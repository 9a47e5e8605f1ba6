package residency

import "toucanway/core/fleet"

// limitedEngineCost is the cost of a load at an engine with a rate limit, which other models share.
const limitedEngineCost = 4.0

// minUnmetRate is the number of requests a second above which a model whose replicas all have rate limits gets another replica.
const minUnmetRate = 0.2

// unmetRates returns the requests a second that the replicas of a model don't take, for the models whose replicas are all at engines with
// rate limits. The requests for a model are taken to spread evenly over its replicas, and an engine's limit over the requests for its
// models.
func (p *Planner) unmetRates(demands map[demandKey]modelDemand) map[demandKey]float64 {
	unmet := map[demandKey]float64{}
	limited := map[demandKey]int{}
	for _, e := range p.engines {
		if !e.usable() || !e.Limit.Named {
			continue
		}
		rate := 0.0
		for name := range e.models {
			rate += p.ratePerReplica(e, name, demands)
		}
		if rate == 0 {
			continue
		}
		excess := max(1-e.Limit.PerSecond/rate, 0)
		for name := range e.models {
			k := demandKey{e.Service, fleet.Target{Model: name}}
			unmet[k] += excess * p.ratePerReplica(e, name, demands)
			limited[k]++
		}
	}
	for k, n := range limited {
		if n < p.replicaCounts[k].total || unmet[k] < minUnmetRate {
			delete(unmet, k)
		}
	}
	return unmet
}

// ratePerReplica returns the requests a second for a model that each of its replicas gets.
func (p *Planner) ratePerReplica(e *engine, name fleet.ModelID, demands map[demandKey]modelDemand) float64 {
	k := demandKey{e.Service, fleet.Target{Model: name}}
	return demands[k].rate / float64(max(p.replicaCounts[k].total, 1))
}
