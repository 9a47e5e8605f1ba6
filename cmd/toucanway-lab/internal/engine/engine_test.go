package engine

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/valyala/fasthttp"
	"golang.org/x/sync/errgroup"

	"toucanway/cmd/toucanway-lab/internal/backend"
	"toucanway/cmd/toucanway-lab/internal/caller"
	"toucanway/cmd/toucanway-lab/internal/history"
	"toucanway/cmd/toucanway-lab/internal/memnet"
	"toucanway/cmd/toucanway-lab/internal/store"
	"toucanway/cmd/toucanway-lab/internal/tokens"
	"toucanway/cmd/toucanway-lab/internal/wire"
	"toucanway/core/fleet"
)

const (
	engineIP = "10.0.1.1"
	entryIP  = "10.0.0.1"
)

var target = fleet.Target{Model: "m"}

// testEngine is one engine with an entry host that records what the engine posts to it.
type testEngine struct {
	*testing.T
	net     *memnet.Network
	engine  *Engine
	history *history.History
	client  *http.Client

	mu    sync.Mutex
	posts []string
}

// runWithEngine runs a test in synthetic time with one engine, whose settings edit may change.
func runWithEngine(t *testing.T, edit func(*Settings), test func(*testEngine)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		r := &testEngine{T: t, net: memnet.New(memnet.Settings{}), history: history.New()}
		instance, err := backend.Listen(r.net.Host(entryIP), entryIP+":80")
		require.NoError(t, err)
		instance.Serve(func(ctx *fasthttp.RequestCtx) {
			r.mu.Lock()
			defer r.mu.Unlock()
			r.posts = append(r.posts, fmt.Sprintf("%s %s", ctx.Path(), ctx.PostBody()))
		})
		s := Settings{
			ID: "e1", Network: r.net.Host(engineIP), Address: engineIP + ":90", Entries: []string{entryIP + ":80"},
			Memory: 40 * fleet.GiB, Seed: 1, History: r.history, AdapterLoadMin: 5 * time.Millisecond, AdapterLoadMax: 5 * time.Millisecond,
		}
		if edit != nil {
			edit(&s)
		}
		r.engine = New(s)
		require.NoError(t, r.engine.Start())
		transport := caller.NewTransport(r.net.Host(entryIP))
		r.client = &http.Client{Transport: transport}
		t.Cleanup(func() {
			transport.CloseIdleConnections()
			require.NoError(t, r.engine.Close())
			instance.Abort()
			require.NoError(t, instance.Wait())
			time.Sleep(backend.FasthttpCleanupTime)
		})
		test(r)
	})
}

func (r *testEngine) request(method, path string, header map[string]string, body any) (int, string) {
	r.Helper()
	data, err := json.Marshal(body)
	require.NoError(r, err)
	req, err := http.NewRequestWithContext(r.Context(), method, "http://"+r.engine.Address()+path, bytes.NewReader(data))
	require.NoError(r, err)
	for k, v := range header {
		req.Header.Set(k, v)
	}
	resp, err := r.client.Do(req)
	if err != nil {
		return 0, err.Error()
	}
	defer resp.Body.Close()
	out, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, string(out) + err.Error()
	}
	return resp.StatusCode, string(out)
}

func (r *testEngine) sendOrder(o fleet.Order) wire.OrderAnswer {
	r.Helper()
	_, body := r.request("POST", "/v1/orders", nil, o)
	var a wire.OrderAnswer
	require.NoError(r, json.Unmarshal([]byte(body), &a), body)
	return a
}

func (r *testEngine) loadModel(id fleet.OrderID, model fleet.ModelID) {
	r.Helper()
	a := r.sendOrder(fleet.Order{ID: id, Kind: fleet.OrderLoad, Target: fleet.Target{Model: model}})
	require.Equal(r, wire.OutcomeDone, a.Outcome, a.Message)
}

