package ticket

import (
	"crypto/sha256"
	"encoding/binary"

	"github.com/wardspool/wardspool/ident"
)

// Digest identifies the content of a call. A ticket is bound to the digest of the
// first call that it is presented with.
type Digest [sha256.Size]byte

// Call is the part of a call that its digest covers. A retry must repeat all of
// it.
type Call struct {
	Method    string
	Path      string
	Workspace ident.Workspace
	Kind      string
	Body      []byte
}

// Digest returns the call's digest. It covers the workspace, so that no caller
// gets the answer to another workspace's call.
func (c *Call) Digest() Digest {
	h := sha256.New()
	var length [8]byte
	for _, part := range [][]byte{
		[]byte(c.Method),
		[]byte(c.Path),
		[]byte(c.Workspace),
		[]byte(c.Kind),
		c.Body,
	} {
		// The length prefix distinguishes "ab"+"c" from "a"+"bc".
		binary.BigEndian.PutUint64(length[:], uint64(len(part)))
		h.Write(length[:])
		h.Write(part)
	}
	return Digest(h.Sum(nil))
}
