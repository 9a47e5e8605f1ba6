package crashes

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"toucanway/core/fleet"
)

// simSeeds is the number of seeds of each simulated deployment.
const simSeeds = 1

// Times of a simulated deployment.
const (
	simStep = 50 * time.Millisecond
	// simContact is the time in which hosts have to know of a part that crashes servers, from its fifth crash on.
	simContact = 4 * time.Second
	// simWork is the time from the begin of a request to the crash, simAnswer that to the end of the answer.
	simWork   = 100 * time.Millisecond
	simAnswer = time.Second
	// simBack is the time for which a crashed server is down, simLoad the time in which it then loads its model.
	simBack = 3 * time.Second
	simLoad = 700 * time.Millisecond
	// simWait is the longest time that a request waits for a server.
	simWait = 5 * time.Second
	// simCleared is the time after the last crash from which requests that crash no servers run again: a trial after earlyTrialTime, a
	// second one if the first one meets no server, and its answer.
	simCleared = 15 * time.Second
)

// simulation is a deployment of servers that crash on some parts of prompts, hosts that send them requests, and a leader.
type simulation struct {
	*deployment
	rnd     *rand.Rand
	servers []*simServer
	waiting []*simRequest
	next    int
	// crashed holds the times of the crashes by each deadly part.
	crashed map[Content][]time.Time
	// late counts, for each deadly part, the requests that reached servers later than simContact after its fifth crash.
	late map[Content]int
	// sound holds the sound requests.
	sound []*simRequest
	// deadly holds the parts that crash servers.
	deadly []Content
}

type simServer struct {
	incarnation fleet.Incarnation
	upAt        time.Time
	running     []*simRequest
}

type simRequest struct {
	host          int
	parts         []Content
	sentAt, began time.Time
	deadly        *Content
	// isTrial is set once the request was let through as a trial.
	isTrial bool
}

func newSimulation(t *testing.T, seed uint64, servers int) *simulation {
	s := &simulation{deployment: newDeployment(t, 4), rnd: rand.New(rand.NewPCG(seed, 1)), crashed: map[Content][]time.Time{}, late: map[Content]int{}}
	for range servers {
		s.deployment.servers++
		s.servers = append(s.servers, &simServer{incarnation: s.deployment.servers, upAt: s.now})
	}
	return s
}

// send sends a request with the given shared parts at a random host.
func (s *simulation) send(parts ...Content) {
	s.next++
	r := &simRequest{host: s.rnd.IntN(len(s.hosts)), parts: append(slices.Clone(parts), request(s.next)), sentAt: s.now}
	for i := range s.deadly {
		if slices.Contains(parts, s.deadly[i]) {
			r.deadly = &s.deadly[i]
		}
	}
	if r.deadly == nil {
		s.sound = append(s.sound, r)
	}
	s.waiting = append(s.waiting, r)
}

// step plays one step: requests begin, end or are refused, servers crash, and each host reports twice a second.
func (s *simulation) step() {
	s.waiting = slices.DeleteFunc(s.waiting, s.admit)
	for _, srv := range s.servers {
		s.run(srv)
	}
	s.now = s.now.Add(simStep)
	n := int(s.now.Sub(epoch) / simStep)
	s.detector.Tick(s.now)
	for i, h := range s.hosts {
		if (n+i)%10 == 0 {
			s.reportOf(h)
		}
	}
}

// admit begins or refuses a request and reports whether it no longer waits.
func (s *simulation) admit(r *simRequest) bool {
	h := s.hosts[r.host]
	if l, ok := h.Listed(s.now, r.parts); ok && !r.isTrial {
		if r.isTrial = h.Admit(s.now, l, r.parts); !r.isTrial {
			return true
		}
	}
	var up []*simServer
	for _, srv := range s.servers {
		if !srv.upAt.After(s.now) {
			up = append(up, srv)
		}
	}
	if len(up) == 0 {
		return s.now.Sub(r.sentAt) > simWait
	}
	srv := up[s.rnd.IntN(len(up))]
	r.began = s.now
	srv.running = append(srv.running, r)
	if r.deadly != nil {
		if list := s.crashed[*r.deadly]; len(list) >= 5 && s.now.Sub(list[4]) > simContact {
			s.late[*r.deadly]++
		}
	}
	return true
}

// run ends the requests of a server that are answered, and the server if one of them crashes it.
func (s *simulation) run(srv *simServer) {
	for _, r := range srv.running {
		if r.deadly != nil && s.now.Sub(r.began) >= simWork {
			s.crashed[*r.deadly] = append(s.crashed[*r.deadly], s.now)
			s.kill(srv)
			return
		}
	}
	srv.running = slices.DeleteFunc(srv.running, func(r *simRequest) bool {
		if s.now.Sub(r.began) < simAnswer {
			return false
		}
		s.answer(r.host, r.parts...)
		return true
	})
}

// kill ends a server with all its requests; it is back after a while.
func (s *simulation) kill(srv *simServer) {
	for _, r := range srv.running {
		s.hosts[r.host].RecordCrash(s.now, "s", srv.incarnation, r.parts)
	}
	s.deployment.servers++
	*srv = simServer{incarnation: s.deployment.servers, upAt: s.now.Add(simBack + simLoad)}
}