// streamCompletion streams a completion and returns the ids of its chunks, its text and whether its end mark arrived.
func (r *testEngine) streamCompletion(id, prompt string, header map[string]string) (ids map[string]bool, text string, done bool) {
	r.Helper()
	h := map[string]string{wire.HeaderRequestID: id}
	for k, v := range header {
		h[k] = v
	}
	_, body := r.request("POST", "/v1/completions", h, wire.Completion{Model: "m", Prompt: prompt, Stream: true})
	ids = map[string]bool{}
	d := wire.NewDecoder(strings.NewReader(body))
	for {
		data, err := d.Next()
		if err != nil {
			return ids, text, false
		}
		if string(data) == wire.Done {
			return ids, text, true
		}
		var c wire.Chunk
		require.NoError(r, json.Unmarshal(data, &c))
		ids[c.ID] = true
		text += c.Choices[0].Text
	}
}

// Guards against wrong memory accounting across loads, adapters and unloads, and against repeated orders that are executed twice.
func TestOrdersAndInventory(t *testing.T) {
	runWithEngine(t, nil, func(r *testEngine) {
		t := r.T
		start := time.Now()
		r.loadModel(7, "m")
		require.Equal(t, DefaultModel().LoadTimes[fleet.TierRemote], time.Since(start))
		r.loadModel(7, "m")
		require.Len(t, history.Filter[history.LoadStarted](r.history.Records()), 1)
		a := r.sendOrder(fleet.Order{ID: 8, Kind: fleet.OrderLoadAdapter, Target: fleet.Target{Model: "m", Adapter: "a"}})
		require.Equal(t, wire.OutcomeDone, a.Outcome)
		inv := r.engine.Inventory()
		require.Equal(t, fleet.ReplicaReady, inv.Models[0].State)
		require.EqualValues(t, 7, inv.Models[0].Order)
		require.Equal(t, DefaultModel().DefaultAdapterMemory, inv.Adapters[0].Memory)
		require.Equal(t, []fleet.CachedCheckpoint{{Model: "m", Tier: fleet.TierMemory}}, inv.Cached)

		require.Equal(t, wire.OutcomeDone, r.sendOrder(fleet.Order{ID: 9, Kind: fleet.OrderUnload, Target: target}).Outcome)
		inv = r.engine.Inventory()
		require.Empty(t, inv.Models)
		require.Empty(t, inv.Adapters)
		start = time.Now()
		r.loadModel(10, "m")
		require.Equal(t, DefaultModel().LoadTimes[fleet.TierMemory], time.Since(start), "reload from the memory tier")
		for _, p := range history.Filter[history.MemoryPeak](r.history.Records()) {
			require.LessOrEqual(t, p.Used, p.Total)
		}
	})
}

// Guards against overcommitted memory that is not recorded, and against fencing tokens that are accepted or refused wrongly.
func TestOvercommitAndFence(t *testing.T) {
	for _, strict := range []bool{false, true} {
		runWithEngine(t, func(s *Settings) { s.RefuseOvercommit, s.ChecksFence = strict, strict }, func(r *testEngine) {
			t := r.T
			for id := range fleet.OrderID(3) {
				a := r.sendOrder(fleet.Order{
					ID: id + 1, Kind: fleet.OrderLoad, Fence: 5, Target: fleet.Target{Model: fleet.ModelID(fmt.Sprint(id))},
				})
				require.Equal(t, strict && id == 2, a.Outcome == wire.OutcomeRefused, a.Message)
			}
			peaks := history.Filter[history.MemoryPeak](r.history.Records())
			last := peaks[len(peaks)-1]
			require.Equal(t, strict, last.Used <= last.Total)
			a := r.sendOrder(fleet.Order{ID: 9, Kind: fleet.OrderUnload, Fence: 4, Target: fleet.Target{Model: "1"}})
			require.Equal(t, strict, a.Outcome == wire.OutcomeRefused)
			status, _ := r.request("GET", "/v1/inventory", map[string]string{wire.HeaderFence: "9"}, nil)
			require.Equal(t, http.StatusOK, status)
			a = r.sendOrder(fleet.Order{ID: 10, Kind: fleet.OrderUnload, Fence: 8, Target: fleet.Target{Model: "1"}})
			require.Equal(t, strict, a.Outcome == wire.OutcomeRefused, "an inventory read raises the fencing token")
		})
	}
}

