package hosts_test

import (
	"context"
	"net"
	"path/filepath"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/valyala/fasthttp/fasthttputil"
	"golang.org/x/sync/errgroup"

	"toucanway/core/fleet"
	"toucanway/io/hosts"
	"toucanway/io/internal/certificates"
	"toucanway/io/settings"
)

const procedure = "/test.v1/Echo"

type message struct{ Text string }

// memoryNetwork is a network of listeners in memory.
type memoryNetwork map[string]*fasthttputil.InmemoryListener

func (m memoryNetwork) Listen(address string) (net.Listener, error) {
	m[address] = fasthttputil.NewInmemoryListener()
	return m[address], nil
}

func (m memoryNetwork) Dial(_ context.Context, address string) (net.Conn, error) {
	return m[address].Dial()
}

// host is one side of mutual TLS, with its own certificate files.
type host struct {
	t       *testing.T
	files   settings.Files
	client  *hosts.Client
	version int
}

func newHost(t *testing.T, g *errgroup.Group, ctx context.Context, n memoryNetwork, id fleet.HostID, address string, pair certificates.Files) *host {
	dir := t.TempDir()
	file := func(name string) settings.File { return settings.File(filepath.Join(dir, name)) }
	h := &host{t: t, files: settings.Files{Certificate: file("c.pem"), Key: file("k.pem"), Authority: file("a.pem")}}
	h.replace(pair, pair)
	r, err := settings.NewReloader(settings.ReloaderSettings{Files: h.files, Interface: "hosts"})
	require.NoError(t, err)
	h.client = hosts.NewClient(id, n, r.Client())
	server := &hosts.Server{TLS: r.Server()}
	hosts.Handle(server, procedure, func(_ context.Context, from fleet.HostID, m *message) (*message, error) {
		return &message{Text: string(from) + " " + m.Text}, nil
	})
	l, err := n.Listen(address)
	require.NoError(t, err)
	g.Go(func() error { return server.Run(ctx, l) })
	return h
}

func (h *host) replace(pair certificates.Files, authorities ...certificates.Files) {
	h.version++
	certificates.Replace(h.t, h.version, string(h.files.Certificate), pair.Certificate)
	certificates.Replace(h.t, h.version, string(h.files.Key), pair.Key)
	var all []string
	for _, a := range authorities {
		all = append(all, a.Certificate)
	}
	certificates.Replace(h.t, h.version, string(h.files.Authority), all...)
}

// call uses a new connection, since open connections keep the certificates that they started with.
func (h *host) call(address string) error {
	h.client.Close()
	ctx, cancel := context.WithTimeout(h.t.Context(), time.Second)
	defer cancel()
	res, err := hosts.Call[message, message](ctx, h.client, address, procedure, &message{Text: "hello"})
	if err == nil {
		require.Contains(h.t, res.Text, " hello")
	}
	return err
}

// Guards against hosts that cannot connect to each other while certificates and authorities are replaced on one host after
// the other, and against a host that still accepts the earlier certificate afterwards.
func TestHostsConnectDuringRotation(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		earlier, later := certificates.New(t), certificates.New(t)
		const addressA, addressB = "127.0.0.1:7401", "127.0.0.1:7402"
		ctx, cancel := context.WithCancel(t.Context())
		g, ctx := errgroup.WithContext(ctx)
		n := memoryNetwork{}
		a := newHost(t, g, ctx, n, "a", addressA, earlier)
		b := newHost(t, g, ctx, n, "b", addressB, earlier)
		for _, step := range []func(){
			func() {},
			func() { a.replace(earlier, earlier, later) },
			func() { b.replace(earlier, earlier, later) },
			func() { a.replace(later, earlier, later) },
			func() { b.replace(later, earlier, later) },
			func() { a.replace(later, later) },
			func() { b.replace(later, later) },
		} {
			step()
			time.Sleep(time.Second)
			require.NoError(t, a.call(addressB))
			require.NoError(t, b.call(addressA))
		}
		a.replace(earlier, later)
		time.Sleep(time.Second)
		require.Error(t, a.call(addressB), "the earlier certificate is no longer accepted")
		a.client.Close()
		b.client.Close()
		cancel()
		require.NoError(t, g.Wait())
	})
}
