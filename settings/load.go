package settings

import (
	"bytes"
	"cmp"
	"errors"
	"fmt"
	"io"
	"os"
	"reflect"
	"slices"

	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/ast"
	"github.com/goccy/go-yaml/lexer"
	"github.com/goccy/go-yaml/parser"
	"github.com/goccy/go-yaml/token"
)

// maxFileBytes is the maximum size of a settings file.
const maxFileBytes = 1 << 20

// Checker is implemented by settings that are validated after decoding.
type Checker interface {
	// CheckSettings adds each error to r.
	CheckSettings(r *Report)
}

// Defaulter is implemented by settings that have defaults. SetDefaults is
// called before decoding.
type Defaulter interface{ SetDefaults() }

// Load reads, decodes and checks a settings file. Errors are *ReadError and
// *InvalidError.
func Load[T any](file string) (*T, error) {
	_, s, err := Read[T](file)
	return s, err
}

// Read is like Load but also returns the content of the file.
func Read[T any](file string) ([]byte, *T, error) {
	data, err := readFile(file)
	if err != nil {
		return nil, nil, &ReadError{File: file, Err: err}
	}
	s, err := Parse[T](file, data)
	return data, s, err
}

// TooLargeError reports a settings file that exceeds the size limit.
type TooLargeError struct{ Limit int }

// Error implements error.
func (*TooLargeError) Error() string { return "file is too large" }

// readFile reads a file of at most maxFileBytes.
func readFile(file string) ([]byte, error) {
	f, err := os.Open(file)
	if err != nil {
		return nil, err
	}
	defer f.Close()
	data, err := io.ReadAll(io.LimitReader(f, maxFileBytes+1))
	if err == nil && len(data) > maxFileBytes {
		return nil, &TooLargeError{Limit: maxFileBytes}
	}
	return data, err
}

// Parse decodes and checks settings. The file name is used only in findings.
// The error is an *InvalidError.
func Parse[T any](file string, data []byte) (*T, error) {
	r := &Report{file: file}
	into := new(T)
	if d, ok := any(into).(Defaulter); ok {
		d.SetDefaults()
	}
	if r.decode(data, into) {
		if c, ok := any(into).(Checker); ok {
			c.CheckSettings(r)
		}
	}
	if len(r.findings) > 0 {
		return nil, &InvalidError{Findings: r.sorted()}
	}
	return into, nil
}

// Report collects the findings for one file.
type Report struct {
	file string
	// positions holds the positions of the fields in the file.
	positions fieldPositions
	findings  []Finding
}

// Add adds a finding for the field at a path such as "static.upstreams[2].id". If
// the file doesn't contain the field, the position is that of the innermost parent
// that it contains.
func (r *Report) Add(field, message, advice string) {
	at := r.positions.nearest(field)
	r.findings = append(r.findings, Finding{
		File: r.file, Line: at.line, Column: at.column,
		Field: field, Problem: message, Advice: advice,
	})
}

// adviceReference is the advice text for errors of the decoder.
const adviceReference = "see docs/settings.md"

// AddError adds a finding for an error from decoding a part of the file. field is
// the path of that part.
func (r *Report) AddError(field string, err error) {
	var duration *DurationError
	var located yaml.Error
	var mistyped *yaml.TypeError
	var text *TextError
	switch {
	case errors.As(err, &text):
		r.Add(joinPath(field, text.Path), text.Error(), adviceReference)
	case errors.As(err, &duration):
		r.Add(r.positions.fieldWithValue(field, duration.Text), duration.Error(), adviceDuration)
	case errors.As(err, &mistyped) && mistyped.Token != nil:
		r.addAt(field, mistyped.Token.Position, fmt.Sprintf("%q is not %s", mistyped.Token.Value, describeType(mistyped.DstType)))
	case errors.As(err, &located) && located.GetToken() != nil:
		r.addAt(field, located.GetToken().Position, located.GetMessage())
	default:
		r.Add(field, err.Error(), adviceReference)
	}
}

// addAt adds a finding at a position. Its field is the one at that position, or the
// given one if there is none.
func (r *Report) addAt(field string, at *token.Position, message string) {
	if found := r.positions.fieldAt(at.Line, at.Column); found != "" {
		field = found
	}
	r.findings = append(r.findings, Finding{
		File: r.file, Line: at.Line, Column: at.Column,
		Field: field, Problem: message, Advice: adviceReference,
	})
}

// describeType describes the values that a field of a type accepts.
func describeType(t reflect.Type) string {
	switch t.Kind() {
	case reflect.Int, reflect.Int8, reflect.Int16, reflect.Int32, reflect.Int64,
		reflect.Uint, reflect.Uint8, reflect.Uint16, reflect.Uint32, reflect.Uint64:
		return "a whole number"
	case reflect.Float32, reflect.Float64:
		return "a number"
	case reflect.Bool:
		return "true or false"
	case reflect.String:
		return "a string"
	case reflect.Slice, reflect.Array:
		return "a list"
	default:
		return "a mapping"
	}
}

// decode decodes data into the settings. After an error, which it adds to the
// findings, it returns false.
func (r *Report) decode(data []byte, into any) bool {
	tokens := lexer.Tokenize(string(data))
	if !r.supportedSyntax(tokens) {
		return false
	}
	file, err := parser.Parse(tokens, 0)
	if err != nil {
		r.AddError("", err)
		return false
	}
	var body ast.Node
	if len(file.Docs) > 0 {
		body = file.Docs[0].Body
	}
	if body == nil {
		r.Add("", "the file is empty", adviceReference)
		return false
	}
	r.positions.walk("", body)
	if err := decodeRecovering(data, body, into); err != nil {
		r.AddError("", err)
		return false
	}
	return true
}

// supportedSyntax reports whether the file uses only the supported subset of YAML, and adds a
// finding if not. Tags, anchors, aliases and merge keys are not supported, as the
// YAML library panics on some uses of them.
func (r *Report) supportedSyntax(tokens token.Tokens) bool {
	for _, t := range tokens {
		switch t.Type {
		case token.TagType, token.AnchorType, token.AliasType, token.MergeKeyType:
			r.addAt("", t.Position, fmt.Sprintf("%q: settings use no tags, anchors and aliases", t.Value))
			return false
		}
	}
	return true
}

// YAMLPanicError reports a file that made the YAML library panic.
type YAMLPanicError struct{ Panic string }

// Error implements error.
func (e *YAMLPanicError) Error() string { return "the YAML library cannot read this: " + e.Panic }

// decodeRecovering decodes a file, whose parsed content is body. It converts a panic of the YAML
// library to an error, since no settings file, whatever its content, may crash a program.
func decodeRecovering(data []byte, body ast.Node, into any) (err error) {
	defer func() {
		if p := recover(); p != nil {
			err = &YAMLPanicError{Panic: fmt.Sprint(p)}
		}
	}()
	err = yaml.NewDecoder(bytes.NewReader(data), decodeOptions()...).Decode(into)
	return locateTextError(err, body, into)
}

// sorted returns the findings in order of their positions.
func (r *Report) sorted() []Finding {
	slices.SortStableFunc(r.findings, func(a, b Finding) int {
		return cmp.Or(cmp.Compare(a.Line, b.Line), cmp.Compare(a.Column, b.Column))
	})
	return r.findings
}
