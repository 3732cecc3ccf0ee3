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

// Signature is the signature of an approver on a manifest or roll.
type Signature struct {
	Key   PublicKey      `json:"key"`
	Value SignatureValue `json:"value"`
}

// purpose is the domain separator of a signature. It is signed together with the
// digest, so that a signature on a document of one type is not valid for another
// type.
type purpose string

const (
	purposeManifest purpose = "wardspool bundle manifest 1\n"
	purposeRoll     purpose = "wardspool roll 1\n"
)

// message returns the bytes that an approver signs.
func message(p purpose, d Digest) []byte { return append([]byte(p), d[:]...) }

func sign(key ed25519.PrivateKey, p purpose, d Digest) Signature {
	var s Signature
	copy(s.Key[:], key.Public().(ed25519.PublicKey))
	copy(s.Value[:], ed25519.Sign(key, message(p, d)))
	return s
}

// addSignature returns a copy of list with s added, replacing an earlier signature
// by the same key.
func addSignature(list []Signature, s Signature) []Signature {
	list = slices.DeleteFunc(slices.Clone(list), func(old Signature) bool { return old.Key == s.Key })
	return append(list, s)
}

// RejectReason says why a signature was not counted.
type RejectReason string

// The reasons.
const (
	// RejectUnknownKey is a signature by a key that is not in the approver set.
	RejectUnknownKey RejectReason = "unknown key"
	// RejectBadSignature is a signature that does not match the document.
	RejectBadSignature RejectReason = "bad signature"
	// RejectDuplicate is a further signature by the same key.
	RejectDuplicate RejectReason = "signed already"
)

// Rejected is a signature that was not counted.
type Rejected struct {
	Key    PublicKey
	Reason RejectReason
}

// TooFewSignaturesError reports a document without signatures of a quorum.
type TooFewSignaturesError struct {
	// What identifies the document, and Epoch the approver set.
	What  string
	Epoch uint64
	// Valid is the number of approvers that signed, and Quorum the number that
	// must sign.
	Valid, Quorum int
	// Rejected lists the signatures that were not counted.
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

// Tally is the result of counting the signatures on a document against an approver
// set.
type Tally struct {
	// Signed lists the names of the approvers whose signatures are valid, in the
	// order of the signatures in the document.
	Signed   []string
	Rejected []Rejected
}

// countSignatures counts the valid signatures, each approver once. Invalid ones are
// listed but do not invalidate the document, because anyone who relays it could add
// some.
func countSignatures(a Approvers, p purpose, d Digest, signatures []Signature) Tally {
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

// requireQuorum returns a *TooFewSignaturesError unless a quorum of a signed the
// digest.
func requireQuorum(what string, a Approvers, p purpose, d Digest, signatures []Signature) error {
	t := countSignatures(a, p, d, signatures)
	if len(t.Signed) >= a.Quorum {
		return nil
	}
	return &TooFewSignaturesError{
		What: what, Epoch: a.Epoch, Valid: len(t.Signed), Quorum: a.Quorum, Rejected: t.Rejected,
	}
}
