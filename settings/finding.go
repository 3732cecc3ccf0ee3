// Package settings reads the YAML settings files of wardspool's programs. The
// reading is strict: an unknown key, a value of the wrong type and a key given
// twice are faults. Each fault is a Finding that says where it is and what to do.
package settings

import (
	"fmt"
	"strings"
)

// Finding is one fault in a settings file.
type Finding struct {
	File string
	// Line and Column count from 1.
	Line, Column int
	// Field is the path of the field at fault, for example "limits.body_bytes";
	// empty for the file as a whole.
	Field string
	// Wrong says what is wrong, and Advice what would be right.
	Wrong, Advice string
}

// String renders the finding as "file:line:column: field: wrong; advice".
func (f Finding) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s:%d:%d: ", f.File, f.Line, f.Column)
	if f.Field != "" {
		b.WriteString(f.Field + ": ")
	}
	b.WriteString(f.Wrong)
	if f.Advice != "" {
		b.WriteString("; " + f.Advice)
	}
	return b.String()
}

// InvalidError reports a settings file with faults.
type InvalidError struct{ Findings []Finding }

// Error implements error. It holds one line per finding.
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
