package entry

import (
	"context"
	"errors"
	"log/slog"
	"net/http"
	"sync"

	"github.com/samber/oops"

	"github.com/wardspool/wardspool/peer"
	"github.com/wardspool/wardspool/tlsconf"
)

// security holds the current keys and certificates. A field is nil if the settings
// name no files for it; its connections are then not encrypted.
type security struct {
	// callers is for HTTPS with callers, processes for the connections to other
	// instances and from operators' tools.
	callers   *tlsconf.Reloader
	processes *tlsconf.Reloader
}

// newSecurity loads the files that the settings name. Its errors are
// *tlsconf.FileError.
func newSecurity(s *Settings, log *slog.Logger) (security, error) {
	var out security
	var err error
	if out.callers, err = newReloader(s.Callers.TLS.files(), log); err != nil {
		return out, oops.In("entry").Wrapf(err, "read callers.tls")
	}
	if out.processes, err = newReloader(s.TLS, log); err != nil {
		return out, oops.In("entry").Wrapf(err, "read tls")
	}
	return out, nil
}

// newReloader loads the files of the settings; it returns nil if they name none.
func newReloader(s tlsconf.Settings, log *slog.Logger) (*tlsconf.Reloader, error) {
	if !s.Enabled() {
		return nil, nil
	}
	return tlsconf.New(s, tlsconf.Options{Log: log})
}

// files converts the settings to tlsconf.Settings.
func (t TLSSettings) files() tlsconf.Settings {
	return tlsconf.Settings{Cert: t.Certificate, Key: t.Key}
}

// peerTLS returns the TLS configuration of connections between processes, nil for
// plain TCP.
func (s *security) peerTLS() peer.TLS {
	if s.processes == nil {
		return nil
	}
	return s.processes
}

// watch reloads changed files until ctx ends.
func (s *security) watch(ctx context.Context, running *sync.WaitGroup) {
	for _, r := range []*tlsconf.Reloader{s.callers, s.processes} {
		if r != nil {
			running.Go(func() { r.Run(ctx) })
		}
	}
}

// serveHTTP serves callers until the server is shut down.
func (e *Entry) serveHTTP() error {
	var err error
	if r := e.security.callers; r == nil {
		err = e.servers.http.Serve(e.servers.callers)
	} else {
		e.servers.http.TLSConfig = r.CallerConfig()
		err = e.servers.http.ServeTLS(e.servers.callers, "", "")
	}
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return oops.In("entry").Wrapf(err, "serve callers")
}
