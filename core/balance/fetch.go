package balance

import (
	"slices"

	"toucanway/core/registry"
)

// PrefixSource returns the instance from which the chosen one should fetch the shared parts of a prompt that it hasn't cached, or nil if
// there is none. It is the one to which most requests with these parts go beside the chosen one, since all hosts prefer the same
// instances in the same order. Fetching them takes a few milliseconds where processing them takes hundreds, and an instance that has
// none of them costs no more than the call.
func PrefixSource(r *Request, instances []*registry.Instance, chosen *registry.Instance) *registry.Instance {
	if !r.FetchesPrefixes || r.Plain || r.sharedTokens() < minFetchTokens {
		return nil
	}
	others := slices.DeleteFunc(slices.Clone(instances), func(in *registry.Instance) bool { return in.ID == chosen.ID })
	if len(others) == 0 {
		return nil
	}
	return homeInstance(r, others)
}
