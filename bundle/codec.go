package bundle

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
)

// Size limits, in bytes. The platform's values hold a megabyte.
const (
	// MaxValueBytes bounds one value that operators publish on the platform.
	MaxValueBytes = 1_000_000
	// MaxPartBytes bounds one part.
	MaxPartBytes = 256 << 10
	// MaxContentBytes bounds all parts of one bundle together.
	MaxContentBytes = 8 << 20
	// maxEntryBytes bounds one list entry inside a part.
	maxEntryBytes = 128 << 10
)

// Limits on the number of things in a document.
const (
	// MaxApprovers bounds an approver set.
	MaxApprovers = 32
	// MaxSignatures bounds the signatures on one document.
	MaxSignatures = 2 * MaxApprovers
	// MaxRotations bounds the rotations a head carries.
	MaxRotations = 32
	// MaxSupersedes bounds the further digests that a manifest supersedes.
	MaxSupersedes = 8
	// MaxZones bounds the zones of a roll.
	MaxZones = 64
	// MaxNoteBytes bounds a manifest's note.
	MaxNoteBytes = 500
)

// Format is the version of the documents' form. An instance refuses a document
// of a form that it does not know.
const Format = 1

// DecodeError reports bytes that are not a document of the expected kind:
// truncated, malformed, not in canonical form, or beyond a limit.
type DecodeError struct {
	// What names the kind of document.
	What string
	// Err says why.
	Err error
}

// Error implements error.
func (e *DecodeError) Error() string { return fmt.Sprintf("%s: %v", e.What, e.Err) }

// Unwrap returns the cause.
func (e *DecodeError) Unwrap() error { return e.Err }

// SizeError reports something larger than allowed.
type SizeError struct {
	// What names the thing measured.
	What string
	// Size and Limit are in bytes or entries, as What says.
	Size, Limit int
}

// Error implements error.
func (e *SizeError) Error() string {
	return fmt.Sprintf("%s: %d, at most %d", e.What, e.Size, e.Limit)
}

// CanonicalError reports a document that is not in the one form that the
// encoder writes: other spacing, order, spelling of a key, or data after it.
type CanonicalError struct{}

// Error implements error.
func (*CanonicalError) Error() string { return "not in canonical form" }

// FormatError reports a document of another form than this program knows.
type FormatError struct {
	What string
	// Format is the document's, Known this program's.
	Format, Known int
}

// Error implements error.
func (e *FormatError) Error() string {
	return fmt.Sprintf("%s: format %d, this program knows %d", e.What, e.Format, e.Known)
}

// StructureError reports a document whose parts do not fit together.
type StructureError struct {
	What string
	// Reason says which parts, and how.
	Reason string
}

// Error implements error.
func (e *StructureError) Error() string { return e.What + ": " + e.Reason }

// encode writes the canonical form of a value: JSON in the order of the
// struct's fields, without spacing. The types of this package cannot fail to
// encode.
func encode(v any) []byte {
	b, err := json.Marshal(v)
	if err != nil {
		panic(fmt.Sprintf("bundle: encoding %T: %v", v, err))
	}
	return b
}

// checked is a document that can check its own structure.
type checked interface{ check() error }

// decodeDocument decodes one canonical document of at most MaxValueBytes into v.
// Re-encoding must give the same bytes, so that a digest has one text.
func decodeDocument(what string, b []byte, v checked) error {
	if len(b) > MaxValueBytes {
		return &DecodeError{What: what, Err: &SizeError{What: "bytes", Size: len(b), Limit: MaxValueBytes}}
	}
	if err := decodeStrict(b, v); err != nil {
		return &DecodeError{What: what, Err: err}
	}
	if err := v.check(); err != nil {
		return &DecodeError{What: what, Err: err}
	}
	if !bytes.Equal(encode(v), b) {
		return &DecodeError{What: what, Err: &CanonicalError{}}
	}
	return nil
}

// decodeStrict decodes one JSON value, refusing unknown fields and data after it.
func decodeStrict(b []byte, v any) error {
	d := json.NewDecoder(bytes.NewReader(b))
	d.DisallowUnknownFields()
	if err := d.Decode(v); err != nil {
		return err
	}
	if _, err := d.Token(); !errors.Is(err, io.EOF) {
		return &CanonicalError{}
	}
	return nil
}
