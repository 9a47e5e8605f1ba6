package gateway

import (
	"context"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"toucanway/core/balance"
	"toucanway/core/fleet"
	"toucanway/core/registry"
	"toucanway/io/controlapi"
	"toucanway/io/hosts"
	"toucanway/io/network"
)

// leader is a fake leader that chooses servers for prompts with the function place.
type leader struct {
	place func() fleet.BackendID
	asked atomic.Int32
}

// start starts the fake leader and makes a gateway's view use it.
func (l *leader) start(t *testing.T, v *View) {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	srv := &hosts.Server{}
	hosts.Handle(srv, controlapi.ProcedureLead, func(context.Context, fleet.HostID, *controlapi.LeadRequest) (*controlapi.LeadResponse, error) {
		return &controlapi.LeadResponse{}, nil
	})
	hosts.Handle(srv, controlapi.ProcedurePlace, func(context.Context, fleet.HostID, *controlapi.PlaceRequest) (*controlapi.PlaceResponse, error) {
		l.asked.Add(1)
		return &controlapi.PlaceResponse{Instance: l.place()}, nil
	})
	done := make(chan error, 1)
	go func() { done <- srv.Run(ctx, ln) }()
	client := hosts.NewClient("127.0.0.9", network.TCP{}, nil)
	t.Cleanup(func() { client.Close(); cancel(); <-done })
	v.cfg.Client = controlapi.NewClient(client, uint16(ln.Addr().(*net.TCPAddr).Port), func() []fleet.HostID { return []fleet.HostID{"127.0.0.1"} })
	_, err = controlapi.Call[controlapi.LeadRequest, controlapi.LeadResponse](ctx, v.cfg.Client, controlapi.ProcedureLead, 0, &controlapi.LeadRequest{})
	require.NoError(t, err)
}

// addServersWithModel adds servers that have loaded model m.
func (f *fixture) addServersWithModel(names ...fleet.BackendID) {
	v := f.gateway.view
	v.mu.Lock()
	defer v.mu.Unlock()
	for _, n := range names {
		v.instances[n] = &registry.Instance{ID: n, Incarnation: 1, Service: "s", Address: string(n) + ":80", DataCentre: "d", Models: []registry.Model{{Name: "m"}}}
	}
}

func longPrompt(n fleet.Tokens) *balance.Request {
	return &balance.Request{Target: fleet.Target{Model: "m"}, Prompt: n}
}

// Guards against long prompts that are placed without asking the leader, and against asking it when there is nothing to decide.
func TestLeaderIsAskedForLongPrompts(t *testing.T) {
	tests := map[string]struct {
		prompt  fleet.Tokens
		servers []fleet.BackendID
		answer  fleet.BackendID
		asked   int32
		placed  bool
	}{
		"long":                     {prompt: 9000, servers: []fleet.BackendID{"a", "b", "c"}, answer: "b", asked: 1, placed: true},
		"short":                    {prompt: 100, servers: []fleet.BackendID{"a", "b"}, answer: "b"},
		"one server":               {prompt: 9000, servers: []fleet.BackendID{"a"}, answer: "a"},
		"server removed meanwhile": {prompt: 9000, servers: []fleet.BackendID{"a", "b"}, answer: "c", asked: 1},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t)
			f.addServersWithModel(tt.servers...)
			l := &leader{place: func() fleet.BackendID { return tt.answer }}
			l.start(t, f.gateway.view)
			f.gateway.view.placeTimeout = time.Minute
			c := f.gateway.view.pick(t.Context(), "s", longPrompt(tt.prompt), constraint{})
			require.Contains(t, tt.servers, c.instance.ID)
			require.Equal(t, tt.placed, c.choice.Placed)
			if tt.placed {
				require.Equal(t, tt.answer, c.instance.ID)
			}
			require.Equal(t, tt.asked, l.asked.Load())
			require.NotNil(t, c.ticket)
		})
	}
}

// Guards against each request waiting again for a leader that doesn't answer.
func TestSilentLeaderIsNotAskedAgain(t *testing.T) {
	f := newFixture(t)
	f.addServersWithModel("a", "b")
	release := make(chan bool)
	l := &leader{place: func() fleet.BackendID {
		<-release
		return "a"
	}}
	l.start(t, f.gateway.view)
	t.Cleanup(func() { close(release) })
	v := f.gateway.view
	began := time.Now()
	c := v.pick(t.Context(), "s", longPrompt(9000), constraint{})
	require.NotNil(t, c.instance)
	require.False(t, c.choice.Placed)
	asked := l.asked.Load()
	v.mu.Lock()
	require.True(t, v.placeNotBefore.After(began.Add(placeRetryDelay)))
	v.placeNotBefore = began.Add(time.Hour)
	v.mu.Unlock()
	c = v.pick(t.Context(), "s", longPrompt(9000), constraint{})
	require.NotNil(t, c.instance)
	require.Equal(t, asked, l.asked.Load())
}
