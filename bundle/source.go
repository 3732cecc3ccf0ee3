package bundle

import (
	"cmp"
	"errors"
	"fmt"
	"reflect"
	"slices"
	"strings"

	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/ast"
	"github.com/goccy/go-yaml/lexer"
	"github.com/goccy/go-yaml/parser"
	"github.com/goccy/go-yaml/token"

	"github.com/wardspool/wardspool/config"
)

// MaxSourceBytes is the maximum size of a YAML source file.
const MaxSourceBytes = 4 << 20

// maxSourceDepth is the maximum nesting depth of a source, in brackets and block
// indicators. The schema needs seven levels. The YAML parser is recursive, so the
// depth is checked before it runs.
const maxSourceDepth = 32

// ParseSource parses and validates the YAML source of a bundle. It returns all
// findings with their positions, sorted; the content is nil if there are any. The
// name is used only in findings.
func ParseSource(name string, b []byte) (*config.Content, Findings) {
	dec := &sourceDecoder{positions: map[string]position{}}
	content := dec.decode(b)
	if content != nil {
		dec.addChecks(Check(content))
	}
	dec.setPositions(name)
	if len(dec.findings) > 0 {
		return nil, dec.findings
	}
	return content, nil
}

// decode decodes the source. It returns nil if the source can't be parsed.
func (dec *sourceDecoder) decode(b []byte) *config.Content {
	if len(b) > MaxSourceBytes {
		dec.add("", RuleSize, fmt.Sprintf("the source has %d bytes", len(b)), fmt.Sprintf("at most %d", MaxSourceBytes))
		return nil
	}
	root, ok := dec.parse(b)
	if !ok {
		return nil
	}
	dec.positions[""] = position{line: 1, column: 1}
	var content config.Content
	dec.decodeValue("", root, reflect.ValueOf(&content).Elem())
	return &content
}

// parse returns the root of the YAML document. A source must contain exactly one.
func (dec *sourceDecoder) parse(b []byte) (ast.Node, bool) {
	tokens := lexer.Tokenize(string(b))
	if at, deep := exceedsDepth(tokens); deep {
		dec.positions[""] = at
		dec.add("", RuleSize, "the source nests too deep", fmt.Sprintf("at most %d levels", maxSourceDepth))
		return nil, false
	}
	file, err := parser.Parse(tokens, 0, parser.AllowDuplicateMapKey())
	if err != nil {
		dec.addSyntax(err)
		return nil, false
	}
	docs := slices.DeleteFunc(file.Docs, func(d *ast.DocumentNode) bool { return d.Body == nil })
	if len(docs) != 1 {
		dec.add("", RuleSyntax, fmt.Sprintf("the source holds %d YAML documents", len(docs)), "one bundle is one document")
		return nil, false
	}
	return docs[0].Body, true
}

// addSyntax adds a finding for an error of the YAML parser.
func (dec *sourceDecoder) addSyntax(err error) {
	problem := err.Error()
	var located yaml.Error
	if errors.As(err, &located) {
		problem = located.GetMessage()
		dec.positions[""] = tokenPosition(located.GetToken())
	}
	dec.add("", RuleSyntax, "not YAML: "+problem, "see examples/ for the form")
}

// exceedsDepth reports whether the nesting depth of the source exceeds
// maxSourceDepth, and the position where it does. Flow collections nest by their
// brackets, block sequences by the columns of their dashes, and block mappings by
// those of their keys.
func exceedsDepth(tokens token.Tokens) (position, bool) {
	flow := 0
	var columns []int
	for _, t := range tokens {
		switch t.Type {
		case token.SequenceStartType, token.MappingStartType:
			flow++
		case token.SequenceEndType, token.MappingEndType:
			flow--
		case token.SequenceEntryType, token.MappingValueType, token.MappingKeyType:
			columns = pushColumn(columns, t.Position.Column)
		}
		if flow+len(columns) > maxSourceDepth {
			return tokenPosition(t), true
		}
	}
	return position{}, false
}

// pushColumn pushes the column of an indicator on the stack of open blocks, after
// removing the blocks at the same column or to the right of it.
func pushColumn(columns []int, column int) []int {
	for len(columns) > 0 && columns[len(columns)-1] >= column {
		columns = columns[:len(columns)-1]
	}
	return append(columns, column)
}

// position is a 1-based position in the source.
type position struct{ line, column int }

func tokenPosition(t *token.Token) position {
	if t == nil || t.Position == nil {
		return position{}
	}
	return position{line: t.Position.Line, column: t.Position.Column}
}

// addChecks adds the findings of Check, except for fields that already have one
// and fields inside them: a value that could not be decoded must not be reported as
// out of range as well.
func (dec *sourceDecoder) addChecks(found Findings) {
	reported := map[string]bool{}
	for _, f := range dec.findings {
		reported[f.Path] = true
	}
	for _, f := range found {
		if !isReported(reported, f.Path) {
			dec.findings = append(dec.findings, f)
		}
	}
}

// isReported reports whether path or one of its parents is in reported.
func isReported(reported map[string]bool, path string) bool {
	for path != "" && !reported[path] {
		path = parentPath(path)
	}
	return reported[path]
}

// parentPath removes the last field or index from a path.
func parentPath(path string) string {
	i := strings.LastIndexAny(path, ".[")
	if i < 0 {
		return ""
	}
	return path[:i]
}

// setPositions sets the file and position of each finding, and sorts the findings
// by position.
func (dec *sourceDecoder) setPositions(file string) {
	for i := range dec.findings {
		f := &dec.findings[i]
		f.File = file
		if f.Line == 0 {
			at := dec.nearestPosition(f.Path)
			f.Line, f.Column = at.line, at.column
		}
	}
	slices.SortStableFunc(dec.findings, func(a, b Finding) int {
		return cmp.Or(cmp.Compare(a.Line, b.Line), cmp.Compare(a.Column, b.Column))
	})
}

// nearestPosition returns the position of path, or of its nearest parent with a
// position.
func (dec *sourceDecoder) nearestPosition(path string) position {
	for {
		if at, ok := dec.positions[path]; ok {
			return at
		}
		if path == "" {
			return position{line: 1, column: 1}
		}
		path = parentPath(path)
	}
}
