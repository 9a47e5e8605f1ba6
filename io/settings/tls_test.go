package settings

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"encoding/pem"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/valyala/fasthttp/fasthttputil"
)

// certificate writes a self-signed certificate for 127.0.0.1, which is its own authority.
func certificate(t *testing.T, name string) Files {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	require.NoError(t, err)
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), NotBefore: time.Unix(0, 0), NotAfter: time.Unix(1<<33, 0), IsCA: true,
		BasicConstraintsValid: true, IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)},
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	require.NoError(t, err)
	keyDER, err := x509.MarshalPKCS8PrivateKey(key)
	require.NoError(t, err)
	dir := t.TempDir()
	write := func(kind, suffix string, data []byte) File {
		path := filepath.Join(dir, name+suffix)
		require.NoError(t, os.WriteFile(path, pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: data}), 0o600))
		return File(path)
	}
	cert := write("CERTIFICATE", ".pem", der)
	return Files{Certificate: cert, Key: write("PRIVATE KEY", ".key", keyDER), Authority: cert}
}

// Guards against peers that are accepted without the certificate that the settings ask for.
func TestTLS(t *testing.T) {
	host, other := certificate(t, "host"), certificate(t, "other")
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
