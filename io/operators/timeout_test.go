package operators_test

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"toucanway/io/operators"
)

// inSyntheticTime runs a test in a synctest bubble. The cleanup goroutines of fasthttp sleep for some seconds after their
// server or client has ended, and must end within the bubble.
func inSyntheticTime(t *testing.T, test func(t *testing.T)) {
	synctest.Test(t, func(t *testing.T) {
		const cleanupTime = time.Minute
		t.Cleanup(func() { time.Sleep(cleanupTime) })
		test(t)
	})
}

// Guards against a watch stream that ends because nothing changes for longer than the idle timeout.
func TestWatchHeartbeats(t *testing.T) {
	inSyntheticTime(t, func(t *testing.T) {
		_, _, ana, _ := withDocument(t)
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		const wantBeats = 100
		beats, began := 0, time.Now()
		err := ana.Watch(ctx, 1, func(e operators.EventAnswer) error {
			require.Equal(t, string(operators.EventHeartbeat), e.Kind)
			if beats++; beats == wantBeats {
				cancel()
			}
			return nil
		})
		require.ErrorIs(t, err, context.Canceled)
		require.Equal(t, (wantBeats-1)*operators.DefaultHeartbeat, time.Since(began))
	})
}

// silentHost accepts a request, sends an answer and then nothing more, like a host behind a network partition that drops
// packets without a reset.
func silentHost(t *testing.T, answer string) func(context.Context, string) (net.Conn, error) {
	return func(context.Context, string) (net.Conn, error) {
		client, host := net.Pipe()
		t.Cleanup(func() { _ = host.Close() })
		go func() {
			if _, err := http.ReadRequest(bufio.NewReader(host)); err == nil {
				_, _ = host.Write([]byte(answer))
			}
		}()
		return client, nil
	}
}

// Guards against a client that waits forever for a host that became unreachable without a connection reset.
func TestSilentHost(t *testing.T) {
	const beat = "{\"kind\":\"heartbeat\"}\n"
	partialAnswer := fmt.Sprintf("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n", len(beat), beat)
	for name, tc := range map[string]struct {
		answer string
		ask    func(context.Context, *operators.Client) error
	}{
		"no answer": {"", func(ctx context.Context, c *operators.Client) error {
			_, err := c.Status(ctx)
			return err
		}},
		"watch without answer":             {"", watchAll},
		"watch that stops after one event": {partialAnswer, watchAll},
	} {
		t.Run(name, func(t *testing.T) {
			inSyntheticTime(t, func(t *testing.T) {
				c := operators.NewClient(operators.ClientSettings{Addresses: []string{"127.0.0.1:2"}, Dial: silentHost(t, tc.answer)})
				t.Cleanup(c.Close)
				began := time.Now()
				require.Error(t, tc.ask(t.Context(), c))
				require.Equal(t, 4*operators.DefaultHeartbeat, time.Since(began), "in synthetic time")
			})
		})
	}
}

func watchAll(ctx context.Context, c *operators.Client) error {
	return c.Watch(ctx, 0, func(operators.EventAnswer) error { return nil })
}
