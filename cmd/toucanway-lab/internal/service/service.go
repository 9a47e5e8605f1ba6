package service

import (
	"encoding/json"
	"maps"
	"strings"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"toucanway/cmd/toucanway-lab/internal/backend"
	"toucanway/cmd/toucanway-lab/internal/history"
	"toucanway/cmd/toucanway-lab/internal/wire"
	"toucanway/core/fleet"
	"toucanway/core/pause"
	"toucanway/io/network"
)

const (
	// DefaultDelay is the simulated processing time of one call.
	DefaultDelay = 20 * time.Millisecond
	// DefaultSlots is the announced number of concurrent calls.
	DefaultSlots = 64
)

// Settings describe a service; zero fields mean the defaults above.
type Settings struct {
	ID      fleet.BackendID
	Network network.Network
	// Address is IP:PORT; port 0 selects a free port.
	Address     string
	Place       fleet.Place
	Entries     []string
	Services    []fleet.ServiceID
	Incarnation fleet.Incarnation
	Delay       time.Duration
	Slots       int
	History     *history.History
}

// Call is the part of a request body that the service reads.
type Call struct {
	Key string `json:"key"`
}

// Answer is the body of an answer; Count is how often the service has run the key.
type Answer struct {
	Key   string `json:"key"`
	Count int    `json:"count"`
	Path  string `json:"path"`
}

// Service is a simulated service across restarts of its process. It is safe for concurrent use.
type Service struct {
	backend.Supervisor
	settings Settings
	// Faults are kept across restarts.
	Faults backend.FaultSwitches

	mu      sync.Mutex
	counts  map[string]int
	lastKey string
}

// New returns a service that is not started.
func New(s Settings) *Service {
	if s.Delay <= 0 {
		s.Delay = DefaultDelay
	}
	if s.Slots <= 0 {
		s.Slots = DefaultSlots
	}
	v := &Service{settings: s, counts: map[string]int{}}
	v.ID, v.Network, v.ListenAddress, v.FirstIncarnation, v.History = s.ID, s.Network, s.Address, s.Incarnation, s.History
	v.OnStart = v.serveAndAnnounce
	return v
}

// Counts returns how often each key was run, across restarts.
func (v *Service) Counts() map[string]int {
	v.mu.Lock()
	defer v.mu.Unlock()
	return maps.Clone(v.counts)
}

// Leave tells the entry hosts that the service accepts no more work.
func (v *Service) Leave() error {
	return backend.PostLeave(v.settings.Network, v.settings.Entries,
		wire.Leave{ID: v.settings.ID, Incarnation: v.Incarnation()})
}

func (v *Service) serveAndAnnounce(instance *backend.Instance) {
	instance.Serve(func(ctx *fasthttp.RequestCtx) { v.handle(instance, ctx) })
	a := fleet.Announcement{
		ID: v.settings.ID, Incarnation: instance.Incarnation(), Kind: fleet.KindService, Address: instance.Address(),
		Place: v.settings.Place, Slots: v.settings.Slots, Services: v.settings.Services,
	}
	for _, address := range v.settings.Entries {
		instance.Announce(instance.Context(), v.settings.Network, address, func(e *backend.Entry) {
			// An announcement that fails is repeated by the next one.
			_ = e.Announce(a)
		})
	}
}

func (v *Service) handle(instance *backend.Instance, ctx *fasthttp.RequestCtx) {
	if v.HandleLab(ctx, &v.Faults) {
		return
	}
	f := v.Faults.Get()
	if f.Mute {
		<-instance.Context().Done()
		return
	}
	var call Call
	// A body that is not JSON has no key; its runs are counted under the idempotency key.
	_ = json.Unmarshal(ctx.PostBody(), &call)
	if call.Key == "" {
		call.Key = string(ctx.Request.Header.Peek(wire.HeaderIdempotency))
	}
	answer := Answer{Key: call.Key, Count: v.countRun(call.Key), Path: string(ctx.Path())}
	v.settings.History.Add(history.RequestRun{
		Request: fleet.RequestID(ctx.Request.Header.Peek(wire.HeaderRequestID)), Key: history.Key(call.Key),
		Backend: v.settings.ID, Incarnation: instance.Incarnation(),
	})
	if f.CrashOnPrompt != "" && strings.Contains(string(ctx.PostBody()), f.CrashOnPrompt) {
		v.CrashInstance(instance)
		return
	}
	if err := pause.For(instance.Context(), f.Scale(v.settings.Delay)+f.Late); err != nil {
		return
	}
	if f.Swap {
		answer.Key = v.otherKey(call.Key)
	}
	backend.WriteJSON(ctx, fasthttp.StatusOK, answer)
	ctx.Response.Header.SetBytesV(wire.HeaderRequestID, ctx.Request.Header.Peek(wire.HeaderRequestID))
}

func (v *Service) countRun(key string) int {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.counts[key]++
	n := v.counts[key]
	return n
}

// otherKey returns the key of the request that was answered before under the swap fault, or a made-up key if there was none.
func (v *Service) otherKey(key string) string {
	v.mu.Lock()
	defer v.mu.Unlock()
	last := v.lastKey
	v.lastKey = key
	if last == "" || last == key {
		return key + "-other"
	}
	return last
}
