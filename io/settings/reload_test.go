package settings

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"toucanway/io/internal/certificates"
	"toucanway/io/metrics"
)

// Guards against certificates that stay in use after their files changed, against files that are read in every handshake,
// and against an interface that stops working because of an invalid file.
func TestReload(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		first, second := newFiles(t), newFiles(t)
		files := newFiles(t)
		version := 0
		replace := func(from Files, authorities ...Files) {
			version++
			certificates.Replace(t, version, string(files.Certificate), string(from.Certificate))
			certificates.Replace(t, version, string(files.Key), string(from.Key))
			var all []string
			for _, a := range authorities {
				all = append(all, string(a.Certificate))
			}
			certificates.Replace(t, version, string(files.Authority), all...)
		}
		files.Authority = File(t.TempDir() + "/authority.pem")
		replace(first, first)
		core, lines := observer.New(zap.InfoLevel)
		registry := metrics.New(metrics.Options{})
		r, err := NewReloader(ReloaderSettings{Files: files, Interface: "hosts", Log: zap.New(core), Metrics: registry})
		require.NoError(t, err)
		server := r.Server()
		accepts := func(client, authority Files) bool {
			client.Authority = authority.Certificate
			cfg, err := client.Client()
			require.NoError(t, err)
			serverErr, clientErr := handshake(server, cfg)
			return serverErr == nil && clientErr == nil
		}
		require.True(t, accepts(first, first))
		require.False(t, accepts(second, first))

		replace(first, first, second)
		require.False(t, accepts(second, first), "files are checked once a second")
		time.Sleep(reloadInterval)
		require.True(t, accepts(second, first), "both authorities")
		require.True(t, accepts(first, first))

		replace(second, second)
		time.Sleep(reloadInterval)
		require.True(t, accepts(second, second))
		require.False(t, accepts(first, second), "the earlier authority is gone")
		require.Equal(t, files.loadedLeaf(t), r.Client()().Certificates[0].Leaf.Raw, "clients present the new certificate")

		for _, broken := range []string{string(second.Key), string(first.Certificate)} {
			version++
			certificates.Replace(t, version, string(files.Certificate), broken)
			time.Sleep(reloadInterval)
			require.True(t, accepts(second, second), "the earlier files stay in use")
		}
		replace(first, first)
		time.Sleep(reloadInterval)
		require.True(t, accepts(first, first))

		var messages []string
		for _, l := range lines.All() {
			messages = append(messages, l.Message)
		}
		require.Equal(t, []string{logTLSReloaded, logTLSReloaded, logTLSFailed, logTLSReloaded}, messages)
		require.Equal(t, int64(3), reloadCounter(registry).With("hosts", reloadLoaded).Count())
		require.Equal(t, int64(2), reloadCounter(registry).With("hosts", reloadFailed).Count())
	})
}

func (f Files) loadedLeaf(t *testing.T) []byte {
	m, err := f.load()
	require.NoError(t, err)
	return m.certificate.Leaf.Raw
}
