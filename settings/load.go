package settings

import (
	"bytes"
	"cmp"
	"errors"
	"io"
	"os"
	"slices"

	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/ast"
	"github.com/goccy/go-yaml/parser"
)

// maxFileBytes bounds a settings file.
const maxFileBytes = 1 << 20

// Checker is implemented by settings that check themselves after decoding.
type Checker interface {
	// CheckSettings reports each fault to r.
	CheckSettings(r *Report)
}

// Defaulter is implemented by settings that have defaults. SetDefaults is
// called before decoding.
type Defaulter interface{ SetDefaults() }

// Load reads a settings file into a T. Errors are *ReadError and *InvalidError.
func Load[T any](file string) (*T, error) {
	data, err := readFile(file)
	if err != nil {
		return nil, &ReadError{File: file, Err: err}
	}
	return Parse[T](file, data)
}

// TooLargeError reports a settings file beyond its limit.
type TooLargeError struct{ Limit int }

// Error implements error.
func (*TooLargeError) Error() string { return "file is too large" }

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

// Parse decodes and checks settings; the file's name is used in findings only.
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

// Report collects the findings of one file.
type Report struct {
	file     string
	places   places
	findings []Finding
}

// Add reports a fault of the field at a path such as "static.upstreams[2].id".
func (r *Report) Add(field, wrong, advice string) {
	at := r.places.nearest(field)
	r.findings = append(r.findings, Finding{
		File: r.file, Line: at.line, Column: at.column,
		Field: field, Wrong: wrong, Advice: advice,
	})
}

// AddError reports an error that decoding a part of the file gave.
func (r *Report) AddError(field string, err error) {
	var located yaml.Error
	if !errors.As(err, &located) || located.GetToken() == nil {
		r.Add(field, err.Error(), "")
		return
	}
	at := located.GetToken().Position
	if found := r.places.at(place{at.Line, at.Column}); found != "" {
		field = found
	}
	r.findings = append(r.findings, Finding{
		File: r.file, Line: at.Line, Column: at.Column,
		Field: field, Wrong: located.GetMessage(), Advice: "see docs/settings.md",
	})
}

// decode fills in the settings. It reports false after a fault.
func (r *Report) decode(data []byte, into any) bool {
	file, err := parser.ParseBytes(data, 0)
	if err != nil {
		r.AddError("", err)
		return false
	}
	var body ast.Node
	if len(file.Docs) > 0 {
		body = file.Docs[0].Body
	}
	if body == nil {
		r.Add("", "the file is empty", "see docs/settings.md")
		return false
	}
	r.places = places{}
	r.places.walk("", body)
	err = yaml.NewDecoder(bytes.NewReader(data), yaml.Strict()).Decode(into)
	if err != nil {
		r.AddError("", err)
		return false
	}
	return true
}

// sorted returns the findings in the order of the file.
func (r *Report) sorted() []Finding {
	slices.SortStableFunc(r.findings, func(a, b Finding) int {
		return cmp.Or(cmp.Compare(a.Line, b.Line), cmp.Compare(a.Column, b.Column))
	})
	return r.findings
}
