package memnet

import (
	"context"
	"errors"
	"io"
	"net"
	"net/netip"
	"os"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"golang.org/x/sync/errgroup"

	"toucanway/io/network"
)

const (
	hostA = "10.0.0.1"
	hostB = "10.0.0.2"
	portB = hostB + ":80"
	delay = 10 * time.Millisecond
)

func dialPair(t *testing.T) (*Network, net.Conn, net.Conn) {
	t.Helper()
	n := New(Settings{Delay: func(_, _ netip.Addr) time.Duration { return delay }, Window: 1024})
	l, err := n.Host(hostB).Listen(portB)
	require.NoError(t, err)
	a, err := n.Host(hostA).Dial(context.Background(), portB)
	require.NoError(t, err)
	b, err := l.Accept()
	require.NoError(t, err)
	require.NoError(t, l.Close())
	return n, a, b
}

func readString(t *testing.T, c net.Conn, size int) string {
	t.Helper()
	p := make([]byte, size)
	_, err := io.ReadFull(c, p)
	require.NoError(t, err)
	return string(p)
}

// Guards against delays that are not applied, are applied twice or reorder a stream.
func TestDelayAndOrder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		start := time.Now()
		_, a, b := dialPair(t)
		require.Equal(t, 2*delay, time.Since(start), "a dial takes one round trip")
		for range 50 {
			_, err := a.Write([]byte("ab"))
			require.NoError(t, err)
		}
		require.NoError(t, a.Close())
		require.Equal(t, "abababab", readString(t, b, 8))
		require.Equal(t, 3*delay, time.Since(start))
		rest, err := io.ReadAll(b)
		require.NoError(t, err)
		require.Len(t, rest, 92)
	})
}

// Guards against cuts that report an error, do not end, or corrupt the stream after the link is restored.
func TestSilentCut(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n, a, b := dialPair(t)
		_, err := a.Write([]byte("under way"))
		require.NoError(t, err)
		n.CutOneWay(hostA, hostB)
		_, err = a.Write([]byte(" and held"))
		require.NoError(t, err)
		require.NoError(t, b.SetReadDeadline(time.Now().Add(time.Minute)))
		_, err = b.Read(make([]byte, 1))
		require.ErrorIs(t, err, os.ErrDeadlineExceeded)
		_, err = b.Write([]byte("back"))
		require.NoError(t, err)
		require.Equal(t, "back", readString(t, a, 4), "the other direction stays open")

		begin := time.Now()
		_, err = n.Host(hostA).Dial(context.Background(), portB)
		require.ErrorIs(t, err, os.ErrDeadlineExceeded)
		require.Equal(t, network.DialTimeout, time.Since(begin))
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		_, err = n.Host(hostB).Dial(ctx, hostA+":1")
		require.ErrorIs(t, err, context.DeadlineExceeded)

		n.Restore(hostA, hostB)
		require.NoError(t, b.SetReadDeadline(time.Time{}))
		require.Equal(t, "under way and held", readString(t, b, 18))
	})
}

// Guards against writers that never block on a slow reader or never observe their deadline.
func TestWindowAndWriteDeadline(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		_, a, b := dialPair(t)
		require.NoError(t, a.SetWriteDeadline(time.Now().Add(time.Second)))
		n, err := a.Write(make([]byte, 2000))
		require.ErrorIs(t, err, os.ErrDeadlineExceeded)
		require.Equal(t, 1024, n)
		var g errgroup.Group
		require.NoError(t, a.SetWriteDeadline(time.Time{}))
		g.Go(func() error {
			_, err := a.Write(make([]byte, 3000))
			return errors.Join(err, a.Close())
		})
		got, err := io.ReadAll(b)
		require.NoError(t, err)
		require.Len(t, got, 4024)
		require.NoError(t, g.Wait())
	})
}

// Guards against peers of an ended process that wait forever, and against hosts that cannot be started again.
func TestCloseHost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n, a, b := dialPair(t)
		n.Host(hostB).Close()
		_, err := a.Read(make([]byte, 1))
		require.ErrorIs(t, err, syscall.ECONNRESET)
		_, err = b.Write([]byte("x"))
		require.ErrorIs(t, err, net.ErrClosed)
		_, err = n.Host(hostA).Dial(context.Background(), portB)
		require.ErrorIs(t, err, syscall.ECONNREFUSED)
		l, err := n.Host(hostB).Listen(portB)
		require.NoError(t, err)
		_, err = n.Host(hostA).Dial(context.Background(), portB)
		require.NoError(t, err)
		require.NoError(t, l.Close())
		require.Equal(t, 0, n.Host(hostB).Connections())
	})
}

// Guards against writers that get no error after the peer has closed the connection.
func TestWriteToClosedPeer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		_, a, b := dialPair(t)
		require.NoError(t, b.Close())
		_, err := a.Read(make([]byte, 1))
		require.ErrorIs(t, err, io.EOF)
		_, err = a.Write([]byte("x"))
		require.NoError(t, err)
		time.Sleep(2 * delay)
		synctest.Wait()
		_, err = a.Write([]byte("x"))
		require.ErrorIs(t, err, syscall.ECONNRESET)
	})
}

// Guards against bandwidth that is not shared by connections, and against wrong byte counts.
func TestBandwidthAndTraffic(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n, a, b := dialPair(t)
		n.Change(hostA, hostB, func(c *Conditions) { c.Bandwidth = 1000 })
		start := time.Now()
		_, err := a.Write(make([]byte, 500))
		require.NoError(t, err)
		readString(t, b, 500)
		require.Equal(t, 500*time.Millisecond+delay, time.Since(start))
		require.Equal(t, []Traffic{{
			From: netip.MustParseAddr(hostA), To: netip.MustParseAddr(hostB), Bytes: 500, Dials: 1,
		}}, n.Traffic())
		require.EqualValues(t, 500, n.CrossBytes(netip.Addr.String))
		require.Zero(t, n.CrossBytes(func(netip.Addr) string { return "one" }))
	})
}

// Guards against listeners on addresses of other hosts, malformed addresses or ports in use.
func TestListenErrors(t *testing.T) {
	h := New(Settings{}).Host(hostA)
	_, err := h.Listen(portB)
	require.ErrorIs(t, err, syscall.EADDRNOTAVAIL)
	_, err = h.Listen("host:80")
	require.Error(t, err)
	l, err := h.Listen(hostA + ":0")
	require.NoError(t, err)
	_, err = h.Listen(l.Addr().String())
	require.ErrorIs(t, err, syscall.EADDRINUSE)
}
