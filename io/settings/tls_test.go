package settings

import (
	"crypto/tls"
	"testing"

	"github.com/stretchr/testify/require"
	"github.com/valyala/fasthttp/fasthttputil"

	"toucanway/io/internal/certificates"
)

func newFiles(t *testing.T) Files {
	c := certificates.New(t)
	return Files{Certificate: File(c.Certificate), Key: File(c.Key), Authority: File(c.Certificate)}
}

// handshake runs a handshake between a client and a server over an in-memory connection.
func handshake(server, client *tls.Config) (serverErr, clientErr error) {
	client.ServerName = "127.0.0.1"
	pipe := fasthttputil.NewPipeConns()
	done := make(chan error, 1)
	go func() {
		c := tls.Client(pipe.Conn1(), client)
		done <- c.Handshake()
		_, _ = c.Read(make([]byte, 1)) // receives the alert that the server sends if it refuses the handshake
		_ = pipe.Conn1().Close()
	}()
	s := tls.Server(pipe.Conn2(), server)
	serverErr = s.Handshake()
	_ = s.Close()
	return serverErr, <-done
}

// Guards against peers that are accepted without the certificate that the settings require.
func TestTLS(t *testing.T) {
	host, other := newFiles(t), newFiles(t)
	for name, tc := range map[string]struct {
		client   Files
		accepted bool
	}{
		"certificate of the authority": {host, true},
		"no certificate":               {Files{Authority: host.Authority}, false},
		"other certificate":            {Files{Certificate: other.Certificate, Key: other.Key, Authority: host.Authority}, false},
		"other authority":              {Files{Certificate: host.Certificate, Key: host.Key, Authority: other.Authority}, false},
	} {
		t.Run(name, func(t *testing.T) {
			server, err := NewReloader(ReloaderSettings{Files: host})
			require.NoError(t, err)
			clientConfig, err := tc.client.Client()
			require.NoError(t, err)
			serverErr, clientErr := handshake(server.Server(), clientConfig)
			require.Equal(t, tc.accepted, serverErr == nil && clientErr == nil, "server: %v, client: %v", serverErr, clientErr)
		})
	}
	_, err := NewReloader(ReloaderSettings{Files: Files{Certificate: host.Key, Key: host.Key}})
	require.ErrorContains(t, err, "give matching PEM files")
	_, err = Files{Authority: host.Key}.Client()
	require.ErrorContains(t, err, "contains no certificate")
}
