package agent

import (
	"errors"

	"github.com/samber/oops"

	"github.com/wardspool/wardspool/settings"
	"github.com/wardspool/wardspool/tlsconf"
)

// readTLS reads the files that the settings name, unless the options bring TLS.
// Errors are *tlsconf.FileError.
func (a *Agent) readTLS() error {
	if a.options.TLS != nil || !a.settings.TLS.Enabled() {
		return nil
	}
	r, err := tlsconf.New(a.settings.TLS, tlsconf.Options{Log: a.log})
	if err != nil {
		return oops.In("agent").Wrapf(err, "read tls")
	}
	a.tls, a.options.TLS = r, r
	return nil
}

// checkTLS reads the files that the settings name.
func (s *Settings) checkTLS(r *settings.Report) {
	if !s.TLS.Enabled() {
		return
	}
	if s.TLS.CA == "" {
		r.Add("tls.ca", "is missing", "name the authorities that sign the other instances' certificates")
	}
	_, err := tlsconf.New(s.TLS, tlsconf.Options{})
	var file *tlsconf.FileError
	if errors.As(err, &file) {
		r.Add("tls."+file.Field, err.Error(), "see docs/operators/tls.md")
	}
}
