package testbed

import (
	"crypto/tls"
	"fmt"
	"net/http"
	"strings"

	"github.com/wardspool/wardspool/ident"
	"github.com/wardspool/wardspool/tlsconf"
)

// TLS holds the TLS configuration of a fleet.
type TLS struct {
	// Peers holds each instance's files for connections between entries and agents,
	// Callers those for callers' HTTPS.
	Peers   map[ident.InstanceID]tlsconf.Settings
	Callers map[ident.InstanceID]tlsconf.Settings
	// Client is the configuration with which a caller verifies the instances.
	Client *tls.Config
}

// writeCallers writes the callers section of an entry's settings.
func (f *Fleet) writeCallers(b *strings.Builder, in *Instance) {
	fmt.Fprintf(b, "callers:\n  listen: %q\n", in.Callers)
	if f.options.TLS != nil {
		s := f.options.TLS.Callers[in.ID]
		fmt.Fprintf(b, "  tls: {certificate: %q, key: %q}\n", s.Cert, s.Key)
	}
}

// writeTLS writes the tls section, for connections between processes.
func (f *Fleet) writeTLS(b *strings.Builder, in *Instance) {
	if f.options.TLS != nil {
		s := f.options.TLS.Peers[in.ID]
		fmt.Fprintf(b, "tls: {certificate: %q, key: %q, ca: %q}\n", s.Cert, s.Key, s.CA)
	}
}

// callersURL returns the base URL at which callers reach an instance.
func (f *Fleet) callersURL(in *Instance) string {
	if f.options.TLS != nil {
		return "https://" + in.Callers
	}
	return "http://" + in.Callers
}

// callersHTTP returns the HTTP client of a caller.
func (f *Fleet) callersHTTP() *http.Client {
	if f.options.TLS == nil {
		return http.DefaultClient
	}
	return &http.Client{Transport: &http.Transport{TLSClientConfig: f.options.TLS.Client, DisableKeepAlives: true}}
}
