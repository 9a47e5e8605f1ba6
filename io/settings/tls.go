package settings

import (
	"crypto/tls"
	"crypto/x509"
	"os"
)

// IsSet reports whether the interface uses TLS.
func (f Files) IsSet() bool { return f.Certificate != "" }

// Client returns the TLS configuration for connections to this interface of other hosts, or nil for plain TCP. The files
// are read once, when it is called.
func (f Files) Client() (*tls.Config, error) {
	if !f.IsSet() && f.Authority == "" {
		return nil, nil
	}
	m, err := f.load()
	if err != nil {
		return nil, err
	}
	cfg := &tls.Config{MinVersion: tls.VersionTLS13, RootCAs: m.authority}
	if m.certificate != nil {
		cfg.Certificates = []tls.Certificate{*m.certificate}
	}
	return cfg, nil
}

// load reads the files that are set.
func (f Files) load() (m tlsMaterial, err error) {
	if f.IsSet() {
		cert, err := tls.LoadX509KeyPair(string(f.Certificate), string(f.Key))
		if err != nil {
			return tlsMaterial{}, ErrUnreadable.Wrap(err, "TLS certificate %s or key %s cannot be loaded; give matching PEM files", f.Certificate, f.Key)
		}
		m.certificate = &cert
	}
	if f.Authority != "" {
		if m.authority, err = f.Authority.certPool(); err != nil {
			return tlsMaterial{}, err
		}
	}
	return m, nil
}

func (f File) certPool() (*x509.CertPool, error) {
	pem, err := os.ReadFile(string(f))
	if err != nil {
		return nil, ErrUnreadable.Wrap(err, "TLS authority cannot be read; give a PEM file")
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(pem) {
		return nil, ErrUnreadable.New("TLS authority %s contains no certificate; give a PEM file", f)
	}
	return pool, nil
}
