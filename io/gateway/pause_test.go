package gateway

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"toucanway/core/balance"
	"toucanway/core/fleet"
	"toucanway/core/holdoff"
	"toucanway/core/registry"
)

// pauseNotice returns an answer that asks for a pause.
func pauseNotice(d time.Duration) AnswerInfo {
	return AnswerInfo{NotRun: true, Notice: holdoff.Notice{Pause: d}}
}

// Guards against a pause that counts only for the model that was turned away, and against a server that is open again only for it.
func TestPauseCountsForAllTargets(t *testing.T) {
	f := newFixture(t)
	f.addServersWithModel("a", "b")
	v := f.gateway.view
	v.mu.Lock()
	v.instances["a"].Models = append(v.instances["a"].Models, registry.Model{Name: "n"})
	v.mu.Unlock()
	earliest := time.Now().Add(time.Minute)
	v.observeAnswer(v.instances["a"], pauseNotice(time.Minute))
	c := v.pick(t.Context(), "s", longPrompt(100), constraint{})
	require.Equal(t, fleet.BackendID("b"), c.instance.ID)
	other := &balance.Request{Target: fleet.Target{Model: "n"}}
	c = v.pick(t.Context(), "s", other, constraint{})
	require.Nil(t, c.instance)
	require.True(t, c.pausedUntil.After(earliest))
	require.Equal(t, c.pausedUntil, c.retryAt)
	// A rejection that ends later than the pause still counts.
	v.recordRejection(v.instances["a"], other.Target, time.Hour)
	require.True(t, v.pick(t.Context(), "s", other, constraint{}).retryAt.After(c.pausedUntil.Add(time.Minute)))
	v.mu.Lock()
	v.instances["a"].Incarnation = 2
	v.mu.Unlock()
	c = v.pick(t.Context(), "s", other, constraint{})
	require.Equal(t, fleet.BackendID("a"), c.instance.ID, "the restarted server has asked for nothing")
}
