package balance

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"toucanway/core/fleet"
	"toucanway/core/registry"
)

// isShort reports whether a prompt is too short to interrupt running streams.
func isShort(prompt fleet.Tokens) bool { return prompt < longPromptTokens }

// LongPrompt reports whether the prompt is so long that the other prompts at its server affect the time to first byte.
func (r *Request) LongPrompt() bool { return !r.Plain && !isShort(r.Prompt) }

// separateReplicas returns a function that reports whether a replica is kept for short prompts, since each long prompt interrupts
// the streams at its replica. It returns nil if there is only one replica, or if only short or only long prompts have been seen.
// The replicas are divided by the shares of the slots' time that both kinds hold, in the same way on all hosts with the same shares.
func (b *Balancer) separateReplicas(now time.Time, r *Request, instances []*registry.Instance) func(*registry.Instance) bool {
	if r.Plain || len(instances) < 2 {
		return nil
	}
	share, ok := b.work.shortShare(now)
	if !ok {
		return nil
	}
	n := min(max(int(share*float64(len(instances))+0.5), 1), len(instances)-1)
	key := string(r.Target.Model) + "/"
	hashes := make([]uint64, len(instances))
	for i, in := range instances {
		hashes[i] = hash(key, in)
	}
	slices.Sort(hashes)
	least := hashes[len(hashes)-n]
	return func(in *registry.Instance) bool { return hash(key, in) >= least }
}

// homeInstance returns the instance to which the common parts of a prompt hash, so that all hosts send such requests to the same
// instance without knowing of each other's requests. It returns nil if there are no common parts.
func homeInstance(r *Request, instances []*registry.Instance) *registry.Instance {
	if len(r.Parts) < 2 {
		return nil
	}
	return highestHash(string(r.Target.Model)+"/"+string(r.Target.Adapter)+"/"+r.Parts[len(r.Parts)-2].ID+"/", instances)
}

// highestHash returns the instance with the highest hash of key and instance id (rendezvous hashing), which is the same on every
// host.
func highestHash(key string, instances []*registry.Instance) *registry.Instance {
	return slices.MaxFunc(instances, func(a, b *registry.Instance) int {
		return cmp.Compare(hash(key, a), hash(key, b))
	})
}

func hash(key string, in *registry.Instance) uint64 { return xxhash.Sum64String(key + string(in.ID)) }
