package main

import (
	"time"

	"github.com/wardspool/wardspool/ident"
	"github.com/wardspool/wardspool/peer"
	"github.com/wardspool/wardspool/tlsconf"
)

// operatorFlags are the flags for the operator's identity and certificate.
type operatorFlags struct {
	As   string `default:"ops-1" help:"Operator's identity, one of operators.names in the settings of those asked. With TLS the certificate must name it."`
	Cert string `placeholder:"FILE" help:"Operator's certificate, in PEM. Needed where the settings of those asked have a tls section, with --key and --ca."`
	Key  string `placeholder:"FILE" help:"The certificate's private key, in PEM."`
	CA   string `placeholder:"FILE" name:"ca" help:"Authorities that sign the instances' certificates, in PEM."`
}

// operatorZone is the zone that operators' tools send in their hello message. No
// instance is in this zone.
const operatorZone ident.Zone = "operators"

// certificateError reports that the operator's certificate files can't be used.
type certificateError struct{ Err error }

// Error implements error.
func (e *certificateError) Error() string { return e.Err.Error() }

// Unwrap returns the cause.
func (e *certificateError) Unwrap() error { return e.Err }

// ExitCode implements kong.ExitCoder. Code 1 would mean that instances were queried
// and responded.
func (*certificateError) ExitCode() int { return exitUsage }

// pool returns a connection pool with the operator's identity. It accepts any peer
// identity, since the operator gave the addresses; the instances decide which
// operators they accept. Errors are of type *certificateError.
func (f *operatorFlags) pool() (*peer.Pool, error) {
	c := peer.Config{
		Self: peer.Identity{
			Instance:    ident.InstanceID(f.As),
			Incarnation: ident.NewIncarnation(time.Now()),
			Zone:        operatorZone,
		},
		Allow: func(peer.Identity) bool { return true },
	}
	files := tlsconf.Settings{Cert: f.Cert, Key: f.Key, CA: f.CA}
	if files.Enabled() {
		r, err := tlsconf.New(files, tlsconf.Options{})
		if err != nil {
			return nil, &certificateError{err}
		}
		c.TLS = r
	}
	return peer.NewPool(c), nil
}