// beganShare returns the share of the sound requests sent from a time on, and long enough ago, that have begun at a server. There must be
// twenty of them for a verdict.
func (s *simulation) beganShare(from time.Time) float64 {
	n, began := 0, 0
	for _, r := range s.sound {
		if r.sentAt.Before(from) || s.now.Sub(r.sentAt) < simWait {
			continue
		}
		n++
		if !r.began.IsZero() {
			began++
		}
	}
	require.GreaterOrEqual(s.t, n, 20)
	return float64(began) / float64(n)
}

// Guards against a part of prompts that goes on crashing servers (rule BUDGET), and against sound requests that are refused since they share
// its other parts (rule LOST): with the deadly part at each place, one server and many, without a server that answers meanwhile, with
// and without answers before, several deadly parts in turn, and servers that are killed besides.
func TestDeadlyPartBesideSoundRequests(t *testing.T) {
	// partTime is the time for which each deadly part comes. With one server it crashes only every four seconds.
	const partTime = 45 * time.Second
	type play struct {
		servers, shared, place int
		// answered is set if sound requests were answered before.
		answered bool
		// parts is the number of deadly parts, each of which comes for partTime.
		parts int
		// killed is set if all servers are killed one after the other between the crashes.
		killed bool
		gap    time.Duration
	}
	var plays []play
	for _, servers := range []int{1, 3, 18} {
		for _, shared := range []int{2, 3} {
			for place := range shared {
				for _, answered := range []bool{true, false} {
					for _, gap := range []time.Duration{250 * time.Millisecond, 600 * time.Millisecond, 1700 * time.Millisecond} {
						plays = append(plays,
							play{servers, shared, place, answered, 1, false, gap}, play{servers, shared, place, answered, 1, true, gap},
							play{servers, shared, place, answered, 3, false, gap})
					}
				}
			}
		}
	}
	for _, p := range plays {
		t.Run(fmt.Sprintf("%+v", p), func(t *testing.T) {
			for seed := range uint64(simSeeds) {
				s := newSimulation(t, seed, p.servers)
				sound := make([]Content, p.shared)
				for i := range sound {
					sound[i] = PromptPart(fmt.Sprintf("sound-%d-%d", seed, i), i+1)
				}
				var at time.Duration
				playFor := func(d time.Duration, deadly []Content) {
					for end := at + d; at < end; at += simStep {
						if at%(200*time.Millisecond) == 0 {
							s.send(sound...)
						}
						if deadly != nil && at%p.gap == 0 {
							s.send(deadly...)
						}
						if p.killed && deadly != nil && end-at <= partTime-2*time.Second && end-at > partTime-3500*time.Millisecond && at%(100*time.Millisecond) == 0 {
							s.kill(s.servers[int(at/(100*time.Millisecond))%len(s.servers)])
						}
						s.step()
					}
				}
				if p.answered {
					playFor(5*time.Second, nil)
				}
				for n := range p.parts {
					prompt := slices.Clone(sound)
					prompt[p.place] = PromptPart(fmt.Sprintf("deadly-%d-%d", seed, n), p.place+1)
					s.deadly = append(s.deadly, prompt[p.place])
					playFor(partTime, prompt)
					crashed := s.crashed[prompt[p.place]]
					require.NotEmpty(t, crashed, "seed %d", seed)
					from := crashed[min(4, len(crashed)-1)].Add(2 * simContact)
					require.Greater(t, s.beganShare(from), 0.5, "seed %d, part %d: sound requests that begin", seed, n)
					require.LessOrEqual(t, s.late[prompt[p.place]], 3, "seed %d, part %d: requests with it after %d crashes", seed, n, len(crashed))
				}
			}
		})
	}
}

// Guards against sound requests that are refused after crashes that no request has caused: all servers are killed one after the other, or
// again and again.
func TestKilledServersDoNotCondemnRequests(t *testing.T) {
	for _, servers := range []int{1, 3, 18} {
		for _, answered := range []bool{true, false} {
			for _, rounds := range []int{1, 3, 6} {
				t.Run(fmt.Sprintf("%d servers, answered %v, %d rounds", servers, answered, rounds), func(t *testing.T) {
					for seed := range uint64(simSeeds) {
						s := newSimulation(t, seed, servers)
						sound := []Content{PromptPart(fmt.Sprint("a", seed), 1), PromptPart(fmt.Sprint("b", seed), 2)}
						playFor := func(d time.Duration) {
							for range int(d / simStep) {
								if s.rnd.IntN(4) == 0 {
									s.send(sound...)
								}
								s.step()
							}
						}
						if answered {
							playFor(5 * time.Second)
						}
						for range rounds {
							for _, srv := range s.servers {
								playFor(simStep * time.Duration(1+s.rnd.IntN(8)))
								s.kill(srv)
							}
							playFor(simBack + simLoad + 200*time.Millisecond)
						}
						from := s.now.Add(simCleared)
						playFor(simCleared + 20*time.Second)
						require.Equal(t, 1.0, s.beganShare(from), "seed %d", seed)
					}
				})
			}
		}
	}
}
