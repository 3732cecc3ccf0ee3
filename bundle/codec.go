package bundle

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
)

// Size limits, in bytes. A value on the platform can hold one megabyte.
const (
	// MaxValueBytes bounds one value that operators publish on the platform.
	MaxValueBytes = 1_000_000
	// MaxPartBytes bounds one part.
	MaxPartBytes = 256 << 10
	// MaxContentBytes bounds the total size of the parts of one bundle.
	MaxContentBytes = 8 << 20
	// maxEntryBytes bounds one entry inside a part.
	maxEntryBytes = 128 << 10
)

// Limits on the number of elements in a document, and on the length of a note.
const (
	// MaxApprovers bounds the number of keys in an approver set.
	MaxApprovers = 32
	// MaxSignatures bounds the signatures on one document.
	MaxSignatures = 2 * MaxApprovers
	// MaxRotations bounds the rotations that a head carries.
	MaxRotations = 32
	// MaxSupersedes bounds the digests that a manifest lists as superseded.
	MaxSupersedes = 8
	// MaxZones bounds the zones of a roll.
	MaxZones = 64
	// MaxNoteBytes bounds a manifest's note.
	MaxNoteBytes = 500
)

// Format is the version of the document format. An instance rejects documents of
// any other format.
const Format = 1

// DecodeError reports bytes that are not a document of the expected kind:
// truncated, malformed, not in canonical form, or beyond a limit.
type DecodeError struct {
	// What is the type of document.
	What string
	// Err is the cause.
	Err error
}

// Error implements error.
func (e *DecodeError) Error() string { return fmt.Sprintf("%s: %v", e.What, e.Err) }

// Unwrap returns the cause.
func (e *DecodeError) Unwrap() error { return e.Err }

// SizeError reports a size or count above its limit.
type SizeError struct {
	// What says what is counted, including the unit.
	What string
	// Size and Limit are in the unit that What names, such as bytes or entries.
	Size, Limit int
}

// Error implements error.
func (e *SizeError) Error() string {
	return fmt.Sprintf("%s: %d, at most %d", e.What, e.Size, e.Limit)
}

// CanonicalError reports a document that differs from the output of the encoder:
// in whitespace, in the order of fields, in the spelling of a key, or by trailing
// data.
type CanonicalError struct{}

// Error implements error.
func (*CanonicalError) Error() string { return "not in canonical form" }

// FormatError reports a document whose format version is not supported.
type FormatError struct {
	What string
	// Format is the version of the document, and Known the supported version.
	Format, Known int
}

// Error implements error.
func (e *FormatError) Error() string {
	return fmt.Sprintf("%s: format %d is not supported, supported is %d", e.What, e.Format, e.Known)
}

// StructureError reports a document whose fields are invalid or inconsistent.
type StructureError struct {
	What string
	// Reason says which fields, and why.
	Reason string
}

// Error implements error.
func (e *StructureError) Error() string { return e.What + ": " + e.Reason }

// encode returns the canonical form of a value: JSON with fields in the order of
// the struct and without whitespace. Encoding a type of this package cannot fail,
// so encode panics on an error.
func encode(v any) []byte {
	b, err := json.Marshal(v)
	if err != nil {
		panic(fmt.Sprintf("bundle: encoding %T: %v", v, err))
	}
	return b
}

// document is implemented by documents that can validate their own structure.
type document interface{ check() error }

// decodeDocument decodes a document of at most MaxValueBytes into v and validates
// it. Encoding v again must give the same bytes, so that each value has exactly
// one encoding and therefore one digest.
func decodeDocument(what string, b []byte, v document) error {
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

// decodeStrict decodes one JSON value. It rejects unknown fields and trailing data.
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
