package agent

import (
	"github.com/samber/oops"

	"github.com/wardspool/wardspool/tlsconf"
)

// readTLS loads the TLS files that the settings name, unless the options provide
// TLS. Errors are *tlsconf.FileError.
func (a *Agent) readTLS() error {
	if a.options.TLS != nil || !a.settings.TLS.Enabled() {
		return nil
	}
	r, err := tlsconf.New(a.settings.TLS, tlsconf.Options{Log: a.log})
	if err != nil {
		return oops.In("agent").Wrapf(err, "load TLS files")
	}
	a.tls, a.options.TLS = r, r
	return nil
}
