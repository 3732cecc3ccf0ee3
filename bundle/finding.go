package bundle

import (
	"fmt"
	"strings"
)

// Rule identifies the check that reported a Finding.
type Rule string

// The rules.
const (
	// RuleSyntax is invalid YAML, or a YAML feature that bundles do not allow.
	RuleSyntax Rule = "syntax"
	// RuleSize is a source or list that is larger or more deeply nested than
	// allowed.
	RuleSize Rule = "size"
	// RuleUnknownField is a key that is not in the schema.
	RuleUnknownField Rule = "unknown-field"
	// RuleDuplicateKey is a key that occurs twice in a mapping.
	RuleDuplicateKey Rule = "duplicate-key"
	// RuleType is a value of the wrong type.
	RuleType Rule = "type"
	// RuleName is a malformed name or version.
	RuleName Rule = "name"
	// RuleDuplicate is a name that occurs more than once in a list.
	RuleDuplicate Rule = "duplicate"
	// RuleReference is a reference to a name that is not declared.
	RuleReference Rule = "reference"
	// RuleMissing is a required value that is absent.
	RuleMissing Rule = "missing"
	// RuleMisplaced is a value that is not allowed in its place.
	RuleMisplaced Rule = "misplaced"
	// RuleRange is a number or duration out of range.
	RuleRange Rule = "range"
	// RuleInconsistent is a set of values that are valid alone but inconsistent
	// with each other.
	RuleInconsistent Rule = "sum"
	// RulePlugin is a malformed plug-in ID or one in the wrong namespace.
	RulePlugin Rule = "plugin"
)

// Finding is an error in the content of a bundle.
type Finding struct {
	// File is the source file, empty for content that was assembled from parts.
	File string
	// Line and Column are 1-based; both are 0 if the position is not known.
	Line, Column int
	// Path is the invalid field, for example "upstreams[3].models[0]".
	Path string
	Rule Rule
	// Problem describes the error, and Advice what is expected or how to fix it.
	Problem, Advice string
}

// String formats the finding as "file:line:column: path: problem; advice [rule]".
// The position is left out if there is no file, and the path if it is empty.
func (f Finding) String() string {
	var b strings.Builder
	if f.File != "" {
		fmt.Fprintf(&b, "%s:%d:%d: ", f.File, f.Line, f.Column)
	}
	if f.Path != "" {
		b.WriteString(f.Path + ": ")
	}
	fmt.Fprintf(&b, "%s; %s [%s]", f.Problem, f.Advice, f.Rule)
	return b.String()
}

// Findings is a list of findings. ParseSource sorts it by position in the source.
type Findings []Finding

// Err returns the findings as a *FindingsError, or nil if there are none.
func (f Findings) Err() error {
	if len(f) == 0 {
		return nil
	}
	return &FindingsError{Findings: f}
}

// FindingsError reports content that failed validation.
type FindingsError struct{ Findings Findings }

// Error implements error. The text has one line per finding.
func (e *FindingsError) Error() string {
	lines := make([]string, len(e.Findings))
	for i, f := range e.Findings {
		lines[i] = f.String()
	}
	return strings.Join(lines, "\n")
}
