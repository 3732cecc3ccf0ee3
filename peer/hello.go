package peer

import (
	"crypto/x509"
	"encoding/json"

	"github.com/wardspool/wardspool/ident"
)

// ProtocolVersion is the only version of the peer protocol that this build
// supports.
const ProtocolVersion = 1

// MethodHello is the method of the first call on a connection.
const MethodHello = "hello"

// methodCancel is the notification that cancels a call in progress.
const methodCancel = "peer.cancel"

// Identity identifies a peer by what it sent in its hello, verified against its
// certificate if TLS is used and accepted by Config.Allow.
type Identity struct {
	Instance    ident.InstanceID
	Incarnation ident.Incarnation
	Zone        ident.Zone
	// Addr is the remote address of the connection, "ip:port". It is taken from
	// the connection, never from the hello.
	Addr string
}

// Hello is both the parameters and the result of MethodHello: each side sends its
// own identity.
type Hello struct {
	Version     int               `json:"version"`
	Instance    ident.InstanceID  `json:"instance"`
	Incarnation ident.Incarnation `json:"incarnation"`
	Zone        ident.Zone        `json:"zone"`
}

// newHello returns the hello that a process with the given identity sends.
func newHello(self Identity) Hello {
	return Hello{
		Version:     ProtocolVersion,
		Instance:    self.Instance,
		Incarnation: self.Incarnation,
		Zone:        self.Zone,
	}
}

// decodeHello parses and validates a hello. Errors are *HelloError and
// *VersionError.
func decodeHello(data []byte) (Hello, error) {
	// The version is decoded separately first, since a later version may change
	// the other members.
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

// checkPeer verifies the identity in a hello and returns it. cert is the peer's
// verified certificate, nil without TLS. Errors are *IdentityError and
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
