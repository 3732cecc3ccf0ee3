package peer

import (
	"crypto/x509"
	"encoding/json"

	"github.com/wardspool/wardspool/ident"
)

// ProtocolVersion is the version of the peer protocol that this build speaks.
const ProtocolVersion = 1

// MethodHello is the method of a connection's first call.
const MethodHello = "hello"

// methodCancel is the notification that withdraws a call in progress.
const methodCancel = "peer.cancel"

// Identity says who a peer is: what its hello claims, checked against its
// certificate where there is one and against Config.Allow.
type Identity struct {
	Instance    ident.InstanceID
	Incarnation ident.Incarnation
	Zone        ident.Zone
	// Addr is the remote address of the connection, "ip:port". It is observed,
	// never taken from the hello.
	Addr string
}

// Hello is the parameter and the result of MethodHello: each side introduces
// itself.
type Hello struct {
	Version     int               `json:"version"`
	Instance    ident.InstanceID  `json:"instance"`
	Incarnation ident.Incarnation `json:"incarnation"`
	Zone        ident.Zone        `json:"zone"`
}

// newHello returns the hello of the given identity.
func newHello(self Identity) Hello {
	return Hello{
		Version:     ProtocolVersion,
		Instance:    self.Instance,
		Incarnation: self.Incarnation,
		Zone:        self.Zone,
	}
}

// decodeHello parses and checks a hello. Errors are *HelloError or
// *VersionError.
func decodeHello(data []byte) (Hello, error) {
	// The version is read alone first: a later version may change the rest.
	var v struct {
		Version int `json:"version"`
	}
	if err := json.Unmarshal(data, &v); err != nil {
		return Hello{}, &HelloError{Field: "shape"}
	}
	if v.Version != ProtocolVersion {
		return Hello{}, &VersionError{Got: v.Version, Supported: ProtocolVersion}
	}
	var h Hello
	if err := json.Unmarshal(data, &h); err != nil {
		return Hello{}, &HelloError{Field: "shape"}
	}
	if !ident.ValidName(string(h.Instance)) {
		return Hello{}, &HelloError{Field: "instance"}
	}
	if !ident.ValidName(string(h.Zone)) {
		return Hello{}, &HelloError{Field: "zone"}
	}
	if h.Incarnation == 0 {
		return Hello{}, &HelloError{Field: "incarnation"}
	}
	return h, nil
}

// checkPeer decides whether the peer behind a hello is believed. cert is the
// peer's verified certificate, nil without TLS. Errors are *IdentityError and
// *NotAllowedError.
func checkPeer(h Hello, addr string, cert *x509.Certificate, allow func(Identity) bool) (Identity, error) {
	id := Identity{Instance: h.Instance, Incarnation: h.Incarnation, Zone: h.Zone, Addr: addr}
	if cert != nil && cert.VerifyHostname(string(h.Instance)) != nil {
		return Identity{}, &IdentityError{Claimed: h.Instance, Certificate: cert.Subject.CommonName}
	}
	if !allow(id) {
		return Identity{}, &NotAllowedError{Instance: h.Instance}
	}
	return id, nil
}
