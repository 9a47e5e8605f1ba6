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

// reloadInterval is the minimum time between two checks whether the files of an interface changed.
const reloadInterval = time.Second

// Log messages about changes of TLS files.
const (
	logTLSReloaded = "TLS files read again"
	logTLSFailed   = "TLS files cannot be loaded; the earlier ones stay in use"
)

// Results of a reload; these are the values of the label result.
const (
	reloadLoaded = "loaded"
	reloadFailed = "failed"
)

// ReloaderSettings are the settings of a Reloader.
type ReloaderSettings struct {
	Files Files
	// Interface names the interface in metrics and log lines.
	Interface string
	// Log gets a line when files are reloaded and when they begin to fail to load; nil disables it.
	Log *zap.Logger
	// Metrics counts reloads; nil disables that.
	Metrics *metrics.Registry
}

// Reloader holds the TLS files of one interface and reloads them when they change. It checks for changes during
// handshakes, so open connections keep the certificates that they started with. It is safe for concurrent use; a nil
// Reloader stands for plain TCP.
type Reloader struct {
	cfg     ReloaderSettings
	reloads metrics.Counters

	mu         sync.Mutex
	lastCheck  time.Time
	lastStamps [3]fileStamp
	current    tlsMaterial
	failing    bool
}

// fileStamp identifies the state of a file, to detect changes; the zero value stands for a file that cannot be read.
type fileStamp struct {
	modified time.Time
	size     int64
}

// tlsMaterial is the parsed content of the files.
type tlsMaterial struct {
	certificate *tls.Certificate
	// authority is nil if peers need no certificate.
	authority *x509.CertPool
}

// NewReloader reads the files. It returns nil if the interface uses plain TCP.
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
	r := &Reloader{cfg: cfg, lastCheck: time.Now(), lastStamps: cfg.Files.fileStamps(), reloads: reloadCounter(cfg.Metrics)}
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

// Server returns the TLS configuration of a listener, or nil for plain TCP.
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
		// The check of crypto/tls would use the authorities from when the listener was opened, and is skipped for
		// resumed sessions.
		cfg.ClientAuth = tls.RequireAnyClientCert
		cfg.VerifyConnection = r.verifyClient
	}
	return cfg
}

// verifyClient verifies the certificate of a client against the current authorities.
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

// Client returns a function that returns the TLS configuration of the next connection to the same interface of another
// host. For plain TCP the function is nil.
func (r *Reloader) Client() func() *tls.Config {
	if r == nil {
		return nil
	}
	return func() *tls.Config {
		m := r.material()
		return &tls.Config{MinVersion: tls.VersionTLS13, Certificates: []tls.Certificate{*m.certificate}, RootCAs: m.authority}
	}
}

// material returns the content of the files, and reloads them first if they changed.
func (r *Reloader) material() tlsMaterial {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	if now.Sub(r.lastCheck) < reloadInterval {
		return r.current
	}
	r.lastCheck = now
	// The stamps are taken before the files are read, so that a change in between is detected by the next check.
	stamps := r.cfg.Files.fileStamps()
	if stamps == r.lastStamps {
		return r.current
	}
	r.lastStamps = stamps
	next, err := r.cfg.Files.load()
	if err != nil {
		r.reloads.With(r.cfg.Interface, reloadFailed).Inc(1)
		if !r.failing {
			r.cfg.Log.Warn(logTLSFailed, zap.String("interface", r.cfg.Interface), zap.Error(err))
		}
		r.failing = true
		return r.current
	}
	r.reloads.With(r.cfg.Interface, reloadLoaded).Inc(1)
	r.cfg.Log.Info(logTLSReloaded, zap.String("interface", r.cfg.Interface), zap.Time("valid-until", next.certificate.Leaf.NotAfter))
	r.current, r.failing = next, false
	return r.current
}

// fileStamps returns the stamps of certificate, key and authority, in this order.
func (f Files) fileStamps() (out [3]fileStamp) {
	for i, file := range [...]File{f.Certificate, f.Key, f.Authority} {
		if info, err := os.Stat(string(file)); err == nil {
			out[i] = fileStamp{modified: info.ModTime(), size: info.Size()}
		}
	}
	return out
}