// Guards against answers that cannot be verified, answers resumed at the wrong token, and missing counts of cached tokens.
func TestCompletion(t *testing.T) {
	runWithEngine(t, nil, func(r *testEngine) {
		t := r.T
		r.loadModel(1, "m")
		prompt := strings.Repeat("word ", 40) + tokens.KeyMark("k1") + tokens.LengthMark(10)
		start := time.Now()
		ids, text, done := r.streamCompletion("r1", prompt, nil)
		require.True(t, done)
		require.Equal(t, map[string]bool{"r1": true}, ids)
		require.Equal(t, tokens.Answer(target, prompt, 10), text)
		require.Equal(t, 9*DefaultTokenInterval+41*DefaultPrefillPerToken, time.Since(start))
		_, rest, _ := r.streamCompletion("r2", prompt, map[string]string{wire.HeaderResumeFrom: "4"})
		require.Equal(t, text, tokens.Answer(target, prompt, 4)+rest)

		_, body := r.request("POST", "/v1/completions", nil, wire.Completion{Model: "m", Prompt: prompt})
		var c wire.Chunk
		require.NoError(t, json.Unmarshal([]byte(body), &c))
		require.Equal(t, text, c.Choices[0].Text)
		require.Equal(t, 2*tokens.BlockLength, c.Usage.Details.CachedTokens)
		runs := history.Filter[history.RequestRun](r.history.Records())
		require.Equal(t, history.Key("k1"), runs[0].Key)
		require.True(t, runs[1].Resumed)

		messages := []tokens.Message{{Role: "user", Content: "hello " + tokens.LengthMark(2)}}
		_, body = r.request("POST", "/v1/chat/completions", nil, wire.Completion{Model: "m", Messages: messages, Stream: true})
		require.Contains(t, body, `"delta":{"role":"assistant","content":"`+tokens.Token(target, tokens.Chat(messages), 1))

		status, body := r.request("POST", "/v1/completions", nil, wire.Completion{Model: "other", Prompt: "p"})
		require.Equal(t, http.StatusNotFound, status)
		require.Contains(t, body, "not-run")
	})
}

// Guards against a batch that ignores slots, priorities, BatchGrowth or cancellations.
func TestBatchScheduling(t *testing.T) {
	runWithEngine(t, func(s *Settings) { s.Slots, s.BatchGrowth = 2, 1 }, func(r *testEngine) {
		t := r.T
		r.loadModel(1, "m")
		var g errgroup.Group
		start := time.Now()
		for i, priority := range []string{"3", "3", "3", "0"} {
			g.Go(func() error {
				_, _, done := r.streamCompletion(fmt.Sprint("r", i), tokens.LengthMark(100), map[string]string{wire.HeaderPriority: priority})
				if done != (i != 1) {
					return fmt.Errorf("request %d ended: %v", i, done)
				}
				return nil
			})
			synctest.Wait()
		}
		require.Len(t, r.engine.Inventory().Running, 4)
		status, _ := r.request("POST", "/v1/cancel", nil, wire.Cancel{Request: "r1"})
		require.Equal(t, http.StatusOK, status)
		require.NoError(t, g.Wait())
		// The cancelled request frees its slot at once, so that two requests run together at twice the token interval and the last
		// one runs alone.
		require.Equal(t, 99*3*DefaultTokenInterval+2*DefaultPrefillPerToken, time.Since(start))
		runs := history.Filter[history.RequestRun](r.history.Records())
		require.Equal(t, []fleet.RequestID{"r0", "r1", "r3", "r2"},
			[]fleet.RequestID{runs[0].Request, runs[1].Request, runs[2].Request, runs[3].Request})
	})
}

