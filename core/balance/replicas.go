package balance

import (
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
	hash := instanceHash(key)
	hashes := make([]uint64, len(instances))
	for i, in := range instances {
		hashes[i] = hash(in)
	}
	slices.Sort(hashes)
	least := hashes[len(hashes)-n]
	return func(in *registry.Instance) bool { return hash(in) >= least }
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
	hash := instanceHash(key)
	best, highest := instances[0], hash(instances[0])
	for _, in := range instances[1:] {
		if h := hash(in); h > highest {
			best, highest = in, h
		}
	}
	return best
}

// instanceHash returns a function that returns the hash of key and the id of an instance.
func instanceHash(key string) func(*registry.Instance) uint64 {
	var prefix xxhash.Digest
	prefix.Reset()
	_, _ = prefix.WriteString(key)
	return func(in *registry.Instance) uint64 {
		d := prefix
		_, _ = d.WriteString(string(in.ID))
		return d.Sum64()
	}
}
