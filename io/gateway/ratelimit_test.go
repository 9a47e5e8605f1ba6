package gateway

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"toucanway/core/balance"
	"toucanway/core/fleet"
)

// limitServer makes a server name a rate limit in an answer.
func (f *fixture) limitServer(name fleet.BackendID, perSecond float64) {
	v := f.gateway.view
	v.mu.Lock()
	in := v.instances[name]
	v.mu.Unlock()
	v.observeLimit(in, AnswerInfo{Limit: fleet.NewRateLimit(perSecond)}, time.Now())
}

// Guards against a slow stream that is ended for the sake of a server that may take no request.
func TestNoSwitchToServerWithRateLimit(t *testing.T) {
	f := newFixture(t)
	f.addServer("a", nil)
	f.addServer("b", nil)
	v, r := f.gateway.view, &balance.Request{Plain: true}
	others := constraint{excluded: map[fleet.BackendID]bool{"a": true}, unlimited: true}
	require.True(t, v.otherServerExists("s", r, others))
	f.limitServer("b", 2)
	require.False(t, v.otherServerExists("s", r, others))
	others.unlimited = false
	require.True(t, v.otherServerExists("s", r, others))
}

// Guards against callers that are told to stay away until this host's next turn, minutes later, although the leader is only searched for.
func TestWaitForGrantWithoutLeader(t *testing.T) {
	f := newFixture(t)
	f.addServer("a", nil)
	f.limitServer("a", 0.1)
	v := f.gateway.view
	v.entryHosts = 300
	now := time.Now()
	v.turns.Take(now, fleet.BackendIncarnation{Backend: "a", Incarnation: 1}, fleet.NewRateLimit(0.1), 300, 0.9)
	c := v.pick(t.Context(), "s", &balance.Request{Plain: true, LatestStart: now.Add(time.Second)}, constraint{})
	require.Nil(t, c.instance)
	require.WithinDuration(t, now.Add(placeRetryDelay), c.limitedUntil, placeRetryDelay)
}

// Guards against a request that is written to a server whose limit this host has heard of since the server was chosen.
func TestLimitHeardAfterChoice(t *testing.T) {
	f := newFixture(t)
	f.addServer("a", nil)
	v := f.gateway.view
	c := v.pick(t.Context(), "s", &balance.Request{Plain: true}, constraint{})
	require.True(t, v.maySend(&c))
	f.limitServer("a", 2)
	require.False(t, v.maySend(&c))
	c.isGranted = true
	require.True(t, v.maySend(&c))
}

// Guards against a limit that a late answer of an earlier request or an answer of another process ends.
func TestEndOfRateLimit(t *testing.T) {
	f := newFixture(t)
	f.addServer("a", nil)
	f.limitServer("a", 2)
	in := f.gateway.view.instances["a"]
	x, sent := &exchange{proxy: f.gateway.proxy, info: RequestInfo{ID: "1"}}, time.Now().Add(time.Millisecond)
	reports := func() int {
		v := f.gateway.view
		v.mu.Lock()
		defer v.mu.Unlock()
		n := 0
		for _, l := range v.unreportedLimits(time.Now()) {
			if !l.Limit.Named {
				n++
			}
		}
		return n
	}
	for _, a := range []AnswerInfo{{ID: "1"}, {ID: "2", Signed: true}, {Signed: true}} {
		x.observeLimit(in, a, sent)
		require.Zero(t, reports(), "%+v", a)
	}
	x.observeLimit(in, AnswerInfo{ID: "1", Signed: true}, sent)
	require.Equal(t, 1, reports())
}
