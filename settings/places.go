package settings

import (
	"fmt"
	"strings"

	"github.com/goccy/go-yaml/ast"
)

// fieldPosition is the position of a field's key, or of a list item, in the file.
type fieldPosition struct {
	path string
	// line and column count from 1.
	line, column int
	// value is the value of the field if it is a scalar.
	value string
}

// fieldPositions lists the positions of all fields in the order of the file.
type fieldPositions []fieldPosition

// walk adds the fields of a node and of all its descendants.
func (p *fieldPositions) walk(path string, n ast.Node) {
	switch n := n.(type) {
	case *ast.MappingNode:
		for _, v := range n.Values {
			p.walkValue(path, v)
		}
	case *ast.MappingValueNode:
		p.walkValue(path, n)
	case *ast.SequenceNode:
		for i, v := range n.Values {
			childPath := fmt.Sprintf("%s[%d]", path, i)
			p.add(childPath, v, v)
			p.walk(childPath, v)
		}
	}
}

// walkValue adds a key and the fields of its value.
func (p *fieldPositions) walkValue(path string, v *ast.MappingValueNode) {
	childPath := v.Key.GetToken().Value
	if path != "" {
		childPath = path + "." + childPath
	}
	p.add(childPath, v.Key, v.Value)
	p.walk(childPath, v.Value)
}

// add adds a field; its position is that of the node key.
func (p *fieldPositions) add(path string, key, value ast.Node) {
	t := key.GetToken()
	if t == nil || t.Position == nil {
		return
	}
	at := fieldPosition{path: path, line: t.Position.Line, column: t.Position.Column}
	if scalar, ok := value.(ast.ScalarNode); ok {
		at.value = fmt.Sprint(scalar.GetValue())
	}
	*p = append(*p, at)
}

// nearest returns the position of a field or, if the file doesn't contain it, of its
// innermost parent that the file contains. The default is the start of the file.
func (p fieldPositions) nearest(path string) fieldPosition {
	for path != "" {
		for _, at := range p {
			if at.path == path {
				return at
			}
		}
		path = parentPath(path)
	}
	return fieldPosition{line: 1, column: 1}
}

// fieldAt returns the path of the last field on a line that starts at or before a column,
// empty if there is none.
func (p fieldPositions) fieldAt(line, column int) string {
	found := ""
	for _, at := range p {
		if at.line == line && at.column <= column {
			found = at.path
		}
	}
	return found
}

// fieldWithValue returns the path of the first field with the given value whose path has
// the prefix path, or path itself if there is none.
func (p fieldPositions) fieldWithValue(path, value string) string {
	for _, at := range p {
		if at.value == value && strings.HasPrefix(at.path, path) {
			return at.path
		}
	}
	return path
}

// parentPath returns a path without its last field name or index.
func parentPath(path string) string {
	i := strings.LastIndexAny(path, ".[")
	if i < 0 {
		return ""
	}
	return path[:i]
}
