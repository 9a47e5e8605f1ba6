package deployment

import (
	"bytes"
	"context"
	"fmt"
	"net/netip"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"toucanway/cmd/toucanway-lab/internal/caller"
	"toucanway/cmd/toucanway-lab/internal/engine"
	"toucanway/cmd/toucanway-lab/internal/memnet"
	"toucanway/cmd/toucanway-lab/internal/service"
	"toucanway/core/fleet"
	"toucanway/io/network"
	"toucanway/io/operators"
)

// smallSettings describes three hosts, three engines and one service in three regions.
func smallSettings(net *memnet.Network, log *bytes.Buffer) Settings {
	s := Settings{Network: func(ip string) network.Network { return net.Host(ip) }, Seed: 1, Log: log}
	place := func(r int) fleet.Place {
		return fleet.Place{Region: fleet.Region(fmt.Sprintf("r%d", r)), DataCentre: fleet.DataCentre(fmt.Sprintf("dc%d", r))}
	}
	for i := 1; i <= 3; i++ {
		s.Hosts = append(s.Hosts, Host{ID: fleet.HostID(fmt.Sprintf("h%d", i)), IP: fmt.Sprintf("10.0.%d.1", i), Place: place(i), Voter: true})
	}
	var entries []string
	for _, h := range s.Hosts {
		entries = append(entries, CallerAddress(h))
	}
	for i := 1; i <= 3; i++ {
		ip := fmt.Sprintf("10.0.%d.10", i)
		s.Engines = append(s.Engines, engine.Settings{
			ID: fleet.BackendID(fmt.Sprintf("e%d", i)), Network: net.Host(ip), Address: ip + ":8000", Place: place(i),
			Entries: entries, ChecksFence: true, RefuseOvercommit: true,
		})
	}
	s.Services = []service.Settings{{
		ID: "s1", Network: net.Host("10.0.1.20"), Address: "10.0.1.20:8000", Place: place(1), Entries: entries,
		Services: []fleet.ServiceID{"orders"},
	}}
	return s
}

// Guards against a failure on the complete path: submission of a document, load of a model for a request, streamed answer, and
// a non-idempotent order that is sent twice and must run once.
func TestCompletePath(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		net := memnet.New(memnet.Settings{Delay: func(from, to netip.Addr) time.Duration { return time.Millisecond }})
		var log bytes.Buffer
		d, err := Start(smallSettings(net, &log))
		require.NoError(t, err)
		defer func() {
			require.NoError(t, d.Close())
			// fasthttp's idle workers and cleaners end within its longest interval, one minute.
			time.Sleep(time.Minute)
			if t.Failed() {
				t.Log(log.String())
			}
		}()
		time.Sleep(3 * time.Second)
		op := d.Operator("10.0.1.99", OperatorToken)
		ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
		defer cancel()
		answer, err := op.Submit(ctx, operators.SubmitRequest{Text: SmallDocument(3)})
		require.NoError(t, err)
		require.EqualValues(t, 1, answer.Version)
		time.Sleep(3 * time.Second)
		cl := caller.New(caller.Settings{
			Network: net.Host("10.0.9.1"), Hosts: d.CallerAddresses(), Credential: CallerToken("interactive"),
		})
		defer cl.Close()
		out := cl.Do(ctx, &caller.Request{
			Key: "k1", Target: fleet.Target{Model: "m1", Adapter: "a1"}, Prompt: "hello there", MaxTokens: 20, Stream: true,
			Deadline: 20 * time.Second,
		})
		require.True(t, out.Answered, "%+v %+v", out, out.Refusal)
		require.Empty(t, out.WrongReason)
		require.Positive(t, out.Tokens)
		for range 2 {
			out = cl.Do(ctx, &caller.Request{
				Key: "order-1", NonIdempotent: true, Service: "orders", Path: "/submit", Body: []byte(`{"key":"order-1"}`),
				Deadline: 5 * time.Second,
			})
			require.True(t, out.Answered, "%+v %+v", out, out.Refusal)
		}
		require.Equal(t, map[string]int{"order-1": 1}, d.Services["s1"].Counts())
	})
}
