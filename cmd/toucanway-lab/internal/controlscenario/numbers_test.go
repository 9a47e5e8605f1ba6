package controlscenario

import (
	"bufio"
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"github.com/valyala/fasthttp"

	"toucanway/core/registry"
	"toucanway/core/routes"
	"toucanway/io/gateway"
	"toucanway/platform"
	"toucanway/platform/standin"
)

// numbersDialect decodes the platform's configurations, and requests with short header names.
type numbersDialect struct{ accountDialect }

func (numbersDialect) Configuration(data []byte) (*routes.Configuration, error) {
	return platform.Dialect{}.Configuration(data)
}

// newWithParser starts three controllers that decode configurations with a parser, without a configuration.
func newWithParser(t *testing.T, d gateway.Dialect) *simulation {
	w := newSimulation()
	w.parser = d
	require.NoError(t, form(w, []string{"3"}, map[string]string{"seeds": "h1,h2,h3"}))
	require.NoError(t, awaitVoters(w, []string{"3"}, nil))
	return w
}

// submitUntilClear sends a configuration until it is acknowledged, or returns the error if it is refused for good.
func submitUntilClear(w *simulation, data []byte) error {
	var err error
	for range 100 {
		if err = w.hosts[0].control.Replace(context.Background(), data); err == nil || strings.Contains(err.Error(), "invalid") {
			return err
		}
		time.Sleep(50 * time.Millisecond)
	}
	return err
}

// requestOn sends one request on a connection and returns its answer.
func requestOn(c net.Conn, text string) (*fasthttp.Response, error) {
	if _, err := fmt.Fprint(c, text); err != nil {
		return nil, err
	}
	var res fasthttp.Response
	err := res.Read(bufio.NewReader(c))
	return &res, err
}

// Guards against a number of a configuration that ends a host, makes it close connections or takes the memory that it names: a configuration with
// unusual numbers is refused by name only if it is invalid, and requests are served after each one that was acknowledged.
func TestUnusualNumbersOfConfigurations(t *testing.T) {
	const (
		versions      = 120
		leaderSettles = 7 * time.Second
	)
	startServerDate()
	for seed := range uint64(4) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := newWithParser(t, numbersDialect{})
				defer func() {
					violations, err := w.close()
					assert.NoError(t, err)
					assert.Empty(t, violations)
				}()
				_, gateways, stop := startGatewaysWith(t, w, 0, 1, numbersDialect{})
				defer stop()
				s := startServer(t, w, 1, time.Millisecond)
				defer s.close()
				// A new leader can't lend credit under large quotas.
				time.Sleep(leaderSettles)
				_, port, err := net.SplitHostPort(s.address)
				require.NoError(t, err)
				r := rand.New(rand.NewPCG(seed, 0))
				conn, err := w.net.Host("10.1.7.1").Dial(t.Context(), gateways[0])
				require.NoError(t, err)
				defer func() { conn.Close() }()
				for v := uint64(1); v <= versions; v++ {
					c := standin.DrawConfiguration(r, v)
					err := submitUntilClear(w, c.Data)
					require.Equal(t, c.Valid, err == nil, "%s: %v", c.Data, err)
					if err != nil {
						require.Regexp(t, "timeout|weight|quota", err.Error())
						continue
					}
					s.announce(t, w, v+1)
					sendHeartbeat(t, w, registry.Heartbeat{
						Instance: registry.Instance{ID: "e", Incarnation: 1, Service: standin.EngineService, Address: "10.1.9.9:" + port, Slots: 8}, Seq: v, Engine: true,
					})
					reportDemandFor(w, standin.EngineService, standin.Model)
					time.Sleep(1200 * time.Millisecond)
					for _, text := range []string{
						"GET /x HTTP/1.1\r\nHost: " + standin.Host + "\r\nId: 1\r\n\r\n",
						"GET /weighted/x HTTP/1.1\r\nHost: " + standin.Host + "\r\nId: 1\r\nLong: " + strings.Repeat("x", 3000) + "\r\n\r\n",
						"POST /x HTTP/1.1\r\nHost: " + standin.Host + "\r\nId: 1\r\nKey: " + standin.KeyPrefix + "a\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\n\r\n",
					} {
						res, err := requestOn(conn, text)
						if err != nil {
							// The limit of idle time may have ended the connection.
							conn, err = w.net.Host("10.1.7.1").Dial(t.Context(), gateways[0])
							require.NoError(t, err)
							res, err = requestOn(conn, text)
						}
						require.NoError(t, err, "%s\nafter %s", text, c.Data)
						if !strings.Contains(text, "Key") {
							require.Equal(t, 200, res.StatusCode(), "%s\n%s\nafter %s", res.Body(), text, c.Data)
						} else {
							require.Contains(t, []int{200, 429}, res.StatusCode(), "%s\n%s\nafter %s", res.Body(), text, c.Data)
						}
					}
				}
			})
		})
	}
}
