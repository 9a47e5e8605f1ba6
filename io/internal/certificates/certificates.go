// Package certificates creates TLS certificates for tests.
package certificates

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"encoding/pem"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Files are the paths of a certificate and its key in PEM form.
type Files struct{ Certificate, Key string }

// Replace overwrites a file with the concatenated contents of other files. The modification time is set from the version,
// so that it differs between versions even on file systems with coarse time stamps.
func Replace(t *testing.T, version int, file string, from ...string) {
	t.Helper()
	var data []byte
	for _, f := range from {
		content, err := os.ReadFile(f)
		require.NoError(t, err)
		data = append(data, content...)
	}
	require.NoError(t, os.WriteFile(file, data, 0o600))
	modified := time.Unix(int64(version), 0)
	require.NoError(t, os.Chtimes(file, modified, modified))
}

// New writes a self-signed certificate for 127.0.0.1 that is its own authority and is valid for servers and clients.
func New(t *testing.T) Files {
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
	write := func(name, kind string, data []byte) string {
		path := filepath.Join(dir, name)
		require.NoError(t, os.WriteFile(path, pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: data}), 0o600))
		return path
	}
	return Files{Certificate: write("certificate.pem", "CERTIFICATE", der), Key: write("key.pem", "PRIVATE KEY", keyDER)}
}
