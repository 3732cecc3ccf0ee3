package tlsconf

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"log/slog"
	"os"
	"sync"
	"time"
)

// DefaultInterval is the default of Options.Interval.
const DefaultInterval = 10 * time.Second

// Options configures a Reloader. Fields with zero values use their defaults.
type Options struct {
	// Interval is how often Run checks the files for changes.
	Interval time.Duration
	// Log is the logger for reloads and failures. If it is nil, they are not
	// logged.
	Log *slog.Logger
	// Now is the clock for checking the validity of certificates; the default is
	// time.Now.
	Now func() time.Time
}

// Reloader holds the current keys and certificates and reloads them from their
// files. It is safe for concurrent use.
type Reloader struct {
	settings Settings
	interval time.Duration
	log      *slog.Logger
	now      func() time.Time

	mu      sync.Mutex
	current *credentials
	// loaded is the state of the files at the last successful load, failed that at
	// the last failure since.
	loaded fileStates
	failed fileStates
	status Status
}

// Status is the state of a Reloader.
type Status struct {
	// NotAfter is the expiry time of the current certificate.
	NotAfter time.Time
	// Loads is the number of successful loads.
	Loads int
	// Err is the error of the last load, a *FileError, or nil if it succeeded.
	Err error
}

// New returns a Reloader with the files loaded. The error is a *FileError.
func New(s Settings, o Options) (*Reloader, error) {
	r := &Reloader{settings: s, interval: o.Interval, log: o.Log, now: o.Now}
	if r.interval <= 0 {
		r.interval = DefaultInterval
	}
	if r.log == nil {
		r.log = slog.New(slog.DiscardHandler)
	}
	if r.now == nil {
		r.now = time.Now
	}
	return r, r.Reload()
}

// fileStates is the state of the three files, compared to detect changes.
type fileStates [3]fileState

// fileState is the modification time and size of a file.
type fileState struct {
	modified time.Time
	size     int64
}

// stat returns the current state of the files. A file for which os.Stat fails has the
// zero fileState; the error is returned when the file is read.
func (s Settings) stat() fileStates {
	var f fileStates
	for i, name := range []string{s.Cert, s.Key, s.CA} {
		if info, err := os.Stat(name); err == nil {
			f[i] = fileState{modified: info.ModTime(), size: info.Size()}
		}
	}
	return f
}

// Run calls Check at each interval until ctx is cancelled.
func (r *Reloader) Run(ctx context.Context) {
	t := time.NewTicker(r.interval)
	defer t.Stop()
	for {
		select {
		case <-t.C:
			r.Check()
		case <-ctx.Done():
			return
		}
	}
}

// Check reloads the files if they changed since the last successful load. After a
// failure it tries again each time, even if the files didn't change since, as a
// certificate and its key may be written one after the other. Status returns the
// result.
func (r *Reloader) Check() {
	if r.changed() {
		// Reload logs the error and stores it in the status.
		_ = r.Reload()
	}
}

// changed reports whether the files changed since the last successful load.
func (r *Reloader) changed() bool {
	now := r.settings.stat()
	r.mu.Lock()
	defer r.mu.Unlock()
	return now != r.loaded
}

// Reload reloads the files unconditionally, as on SIGHUP. If they are invalid, the
// current certificates stay in use and the error, a *FileError, names the invalid
// file.
func (r *Reloader) Reload() error {
	// The state is taken before reading, so that changed detects a change that is
	// made while the files are read.
	state := r.settings.stat()
	m, err := load(r.settings, r.now())
	r.mu.Lock()
	defer r.mu.Unlock()
	if err != nil {
		r.recordFailure(state, err)
		return err
	}
	r.current, r.loaded, r.failed = m, state, fileStates{}
	r.status = Status{NotAfter: m.cert.Leaf.NotAfter, Loads: r.status.Loads + 1}
	r.log.Info("tls files in force", "cert", r.settings.Cert, "not_after", m.cert.Leaf.NotAfter)
	return nil
}

// recordFailure records a failed load. It logs the error once for the same state of the
// files. The caller must hold mu.
func (r *Reloader) recordFailure(state fileStates, err error) {
	if r.status.Err == nil || state != r.failed {
		r.log.Error("tls files not in force, the ones before stay", "error", err)
	}
	r.failed = state
	r.status.Err = err
}

// Status returns the current status.
func (r *Reloader) Status() Status {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.status
}

// currentCredentials returns the current keys and certificates.
func (r *Reloader) currentCredentials() *credentials {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.current
}

// ServerConfig implements peer.TLS. It returns the configuration for one connection
// accepted from a peer, which must present a certificate signed by an authority in
// the CA file. Without a CA file, all peers are rejected.
func (r *Reloader) ServerConfig() *tls.Config {
	m := r.currentCredentials()
	return &tls.Config{
		MinVersion:             tls.VersionTLS13,
		Certificates:           []tls.Certificate{m.cert},
		ClientAuth:             tls.RequireAnyClientCert,
		VerifyConnection:       r.peerVerifier(m),
		SessionTicketsDisabled: true,
	}
}

// ClientConfig implements peer.TLS. It returns the configuration for one connection
// dialled to a peer. It verifies the certificate chain; package peer verifies the
// name, which is known only from the peer's hello.
func (r *Reloader) ClientConfig() *tls.Config {
	m := r.currentCredentials()
	return &tls.Config{
		MinVersion:   tls.VersionTLS13,
		Certificates: []tls.Certificate{m.cert},
		// The standard verification requires a server name; VerifyConnection
		// verifies the chain without one.
		InsecureSkipVerify: true,
		VerifyConnection:   r.peerVerifier(m),
	}
}

// peerVerifier returns a function that verifies the certificate chain of a peer. Its
// error is a *ChainError.
func (r *Reloader) peerVerifier(m *credentials) func(tls.ConnectionState) error {
	return func(s tls.ConnectionState) error {
		authorities := m.authorities
		if authorities == nil {
			authorities = x509.NewCertPool()
		}
		if err := verify(s.PeerCertificates, authorities, r.now()); err != nil {
			return &ChainError{Err: err}
		}
		return nil
	}
}

// CallerConfig returns the configuration for callers' HTTPS. A listener may use it
// permanently: each connection gets the certificate that is current at that time.
func (r *Reloader) CallerConfig() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS12,
		NextProtos: []string{"h2", "http/1.1"},
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) {
			return &r.currentCredentials().cert, nil
		},
	}
}