// Guards against injected faults without effect, and against a restarted engine that keeps its incarnation or memory.
func TestInjectedFaults(t *testing.T) {
	runWithEngine(t, func(s *Settings) { s.Store = store.New(store.Settings{}) }, func(r *testEngine) {
		t := r.T
		status, _ := r.request("PUT", "/lab/faults", nil, backend.Faults{CrashOnLoad: true})
		require.Equal(t, http.StatusOK, status)
		status, body := r.request("POST", "/v1/orders", nil, fleet.Order{ID: 1, Kind: fleet.OrderLoad, Target: target})
		require.Zero(t, status, body)
		require.NoError(t, r.engine.Start())
		require.EqualValues(t, 2, r.engine.Incarnation())
		require.Empty(t, r.engine.Inventory().Models)
		r.loadModel(2, "m")

		r.engine.Faults.Set(backend.Faults{Swap: true})
		var g errgroup.Group
		g.Go(func() error {
			r.streamCompletion("first", tokens.LengthMark(50), nil)
			return nil
		})
		synctest.Wait()
		ids, text, _ := r.streamCompletion("second", "other "+tokens.LengthMark(5), nil)
		require.Equal(t, map[string]bool{"first": true}, ids)
		require.Equal(t, tokens.Answer(target, tokens.LengthMark(50), 5), text)
		require.NoError(t, g.Wait())

		r.engine.Faults.Set(backend.Faults{Slow: 10, Late: time.Second})
		start := time.Now()
		r.streamCompletion("slow", tokens.LengthMark(2), nil)
		require.Equal(t, time.Second+10*(DefaultTokenInterval+DefaultPrefillPerToken), time.Since(start))

		r.engine.Faults.Set(backend.Faults{Mute: true})
		ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
		req, err := http.NewRequestWithContext(ctx, "GET", "http://"+r.engine.Address()+"/v1/inventory", nil)
		require.NoError(t, err)
		_, err = r.client.Do(req)
		require.ErrorIs(t, err, context.DeadlineExceeded)
		cancel()

		r.engine.Faults.Set(backend.Faults{CrashOnPrompt: "poison"})
		_, _, done := r.streamCompletion("p", "poison", nil)
		require.False(t, done)
		require.Len(t, history.Filter[history.BackendStopped](r.history.Records()), 2)
	})
}

// Guards against announcements that stop, load reports that are sent without ReportLag, and cache events that
// are all sent although EventLoss is set.
func TestPostsToEntryHosts(t *testing.T) {
	runWithEngine(t, func(s *Settings) { s.EventLoss = 0.5 }, func(r *testEngine) {
		t := r.T
		r.loadModel(1, "m")
		r.streamCompletion("r1", strings.Repeat("w ", 20*tokens.BlockLength)+tokens.LengthMark(5), nil)
		time.Sleep(10 * time.Second)
		require.NoError(t, r.engine.Reclaim(t.Context(), 2*time.Second))
		r.mu.Lock()
		defer r.mu.Unlock()
		count := map[string]int{}
		var events []fleet.CacheEvent
		for _, p := range r.posts {
			path, body, _ := strings.Cut(p, " ")
			count[path]++
			switch path {
			case "/v1/backend/events":
				require.NoError(t, json.Unmarshal([]byte(body), &events))
			case "/v1/backend/report":
				var rep fleet.LoadReport
				require.NoError(t, json.Unmarshal([]byte(body), &rep))
				require.Equal(t, DefaultReportLag, rep.Age)
			}
		}
		require.Equal(t, 19, count["/v1/backend/announce"])
		require.Equal(t, 1, count["/v1/backend/leave"])
		require.NotEmpty(t, events)
		require.Less(t, len(events), 20)
		_, body := r.request("GET", "/v1/inventory", nil, nil)
		require.Contains(t, body, "refused")
	})
}

// Guards against runs that keep their slot and memory after their client has disconnected.
func TestClientDisconnects(t *testing.T) {
	runWithEngine(t, nil, func(r *testEngine) {
		t := r.T
		r.loadModel(1, "m")
		body, err := json.Marshal(wire.Completion{Model: "m", Prompt: tokens.LengthMark(1000), Stream: true})
		require.NoError(t, err)
		ctx, cancel := context.WithCancel(t.Context())
		req, err := http.NewRequestWithContext(ctx, "POST", "http://"+r.engine.Address()+"/v1/completions", bytes.NewReader(body))
		require.NoError(t, err)
		resp, err := r.client.Do(req)
		require.NoError(t, err)
		_, err = wire.NewDecoder(resp.Body).Next()
		require.NoError(t, err)
		require.Len(t, r.engine.Inventory().Running, 1)
		cancel()
		require.NoError(t, resp.Body.Close())
		time.Sleep(5 * DefaultTokenInterval)
		synctest.Wait()
		require.Empty(t, r.engine.Inventory().Running)
	})
}
