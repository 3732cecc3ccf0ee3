package routing

import (
	"crypto/sha256"
	"encoding/base64"
	"fmt"
)

// KeyDigest is the SHA-256 of a workspace's key. Keys themselves are kept nowhere: neither
// in a configuration nor in what instances tell each other.
type KeyDigest [sha256.Size]byte

// DigestKey returns the digest of a key.
func DigestKey(key string) KeyDigest { return sha256.Sum256([]byte(key)) }

// KeyDigestError reports a text that is no digest of a key.
type KeyDigestError struct{ Bytes int }

// Error implements error.
func (e *KeyDigestError) Error() string {
	return fmt.Sprintf("a key's digest of %d bytes, not %d", e.Bytes, sha256.Size)
}

// MarshalText implements encoding.TextMarshaler.
func (d KeyDigest) MarshalText() ([]byte, error) {
	return []byte(base64.RawStdEncoding.EncodeToString(d[:])), nil
}

// UnmarshalText implements encoding.TextUnmarshaler.
func (d *KeyDigest) UnmarshalText(text []byte) error {
	raw, err := base64.RawStdEncoding.DecodeString(string(text))
	if err != nil {
		return err
	}
	if len(raw) != len(d) {
		return &KeyDigestError{Bytes: len(raw)}
	}
	copy(d[:], raw)
	return nil
}

// Unit is what a workspace's limit counts.
type Unit string

// The units.
const (
	// Requests counts each request as one.
	Requests Unit = "requests"
	// Tokens counts a request by the tokens of its prompt and the bound of its output.
	Tokens Unit = "tokens"
)

// Limit bounds what a workspace's requests may take of all instances together.
type Limit struct {
	// Rate is in units a second; 0 for no limit.
	Rate float64 `json:"rate,omitempty"`
	// Burst is how many units may be taken at once after a rest.
	Burst float64 `json:"burst,omitempty"`
	Unit  Unit    `json:"unit,omitempty"`
	// Plain is what a request counts that doesn't state its tokens.
	Plain int `json:"plain,omitempty"`
}

// Bounds reports whether there is a limit.
func (l Limit) Bounds() bool { return l.Rate > 0 }

// Workspace is a group of callers that have keys in common.
type Workspace struct {
	Name string      `json:"name"`
	Keys []KeyDigest `json:"keys,omitempty"`
	// Priority replaces that of the routes; nil keeps it.
	Priority *int  `json:"priority,omitempty"`
	Limit    Limit `json:"limit,omitzero"`
	// Regions are the regions in which the workspace's requests may run and their KV caches may
	// be stored; the route's regions apply as well.
	Regions Regions `json:"regions"`
}
