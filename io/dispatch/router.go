package dispatch

import (
	"math/rand/v2"
	"sync"
	"time"

	"toucanway/core/capacity"
	"toucanway/core/control"
	"toucanway/core/fleet"
	"toucanway/io/follow"
)

// router chooses backend servers by what this host knows of their load. Lock order: mu, then the follower's lock.
type router struct {
	follower *follow.Follower

	mu     sync.Mutex
	rng    *rand.Rand
	queues map[fleet.BackendID]capacity.QueueState
	own    map[fleet.BackendID]int
}

func newRouter(f *follow.Follower, seed uint64) *router {
	return &router{
		follower: f, rng: rand.New(rand.NewPCG(seed, 0)),
		queues: map[fleet.BackendID]capacity.QueueState{}, own: map[fleet.BackendID]int{},
	}
}

// choose returns the backend server with a ready replica and the shortest queue, at random among equal ones.
func (r *router) choose(_ time.Time, a *answer, tried map[fleet.BackendID]bool) (control.Backend, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	var best []control.Backend
	least := 0
	r.follower.Read(func(s *control.State) {
		for _, rep := range s.Replicas(a.call.Target.Model) {
			b, ok := s.Backend(rep.Backend)
			if rep.State != control.ReplicaReady || !ok || b.Lost || b.Leaving || tried[rep.Backend] {
				continue
			}
			n := r.queues[rep.Backend].Waiting + r.queues[rep.Backend].Granted + r.own[rep.Backend]
			if len(best) == 0 || n < least {
				best, least = best[:0], n
			}
			if n == least {
				best = append(best, b)
			}
		}
	})
	if len(best) == 0 {
		return control.Backend{}, false
	}
	return best[r.rng.IntN(len(best))], true
}

func (r *router) queue(_ time.Time, id fleet.BackendID, q capacity.QueueState) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.queues[id] = q
}

func (r *router) failed(_ time.Time, _ *answer, _ *attempt, _ error) {}
