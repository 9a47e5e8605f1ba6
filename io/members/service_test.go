package members

import (
	"context"
	"net"
	"sync"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"golang.org/x/sync/errgroup"

	"toucanway/core/fleet"
	"toucanway/core/membership"
	"toucanway/io/hosts"
)

// memoryNetwork is an in-memory network of listeners.
type memoryNetwork struct {
	mu        sync.Mutex
	listeners map[string]*listener
}

type listener struct {
	address string
	conns   chan net.Conn
	closed  chan struct{}
	once    sync.Once
}

func (l *listener) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

func (l *listener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return nil
}

func (l *listener) Addr() net.Addr { return address(l.address) }

type address string

func (address) Network() string  { return "memory" }
func (a address) String() string { return string(a) }

func (w *memoryNetwork) Listen(a string) (net.Listener, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	l := &listener{address: a, conns: make(chan net.Conn), closed: make(chan struct{})}
	w.listeners[a] = l
	return l, nil
}

func (w *memoryNetwork) Dial(ctx context.Context, a string) (net.Conn, error) {
	w.mu.Lock()
	l, ok := w.listeners[a]
	w.mu.Unlock()
	if !ok {
		return nil, &net.OpError{Op: "dial", Net: "memory", Err: syscall.ECONNREFUSED}
	}
	local, remote := net.Pipe()
	select {
	case l.conns <- remote:
		return local, nil
	case <-l.closed:
		return nil, &net.OpError{Op: "dial", Net: "memory", Err: net.ErrClosed}
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// startService runs a service with its server and returns a function that stops both.
func startService(t *testing.T, w *memoryNetwork, id fleet.HostID, incarnation fleet.Incarnation) (*Service, func()) {
	t.Helper()
	client := hosts.NewUnpooledClient(id, w, nil)
	s := New(Settings{
		Host: id, Address: string(id) + ":1", Seeds: []string{"a:1", "b:1"}, Client: client, Seed: uint64(id[0]),
		Incarnation: func() fleet.Incarnation { return incarnation },
	})
	var srv hosts.Server
	s.Register(&srv)
	l, err := w.Listen(string(id) + ":1")
	require.NoError(t, err)
	ctx, cancel := context.WithCancel(t.Context())
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error { return s.Run(ctx) })
	g.Go(func() error { return srv.Run(ctx, l) })
	return s, func() {
		cancel()
		require.NoError(t, g.Wait())
		client.Close()
	}
}

// Guards against services that do not discover each other by calls over a network, do not detect a dead or leaving host,
// mistake a restarted host for its earlier incarnation, or leak goroutines.
func TestServicesDetectChanges(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := &memoryNetwork{listeners: map[string]*listener{}}
		services, stops := map[fleet.HostID]*Service{}, map[fleet.HostID]func(){}
		for _, id := range []fleet.HostID{"a", "b", "c", "d"} {
			services[id], stops[id] = startService(t, w, id, 1)
		}
		time.Sleep(15 * time.Second)
		for id, s := range services {
			require.Len(t, s.Members(), 3, "%s knows all others", id)
			for other := range services {
				require.True(t, s.Alive(other), "%s considers %s alive", id, other)
			}
		}
		stops["d"]()
		time.Sleep(30 * time.Second)
		require.False(t, services["a"].Alive("d"))
		require.False(t, services["b"].Alive("d"))
		services["d"], stops["d"] = startService(t, w, "d", 2)
		time.Sleep(15 * time.Second)
		for _, m := range services["a"].Members() {
			require.Equal(t, membership.Alive, m.State)
			require.Equal(t, m.Host == "d", m.Version.Incarnation == 2)
		}
		services["c"].Leave(t.Context())
		stops["c"]()
		time.Sleep(5 * time.Second)
		for _, m := range services["a"].Members() {
			require.Equal(t, m.Host == "c", m.State == membership.Left)
		}
		for _, id := range []fleet.HostID{"a", "b", "d"} {
			stops[id]()
		}
	})
}
