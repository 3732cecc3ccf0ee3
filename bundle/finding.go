package bundle

import (
	"fmt"
	"strings"
)

// Rule names the check that a Finding comes from.
type Rule string

// The rules.
const (
	// RuleSyntax is broken YAML, or YAML that bundles do not use.
	RuleSyntax Rule = "syntax"
	// RuleSize is a source that is larger or deeper than allowed.
	RuleSize Rule = "size"
	// RuleUnknownField is a key that the schema does not have.
	RuleUnknownField Rule = "unknown-field"
	// RuleDuplicateKey is a key given twice in one mapping.
	RuleDuplicateKey Rule = "duplicate-key"
	// RuleType is a value of the wrong type.
	RuleType Rule = "type"
	// RuleName is a name that ident.ValidName refuses.
	RuleName Rule = "name"
	// RuleDuplicate is a name given to two entries of one list.
	RuleDuplicate Rule = "duplicate"
	// RuleReference is a name that no entry has.
	RuleReference Rule = "reference"
	// RuleMissing is a value that must be given.
	RuleMissing Rule = "missing"
	// RuleMisplaced is a value that does not belong where it is given.
	RuleMisplaced Rule = "misplaced"
	// RuleRange is a number or duration outside its bounds.
	RuleRange Rule = "range"
	// RuleSum is a set of values that cannot hold together.
	RuleSum Rule = "sum"
	// RulePlugin is a malformed plug-in ID or one of the wrong namespace.
	RulePlugin Rule = "plugin"
)

// Finding is one fault in a bundle's content.
type Finding struct {
	// File is the source file; empty for content that came as parts.
	File string
	// Line and Column count from 1; 0 where the position is not known.
	Line, Column int
	// Path is the field at fault, for example "upstreams[3].models[0]".
	Path string
	Rule Rule
	// Wrong says what is wrong, and Right what would be right.
	Wrong, Right string
}

// String renders the finding as "file:line:column: path: wrong; right [rule]".
func (f Finding) String() string {
	var b strings.Builder
	if f.File != "" {
		fmt.Fprintf(&b, "%s:%d:%d: ", f.File, f.Line, f.Column)
	}
	if f.Path != "" {
		b.WriteString(f.Path + ": ")
	}
	fmt.Fprintf(&b, "%s; %s [%s]", f.Wrong, f.Right, f.Rule)
	return b.String()
}

// Findings lists every fault found, in the order of the source.
type Findings []Finding

// Err returns the findings as a *FindingsError, or nil if there are none.
func (f Findings) Err() error {
	if len(f) == 0 {
		return nil
	}
	return &FindingsError{Findings: f}
}

// FindingsError reports content that failed its checks.
type FindingsError struct{ Findings Findings }

// Error implements error. It holds one line per finding.
func (e *FindingsError) Error() string {
	lines := make([]string, len(e.Findings))
	for i, f := range e.Findings {
		lines[i] = f.String()
	}
	return strings.Join(lines, "\n")
}
