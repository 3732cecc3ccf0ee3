package bundle

import (
	"crypto/ed25519"
	"encoding/hex"
	"fmt"
	"slices"
)

// SignatureValue is an ed25519 signature. Its text form is hexadecimal.
type SignatureValue [ed25519.SignatureSize]byte

// MarshalText implements encoding.TextMarshaler.
func (v SignatureValue) MarshalText() ([]byte, error) {
	return []byte(hex.EncodeToString(v[:])), nil
}

// UnmarshalText implements encoding.TextUnmarshaler.
func (v *SignatureValue) UnmarshalText(text []byte) error {
	return unmarshalHex(v[:], "signature", text)
}

// Signature is one approver's signature on a manifest or roll.
type Signature struct {
	Key   PublicKey      `json:"key"`
	Value SignatureValue `json:"value"`
}

// purpose separates what is signed, so that a signature on a document of one
// kind is none on another.
type purpose string

const (
	purposeManifest purpose = "wardspool bundle manifest 1\n"
	purposeRoll     purpose = "wardspool roll 1\n"
)

// message is what an approver's key signs.
func message(p purpose, d Digest) []byte { return append([]byte(p), d[:]...) }

func sign(key ed25519.PrivateKey, p purpose, d Digest) Signature {
	var s Signature
	copy(s.Key[:], key.Public().(ed25519.PublicKey))
	copy(s.Value[:], ed25519.Sign(key, message(p, d)))
	return s
}

// addSignature adds a signature, in place of an earlier one by the same key.
func addSignature(list []Signature, s Signature) []Signature {
	list = slices.DeleteFunc(slices.Clone(list), func(old Signature) bool { return old.Key == s.Key })
	return append(list, s)
}

// RejectReason says why a signature did not count.
type RejectReason string

// The reasons.
const (
	// RejectUnknownKey is a key outside the approver set.
	RejectUnknownKey RejectReason = "unknown key"
	// RejectBadSignature is a signature that does not match the document.
	RejectBadSignature RejectReason = "bad signature"
	// RejectDuplicate is a second signature by one key.
	RejectDuplicate RejectReason = "signed already"
)

// Rejected is a signature that did not count.
type Rejected struct {
	Key    PublicKey
	Reason RejectReason
}

// TooFewSignaturesError reports a document that no quorum signed.
type TooFewSignaturesError struct {
	// What names the document, and Epoch the approver set asked.
	What  string
	Epoch uint64
	// Valid counts the approvers that signed; Quorum is how many must.
	Valid, Quorum int
	// Rejected lists the signatures that did not count.
	Rejected []Rejected
}

// Error implements error.
func (e *TooFewSignaturesError) Error() string {
	text := fmt.Sprintf("%s: %d of the %d signatures that approvers of epoch %d must give", e.What, e.Valid, e.Quorum, e.Epoch)
	for _, r := range e.Rejected {
		text += fmt.Sprintf("; key %.12s: %s", r.Key.String(), r.Reason)
	}
	return text
}

// Tally is how a document's signatures count against an approver set.
type Tally struct {
	// Signed names the approvers whose signatures count, in document order.
	Signed   []string
	Rejected []Rejected
}

// tally counts signatures. Each approver counts once. Signatures that do not
// count are listed but do no harm: whoever relays a document could add them.
func tally(a Approvers, p purpose, d Digest, signatures []Signature) Tally {
	var t Tally
	counted := map[PublicKey]bool{}
	for _, s := range signatures {
		name, known := a.name(s.Key)
		switch {
		case !known:
			t.Rejected = append(t.Rejected, Rejected{Key: s.Key, Reason: RejectUnknownKey})
		case counted[s.Key]:
			t.Rejected = append(t.Rejected, Rejected{Key: s.Key, Reason: RejectDuplicate})
		case !ed25519.Verify(s.Key[:], message(p, d), s.Value[:]):
			t.Rejected = append(t.Rejected, Rejected{Key: s.Key, Reason: RejectBadSignature})
		default:
			counted[s.Key] = true
			t.Signed = append(t.Signed, name)
		}
	}
	return t
}

// quorum returns a *TooFewSignaturesError unless a quorum of a signed.
func quorum(what string, a Approvers, p purpose, d Digest, signatures []Signature) error {
	t := tally(a, p, d, signatures)
	if len(t.Signed) >= a.Quorum {
		return nil
	}
	return &TooFewSignaturesError{
		What: what, Epoch: a.Epoch, Valid: len(t.Signed), Quorum: a.Quorum, Rejected: t.Rejected,
	}
}
