// Package settings loads the YAML settings files of wardspool's programs.
// Decoding is strict: unknown keys, values of the wrong type and duplicate keys
// are errors. Each error is a Finding with its position in the file and advice on
// how to correct it.
package settings

import (
	"fmt"
	"strings"
)

// Finding is an error in a settings file.
type Finding struct {
	File string
	// Line and Column count from 1.
	Line, Column int
	// Field is the path of the invalid field, for example "limits.body_bytes". It
	// is empty if the finding concerns the whole file.
	Field string
	// Problem describes the error, Advice how to correct it.
	Problem, Advice string
}

// String formats the finding as "file:line:column: field: message; advice".
func (f Finding) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s:%d:%d: ", f.File, f.Line, f.Column)
	if f.Field != "" {
		b.WriteString(f.Field + ": ")
	}
	b.WriteString(f.Problem)
	if f.Advice != "" {
		b.WriteString("; " + f.Advice)
	}
	return b.String()
}

// InvalidError reports an invalid settings file.
type InvalidError struct{ Findings []Finding }

// Error implements error. The message has one line per finding.
func (e *InvalidError) Error() string {
	lines := make([]string, len(e.Findings))
	for i, f := range e.Findings {
		lines[i] = f.String()
	}
	return strings.Join(lines, "\n")
}

// ReadError reports a settings file that could not be read.
type ReadError struct {
	File string
	Err  error
}

// Error implements error.
func (e *ReadError) Error() string { return fmt.Sprintf("settings file %s: %v", e.File, e.Err) }

// Unwrap returns the cause.
func (e *ReadError) Unwrap() error { return e.Err }
