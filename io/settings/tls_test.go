package settings

import (
	"crypto/tls"
	"testing"

	"github.com/stretchr/testify/require"
	"github.com/valyala/fasthttp/fasthttputil"

	"toucanway/io/internal/certificates"
)

func filesOf(t *testing.T) Files {
	c := certificates.New(t)
	return Files{Certificate: File(c.Certificate), Key: File(c.Key), Authority: File(c.Certificate)}
}

// Guards against peers that are accepted without the certificate that the settings ask for.
func TestTLS(t *testing.T) {
	host, other := filesOf(t), filesOf(t)
	for name, tc := range map[string]struct {
		client Files
		ok     bool
	}{
		"certificate of the authority": {host, true},
		"no certificate":               {Files{Authority: host.Authority}, false},
		"other certificate":            {Files{Certificate: other.Certificate, Key: other.Key, Authority: host.Authority}, false},
		"other authority":              {Files{Certificate: host.Certificate, Key: host.Key, Authority: other.Authority}, false},
	} {
		t.Run(name, func(t *testing.T) {
			serverConfig, err := host.Server()
			require.NoError(t, err)
			clientConfig, err := tc.client.Client()
			require.NoError(t, err)
			clientConfig.ServerName = "127.0.0.1"
			pipe := fasthttputil.NewPipeConns()
			a, b := pipe.Conn1(), pipe.Conn2()
			done := make(chan error, 1)
			go func() {
				client := tls.Client(a, clientConfig)
				done <- client.Handshake()
				_, _ = client.Read(make([]byte, 1)) // takes the alert that a refusing server sends
				_ = a.Close()
			}()
			server := tls.Server(b, serverConfig)
			err = server.Handshake()
			_ = server.Close()
			clientErr := <-done
			require.Equal(t, tc.ok, err == nil && clientErr == nil, "server: %v, client: %v", err, clientErr)
		})
	}
	_, err := Files{Certificate: host.Key, Key: host.Key}.Server()
	require.ErrorContains(t, err, "give matching PEM files")
	_, err = Files{Authority: host.Key}.Client()
	require.ErrorContains(t, err, "holds no certificate")
}
