package service

import (
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/valyala/fasthttp"

	"toucanway/cmd/toucanway-lab/internal/backend"
	"toucanway/cmd/toucanway-lab/internal/caller"
	"toucanway/cmd/toucanway-lab/internal/history"
	"toucanway/cmd/toucanway-lab/internal/memnet"
	"toucanway/core/fleet"
)

// Guards against runs that are not counted when their answer is lost, and against services that do not announce themselves.
// The service crashes on the first run of k2, and answers the second run with the key of another request.
func TestService(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		net := memnet.New(memnet.Settings{})
		var announced atomic.Int32
		entry, err := backend.Listen(net.Host("10.0.0.1"), "10.0.0.1:80")
		require.NoError(t, err)
		entry.Serve(func(ctx *fasthttp.RequestCtx) {
			if strings.Contains(string(ctx.PostBody()), `"services":["orders"]`) {
				announced.Add(1)
			}
		})
		h := history.New()
		s := New(Settings{
			ID: "s1", Network: net.Host("10.0.1.1"), Address: "10.0.1.1:90", Entries: []string{"10.0.0.1:80"},
			Services: []fleet.ServiceID{"orders"}, History: h,
		})
		require.NoError(t, s.Start())
		transport := caller.NewTransport(net.Host("10.0.0.2"))
		call := func(body string) (string, error) {
			resp, err := (&http.Client{Transport: transport}).Post("http://"+s.Address()+"/orders", "application/json", strings.NewReader(body))
			if err != nil {
				return "", err
			}
			defer resp.Body.Close()
			out, err := io.ReadAll(resp.Body)
			return string(out), err
		}
		start := time.Now()
		out, err := call(`{"key":"k1"}`)
		require.NoError(t, err)
		require.JSONEq(t, `{"key":"k1","count":1,"path":"/orders"}`, out)
		require.Equal(t, DefaultDelay, time.Since(start))

		s.Faults.Set(backend.Faults{CrashOnPrompt: "k2"})
		_, err = call(`{"key":"k2"}`)
		require.Error(t, err)
		require.NoError(t, s.Start())
		s.Faults.Set(backend.Faults{Swap: true})
		out, err = call(`{"key":"k2"}`)
		require.NoError(t, err)
		require.NotContains(t, out, `"k2"`)
		require.Equal(t, map[string]int{"k1": 1, "k2": 2}, s.Counts())
		require.Len(t, history.Filter[history.RequestRun](h.Records()), 3)
		time.Sleep(time.Second)
		synctest.Wait()
		require.EqualValues(t, 3, announced.Load())
		require.NoError(t, s.Leave())

		transport.CloseIdleConnections()
		require.NoError(t, s.Close())
		entry.Abort()
		require.NoError(t, entry.Wait())
		time.Sleep(backend.FasthttpCleanupTime)
	})
}
