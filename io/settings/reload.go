package settings

import (
	"crypto/tls"
	"crypto/x509"
	"os"
	"sync"
	"time"

	"go.uber.org/zap"

	"toucanway/io/metrics"
)

// reloadInterval is the shortest time between two looks at the files of an interface.
const reloadInterval = time.Second

// Log messages of changes of TLS files.
const (
	logTLSReloaded = "TLS files read again"
	logTLSBroken   = "TLS files cannot be loaded; the earlier ones stay in use"
)

// Results of a reload, the values of the label result.
const (
	reloadLoaded = "loaded"
	reloadFailed = "failed"
)

// ReloaderSettings are the settings of a Reloader.
type ReloaderSettings struct {
	Files Files
	// Interface names the interface in metrics and log lines.
	Interface string
	// Log gets one line for each change of state; nil means none.
	Log *zap.Logger
	// Metrics counts reloads; nil means that nothing is counted.
	Metrics *metrics.Registry
}

// Reloader holds the TLS files of one interface and reads them again when they change. It looks at them in handshakes, so
// connections that are open keep the certificates they began with. It is safe for concurrent use; nil means plain TCP.
type Reloader struct {
	cfg     ReloaderSettings
	reloads metrics.Counters

	mu      sync.Mutex
	checked time.Time
	seen    [3]stamp
	current material
	broken  bool
}

// stamp tells whether a file changed; the zero value stands for a file that cannot be read.
type stamp struct {
	modified time.Time
	size     int64
}

// material is what the files hold.
type material struct {
	certificate *tls.Certificate
	// authority is nil where peers need no certificate.
	authority *x509.CertPool
}

// NewReloader reads the files; the Reloader is nil when the interface uses plain TCP.
func NewReloader(cfg ReloaderSettings) (*Reloader, error) {
	if !cfg.Files.IsSet() {
		return nil, nil
	}
	if cfg.Log == nil {
		cfg.Log = zap.NewNop()
	}
	if cfg.Metrics == nil {
		cfg.Metrics = metrics.New(metrics.Options{})
	}
	r := &Reloader{cfg: cfg, checked: time.Now(), seen: cfg.Files.stamps(), reloads: reloadCounter(cfg.Metrics)}
	var err error
	r.current, err = cfg.Files.load()
	if err != nil {
		return nil, err
	}
	return r, nil
}

func reloadCounter(r *metrics.Registry) metrics.Counters {
	return r.Counter("tls-reloads", "Changes of TLS files that were loaded, or that failed and left the earlier files in use.", "interface", "result")
}

// Server returns the configuration of a listener, or nil for plain TCP.
func (r *Reloader) Server() *tls.Config {
	if r == nil {
		return nil
	}
	cfg := &tls.Config{
		MinVersion: tls.VersionTLS13,
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) {
			return r.material().certificate, nil
		},
	}
	if r.cfg.Files.Authority != "" {
		// The standard check uses the authorities of the moment the listener opened, and none at a resumed session.
		cfg.ClientAuth = tls.RequireAnyClientCert
		cfg.VerifyConnection = r.verifyClient
	}
	return cfg
}

// verifyClient checks the certificate of a client against the current authorities.
func (r *Reloader) verifyClient(s tls.ConnectionState) error {
	opts := x509.VerifyOptions{
		Roots: r.material().authority, Intermediates: x509.NewCertPool(), KeyUsages: []x509.ExtKeyUsage{x509.ExtKeyUsageClientAuth},
	}
	for _, c := range s.PeerCertificates[1:] {
		opts.Intermediates.AddCert(c)
	}
	if _, err := s.PeerCertificates[0].Verify(opts); err != nil {
		return &tls.CertificateVerificationError{UnverifiedCertificates: s.PeerCertificates, Err: err}
	}
	return nil
}

// Client returns a function that gives the configuration of the next connection to the same interface of another host, or
// nil for plain TCP.
func (r *Reloader) Client() func() *tls.Config {
	if r == nil {
		return nil
	}
	return func() *tls.Config {
		m := r.material()
		return &tls.Config{MinVersion: tls.VersionTLS13, Certificates: []tls.Certificate{*m.certificate}, RootCAs: m.authority}
	}
}

// material returns what the files hold, after reading them again if they changed.
func (r *Reloader) material() material {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	if now.Sub(r.checked) < reloadInterval {
		return r.current
	}
	r.checked = now
	// The stamps are taken before the files are read, so that a change in between is seen at the next look.
	seen := r.cfg.Files.stamps()
	if seen == r.seen {
		return r.current
	}
	r.seen = seen
	next, err := r.cfg.Files.load()
	if err != nil {
		r.reloads.With(r.cfg.Interface, reloadFailed).Inc(1)
		if !r.broken {
			r.cfg.Log.Warn(logTLSBroken, zap.String("interface", r.cfg.Interface), zap.Error(err))
		}
		r.broken = true
		return r.current
	}
	r.reloads.With(r.cfg.Interface, reloadLoaded).Inc(1)
	r.cfg.Log.Info(logTLSReloaded, zap.String("interface", r.cfg.Interface), zap.Time("valid-until", next.certificate.Leaf.NotAfter))
	r.current, r.broken = next, false
	return r.current
}

// stamps returns the states of certificate, key and authority.
func (f Files) stamps() (out [3]stamp) {
	for i, file := range [...]File{f.Certificate, f.Key, f.Authority} {
		if info, err := os.Stat(string(file)); err == nil {
			out[i] = stamp{modified: info.ModTime(), size: info.Size()}
		}
	}
	return out
}
