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

// DefaultInterval is how often a Reloader looks whether the files changed.
const DefaultInterval = 10 * time.Second

// Options adjust a Reloader. Zero fields take their defaults.
type Options struct {
	// Interval is how often to look whether the files changed.
	Interval time.Duration
	// Log receives reloads and failures. Nil discards them.
	Log *slog.Logger
	// Now is the clock that certificates are checked by; nil is time.Now.
	Now func() time.Time
}

// Reloader holds the keys and certificates in force. It is safe for concurrent
// use.
type Reloader struct {
	settings Settings
	interval time.Duration
	log      *slog.Logger
	now      func() time.Time

	mu      sync.Mutex
	current *material
	// seen describes the files that are in force, failed those of the last
	// failure.
	seen   fingerprint
	failed fingerprint
	status Status
}

// Status says what is in force.
type Status struct {
	// NotAfter is when the certificate in force expires.
	NotAfter time.Time
	// Loads counts the times that files came into force.
	Loads int
	// Err is why the files on disk are not in force, nil if they are. It is a
	// *FileError.
	Err error
}

// New reads the files. The error is a *FileError.
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

// fingerprint tells whether files changed.
type fingerprint [3]fileStamp

// fileStamp is what a file's directory entry says.
type fileStamp struct {
	modified time.Time
	size     int64
}

// look describes the files on disk. A file that can't be looked at has the zero
// stamp; reading it will say why.
func (s Settings) look() fingerprint {
	var f fingerprint
	for i, name := range []string{s.Cert, s.Key, s.CA} {
		if info, err := os.Stat(name); err == nil {
			f[i] = fileStamp{modified: info.ModTime(), size: info.Size()}
		}
	}
	return f
}

// Run looks for changes until ctx ends.
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

// Check reads the files again if they changed since they came into force. Files
// that failed are tried again each time: a certificate and its key may be written
// one after the other. The outcome is in Status.
func (r *Reloader) Check() {
	if r.changed() {
		// Reload logs the error and keeps it for Status.
		_ = r.Reload()
	}
}

// changed reports whether the files differ from those in force.
func (r *Reloader) changed() bool {
	now := r.settings.look()
	r.mu.Lock()
	defer r.mu.Unlock()
	return now != r.seen
}

// Reload reads the files again, as on SIGHUP. When they are broken, those in
// force stay and the error, a *FileError, says which file is at fault.
func (r *Reloader) Reload() error {
	// Looked at first: a change while reading is then seen as one.
	look := r.settings.look()
	m, err := load(r.settings, r.now())
	r.mu.Lock()
	defer r.mu.Unlock()
	if err != nil {
		r.fail(look, err)
		return err
	}
	r.current, r.seen, r.failed = m, look, fingerprint{}
	r.status = Status{NotAfter: m.cert.Leaf.NotAfter, Loads: r.status.Loads + 1}
	r.log.Info("tls files in force", "cert", r.settings.Cert, "not_after", m.cert.Leaf.NotAfter)
	return nil
}

// fail notes a failure, and logs it once for the same files. The caller holds mu.
func (r *Reloader) fail(look fingerprint, err error) {
	if r.status.Err == nil || look != r.failed {
		r.log.Error("tls files not in force, the ones before stay", "error", err)
	}
	r.failed = look
	r.status.Err = err
}

// Status returns what is in force.
func (r *Reloader) Status() Status {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.status
}

// inForce returns the keys and certificates in force.
func (r *Reloader) inForce() *material {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.current
}

// ServerConfig implements peer.TLS: the settings for one accepted connection of
// a peer, which must show a certificate of an authority of the CA file. Without a
// CA file no peer is accepted.
func (r *Reloader) ServerConfig() *tls.Config {
	m := r.inForce()
	return &tls.Config{
		MinVersion:             tls.VersionTLS13,
		Certificates:           []tls.Certificate{m.cert},
		ClientAuth:             tls.RequireAnyClientCert,
		VerifyConnection:       r.verifier(m),
		SessionTicketsDisabled: true,
	}
}

// ClientConfig implements peer.TLS: the settings for one dialled connection to a
// peer. The chain is verified here, the name by package peer, which knows it only
// from the hello.
func (r *Reloader) ClientConfig() *tls.Config {
	m := r.inForce()
	return &tls.Config{
		MinVersion:   tls.VersionTLS13,
		Certificates: []tls.Certificate{m.cert},
		// The standard check needs a name; VerifyConnection does it without.
		InsecureSkipVerify: true,
		VerifyConnection:   r.verifier(m),
	}
}

// verifier checks the chain of a peer's certificate.
func (r *Reloader) verifier(m *material) func(tls.ConnectionState) error {
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

// CallerConfig returns the settings for callers' HTTPS. It may be used for the
// life of a listener: each connection gets the certificate then in force.
func (r *Reloader) CallerConfig() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS12,
		NextProtos: []string{"h2", "http/1.1"},
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) {
			return &r.inForce().cert, nil
		},
	}
}
