package routing

import (
	"crypto/sha256"
	"encoding/base64"
	"fmt"
)

// KeyDigest is the SHA-256 digest of a workspace's key. The keys themselves are not stored, neither
// in a configuration nor in the messages between instances.
type KeyDigest [sha256.Size]byte

// DigestKey returns the digest of a key.
func DigestKey(key string) KeyDigest { return sha256.Sum256([]byte(key)) }

// KeyDigestError reports an encoded digest with a wrong number of bytes.
type KeyDigestError struct{ Bytes int }

// Error implements error.
func (e *KeyDigestError) Error() string {
	return fmt.Sprintf("the digest of a key has %d bytes instead of %d", e.Bytes, sha256.Size)
}

// MarshalText implements encoding.TextMarshaler. The text is unpadded standard base64.
func (d KeyDigest) MarshalText() ([]byte, error) {
	return []byte(base64.RawStdEncoding.EncodeToString(d[:])), nil
}

// UnmarshalText implements encoding.TextUnmarshaler. If the digest has a wrong length, the error is
// a *KeyDigestError.
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

// Unit is the unit of a workspace's limit.
type Unit string

// The units.
const (
	// Requests means that each request costs one unit.
	Requests Unit = "requests"
	// Tokens means that a request costs the number of its prompt tokens plus its maximum number of
	// output tokens.
	Tokens Unit = "tokens"
)

// Limit is the rate limit of a workspace, a token bucket that applies to the requests at all
// instances together.
type Limit struct {
	// Rate is in units per second; 0 means no limit.
	Rate float64 `json:"rate,omitempty"`
	// Burst is how many units may be used at once after a time without requests.
	Burst float64 `json:"burst,omitempty"`
	Unit  Unit    `json:"unit,omitempty"`
	// DefaultCost is the cost of a request that does not state its tokens.
	DefaultCost int `json:"plain,omitempty"`
}

// Enabled reports whether the workspace has a limit.
func (l Limit) Enabled() bool { return l.Rate > 0 }

// Workspace is a group of callers who share keys.
type Workspace struct {
	Name string      `json:"name"`
	Keys []KeyDigest `json:"keys,omitempty"`
	// Priority replaces the priority of the route; nil keeps it.
	Priority *int  `json:"priority,omitempty"`
	Limit    Limit `json:"limit,omitzero"`
	// Regions are the regions in which the workspace's requests may run and their KV caches may
	// be stored; the route's regions apply as well.
	Regions Regions `json:"regions"`
}
