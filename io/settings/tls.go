package settings

import (
	"crypto/tls"
	"crypto/x509"
	"os"
)

// IsSet reports whether the interface uses TLS.
func (f Files) IsSet() bool { return f.Certificate != "" }

// Server returns the TLS configuration of a listener, or nil when the interface uses plain TCP.
func (f Files) Server() (*tls.Config, error) {
	if !f.IsSet() {
		return nil, nil
	}
	cfg, err := f.pair()
	if err != nil {
		return nil, err
	}
	if f.Authority != "" {
		if cfg.ClientCAs, err = f.Authority.pool(); err != nil {
			return nil, err
		}
		cfg.ClientAuth = tls.RequireAndVerifyClientCert
	}
	return cfg, nil
}

// Client returns the TLS configuration of connections to the same interface of other hosts, or nil for plain TCP.
func (f Files) Client() (*tls.Config, error) {
	if !f.IsSet() && f.Authority == "" {
		return nil, nil
	}
	cfg := &tls.Config{MinVersion: tls.VersionTLS13}
	var err error
	if f.IsSet() {
		if cfg, err = f.pair(); err != nil {
			return nil, err
		}
	}
	if f.Authority != "" {
		if cfg.RootCAs, err = f.Authority.pool(); err != nil {
			return nil, err
		}
	}
	return cfg, nil
}

func (f Files) pair() (*tls.Config, error) {
	cert, err := tls.LoadX509KeyPair(string(f.Certificate), string(f.Key))
	if err != nil {
		return nil, ErrUnreadable.Wrap(err, "TLS certificate %s or key %s cannot be loaded; give matching PEM files", f.Certificate, f.Key)
	}
	return &tls.Config{MinVersion: tls.VersionTLS13, Certificates: []tls.Certificate{cert}}, nil
}

func (f File) pool() (*x509.CertPool, error) {
	pem, err := os.ReadFile(string(f))
	if err != nil {
		return nil, ErrUnreadable.Wrap(err, "TLS authority cannot be read; give a PEM file")
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(pem) {
		return nil, ErrUnreadable.New("TLS authority %s holds no certificate; give a PEM file", f)
	}
	return pool, nil
}
