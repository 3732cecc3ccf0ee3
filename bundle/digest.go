package bundle

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
)

// Digest is a SHA-256 digest. Its text form is 64 hexadecimal digits.
type Digest [sha256.Size]byte

// DigestOf returns the digest of b.
func DigestOf(b []byte) Digest { return sha256.Sum256(b) }

// IsZero reports whether d is the zero Digest, which means "none".
func (d Digest) IsZero() bool { return d == Digest{} }

// String returns the digest in hexadecimal.
func (d Digest) String() string { return hex.EncodeToString(d[:]) }

// shortDigestLength is the number of hexadecimal digits that Short returns.
const shortDigestLength = 12

// Short returns the first 12 hexadecimal digits of the digest, for messages.
func (d Digest) Short() string { return d.String()[:shortDigestLength] }

// MarshalText implements encoding.TextMarshaler.
func (d Digest) MarshalText() ([]byte, error) { return []byte(d.String()), nil }

// UnmarshalText implements encoding.TextUnmarshaler. It returns a *HexError
// unless the text is 64 hexadecimal digits.
func (d *Digest) UnmarshalText(text []byte) error { return unmarshalHex(d[:], "digest", text) }

// ParseDigest parses the output of String.
func ParseDigest(s string) (Digest, error) {
	var d Digest
	err := d.UnmarshalText([]byte(s))
	return d, err
}

// HexError reports text that is not the hexadecimal form of a value.
type HexError struct {
	// What is the type of value.
	What string
	// Length is the length of the text, and Want the expected length.
	Length, Want int
}

// Error implements error.
func (e *HexError) Error() string {
	return fmt.Sprintf("%s: not %d hexadecimal digits (length %d)", e.What, e.Want, e.Length)
}

func unmarshalHex(into []byte, what string, text []byte) error {
	bad := &HexError{What: what, Length: len(text), Want: hex.EncodedLen(len(into))}
	if len(text) != bad.Want {
		return bad
	}
	if _, err := hex.Decode(into, text); err != nil {
		return bad
	}
	return nil
}

// Ref identifies a bundle by its version and the digest of its manifest. The zero
// Ref means "none".
type Ref struct {
	Version uint64 `json:"version"`
	Digest  Digest `json:"digest"`
}

// IsZero reports whether r is the zero Ref.
func (r Ref) IsZero() bool { return r == Ref{} }

// String formats the reference as "version (digest)" with a shortened digest, or
// as "none".
func (r Ref) String() string {
	if r.IsZero() {
		return "none"
	}
	return fmt.Sprintf("%d (%s)", r.Version, r.Digest.Short())
}
