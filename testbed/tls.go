package testbed

import (
	"crypto/tls"
	"fmt"
	"net/http"
	"strings"

	"github.com/wardspool/wardspool/ident"
	"github.com/wardspool/wardspool/tlsconf"
)

// TLS names the files with which a fleet speaks TLS.
type TLS struct {
	// Peers are each instance's files for the connections between the system's
	// processes, Callers those for callers' HTTPS.
	Peers   map[ident.InstanceID]tlsconf.Settings
	Callers map[ident.InstanceID]tlsconf.Settings
	// Client is how a caller's client trusts the instances.
	Client *tls.Config
}

// writeCallers writes the section for callers.
func (f *Fleet) writeCallers(b *strings.Builder, in *Instance) {
	fmt.Fprintf(b, "callers:\n  listen: %q\n", in.Callers)
	if f.options.TLS != nil {
		s := f.options.TLS.Callers[in.ID]
		fmt.Fprintf(b, "  tls: {certificate: %q, key: %q}\n", s.Cert, s.Key)
	}
}

// writeTLS writes the section for the connections between processes.
func (f *Fleet) writeTLS(b *strings.Builder, in *Instance) {
	if f.options.TLS != nil {
		s := f.options.TLS.Peers[in.ID]
		fmt.Fprintf(b, "tls: {certificate: %q, key: %q, ca: %q}\n", s.Cert, s.Key, s.CA)
	}
}

// callersURL is where callers reach an instance.
func (f *Fleet) callersURL(in *Instance) string {
	if f.options.TLS != nil {
		return "https://" + in.Callers
	}
	return "http://" + in.Callers
}

// callersHTTP returns a caller's client.
func (f *Fleet) callersHTTP() *http.Client {
	if f.options.TLS == nil {
		return http.DefaultClient
	}
	return &http.Client{Transport: &http.Transport{TLSClientConfig: f.options.TLS.Client, DisableKeepAlives: true}}
}
