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

// MaxSourceBytes bounds a YAML source file.
const MaxSourceBytes = 4 << 20

// maxSourceDepth bounds how deep a source may nest, in brackets and block
// indicators. The schema needs seven; the parser recurses, so the depth is
// bounded before it runs.
const maxSourceDepth = 32

// ParseSource reads a bundle's YAML source and checks it as a whole. It returns
// every fault it finds, with the position of each; the content is nil if there
// is one. The name is used in findings only.
func ParseSource(name string, b []byte) (*config.Content, Findings) {
	w := &walker{positions: map[string]position{}}
	content := w.read(b)
	if content != nil {
		w.addChecks(Check(content))
	}
	w.locate(name)
	if len(w.findings) > 0 {
		return nil, w.findings
	}
	return content, nil
}

// read decodes the source. It returns nil if there is no tree to walk.
func (w *walker) read(b []byte) *config.Content {
	if len(b) > MaxSourceBytes {
		w.add("", RuleSize, fmt.Sprintf("the source has %d bytes", len(b)), fmt.Sprintf("at most %d", MaxSourceBytes))
		return nil
	}
	root, ok := w.parse(b)
	if !ok {
		return nil
	}
	w.positions[""] = position{line: 1, column: 1}
	var content config.Content
	w.value("", root, reflect.ValueOf(&content).Elem())
	return &content
}

// parse returns the root of the source's only document.
func (w *walker) parse(b []byte) (ast.Node, bool) {
	tokens := lexer.Tokenize(string(b))
	if at, deep := tooDeep(tokens); deep {
		w.positions[""] = at
		w.add("", RuleSize, "the source nests too deep", fmt.Sprintf("at most %d levels", maxSourceDepth))
		return nil, false
	}
	file, err := parser.Parse(tokens, 0, parser.AllowDuplicateMapKey())
	if err != nil {
		w.addSyntax(err)
		return nil, false
	}
	docs := slices.DeleteFunc(file.Docs, func(d *ast.DocumentNode) bool { return d.Body == nil })
	if len(docs) != 1 {
		w.add("", RuleSyntax, fmt.Sprintf("the source holds %d YAML documents", len(docs)), "one bundle is one document")
		return nil, false
	}
	return docs[0].Body, true
}

// addSyntax reports what the YAML parser said.
func (w *walker) addSyntax(err error) {
	wrong := err.Error()
	var located yaml.Error
	if errors.As(err, &located) {
		wrong = located.GetMessage()
		w.positions[""] = tokenPosition(located.GetToken())
	}
	w.add("", RuleSyntax, "not YAML: "+wrong, "see examples/ for the form")
}

// tooDeep reports whether the source nests deeper than maxSourceDepth, and
// where. Flow brackets nest until closed; block sequences nest by their dashes
// and block mappings by the columns of their keys.
func tooDeep(tokens token.Tokens) (position, bool) {
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

// pushColumn adds an indicator's column to the stack of open blocks, closing
// those that stood at or right of it.
func pushColumn(columns []int, column int) []int {
	for len(columns) > 0 && columns[len(columns)-1] >= column {
		columns = columns[:len(columns)-1]
	}
	return append(columns, column)
}

// position is a place in the source, counted from 1.
type position struct{ line, column int }

func tokenPosition(t *token.Token) position {
	if t == nil || t.Position == nil {
		return position{}
	}
	return position{line: t.Position.Line, column: t.Position.Column}
}

// addChecks adds the faults that Check found, except at fields that are already
// reported: a value that could not be read is not also out of range.
func (w *walker) addChecks(found Findings) {
	reported := map[string]bool{}
	for _, f := range w.findings {
		reported[f.Path] = true
	}
	for _, f := range found {
		if !underReported(reported, f.Path) {
			w.findings = append(w.findings, f)
		}
	}
}

// underReported reports whether path or a field that holds it is in reported.
func underReported(reported map[string]bool, path string) bool {
	for path != "" && !reported[path] {
		path = parentPath(path)
	}
	return reported[path]
}

// parentPath drops the last field or index of a path.
func parentPath(path string) string {
	i := strings.LastIndexAny(path, ".[")
	if i < 0 {
		return ""
	}
	return path[:i]
}

// locate fills in where each finding is and sorts them by position.
func (w *walker) locate(file string) {
	for i := range w.findings {
		f := &w.findings[i]
		f.File = file
		if f.Line == 0 {
			at := w.nearest(f.Path)
			f.Line, f.Column = at.line, at.column
		}
	}
	slices.SortStableFunc(w.findings, func(a, b Finding) int {
		return cmp.Or(cmp.Compare(a.Line, b.Line), cmp.Compare(a.Column, b.Column))
	})
}

// nearest returns the position of path, or of the nearest field that holds it.
func (w *walker) nearest(path string) position {
	for {
		if at, ok := w.positions[path]; ok {
			return at
		}
		if path == "" {
			return position{line: 1, column: 1}
		}
		path = parentPath(path)
	}
}
