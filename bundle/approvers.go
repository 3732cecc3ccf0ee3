package bundle

import (
	"bytes"
	"crypto/ed25519"
	"encoding/hex"
	"fmt"
	"slices"
	"strings"

	"github.com/wardspool/wardspool/ident"
)

// PublicKey is an approver's ed25519 public key. Its text form is hexadecimal.
type PublicKey [ed25519.PublicKeySize]byte

// String returns the key in hexadecimal.
func (k PublicKey) String() string { return hex.EncodeToString(k[:]) }

// MarshalText implements encoding.TextMarshaler.
func (k PublicKey) MarshalText() ([]byte, error) { return []byte(k.String()), nil }

// UnmarshalText implements encoding.TextUnmarshaler.
func (k *PublicKey) UnmarshalText(text []byte) error {
	return unmarshalHex(k[:], "public key", text)
}

// Approver is a person or system whose key may sign bundles and rolls.
type Approver struct {
	// Name identifies the approver to operators; ident.ValidName must accept it.
	Name string    `json:"name" yaml:"name"`
	Key  PublicKey `json:"key" yaml:"key"`
}

// Approvers is the set of keys of which a quorum must sign each document. A
// bundle version can replace the set; it must then carry signatures of a quorum
// of the old set and of a quorum of the new set.
type Approvers struct {
	// Epoch numbers the approver sets of a deployment. It starts at 1 and
	// increases by 1 with each new set.
	Epoch uint64 `json:"epoch" yaml:"epoch"`
	// Quorum is the number of approvers that must sign. It is more than half
	// of Keys, so that any two quorums share at least one approver.
	Quorum int `json:"quorum" yaml:"quorum"`
	// Keys is sorted by name.
	Keys []Approver `json:"keys" yaml:"keys"`
}

// ApproversError reports an invalid approver set.
type ApproversError struct {
	// Epoch is the epoch of the invalid set.
	Epoch uint64
	// Reason says why the set is invalid.
	Reason string
}

// Error implements error.
func (e *ApproversError) Error() string {
	return fmt.Sprintf("approvers of epoch %d: %s", e.Epoch, e.Reason)
}

// Check validates the set: a non-zero epoch, a majority quorum, valid names in
// sorted order, and no duplicate names or keys. It returns an *ApproversError.
func (a Approvers) Check() error {
	bad := func(format string, args ...any) error {
		return &ApproversError{Epoch: a.Epoch, Reason: fmt.Sprintf(format, args...)}
	}
	switch {
	case a.Epoch == 0:
		return bad("epochs count from 1")
	case len(a.Keys) == 0 || len(a.Keys) > MaxApprovers:
		return bad("%d keys; from 1 to %d", len(a.Keys), MaxApprovers)
	case a.Quorum > len(a.Keys):
		return bad("a quorum of %d among %d keys can never sign", a.Quorum, len(a.Keys))
	case 2*a.Quorum <= len(a.Keys):
		return bad("a quorum of %d among %d keys is no majority: two groups could each sign", a.Quorum, len(a.Keys))
	}
	keys := map[PublicKey]string{}
	for i, k := range a.Keys {
		if !ident.ValidName(k.Name) {
			return bad("name %q is not valid", truncate(k.Name))
		}
		if i > 0 && a.Keys[i-1].Name >= k.Name {
			return bad("names must be sorted and differ: %q", k.Name)
		}
		if other, taken := keys[k.Key]; taken {
			return bad("%q and %q have one key", other, k.Name)
		}
		keys[k.Key] = k.Name
	}
	return nil
}

// Sorted returns a copy of the set with its keys sorted by name.
func (a Approvers) Sorted() Approvers {
	a.Keys = slices.Clone(a.Keys)
	slices.SortFunc(a.Keys, func(x, y Approver) int { return strings.Compare(x.Name, y.Name) })
	return a
}

// Digest returns the digest of the set.
func (a Approvers) Digest() Digest { return DigestOf(encode(a)) }

// SameKeys reports whether both sets have the same keys, names and quorum. It
// ignores their epochs.
func (a Approvers) SameKeys(b Approvers) bool {
	a.Epoch, b.Epoch = 0, 0
	return bytes.Equal(encode(a.Sorted()), encode(b.Sorted()))
}

// name returns the name of the approver that has the given key.
func (a Approvers) name(key PublicKey) (string, bool) {
	for _, k := range a.Keys {
		if k.Key == key {
			return k.Name, true
		}
	}
	return "", false
}
