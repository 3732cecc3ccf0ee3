package settings

import (
	"fmt"
	"strings"

	"github.com/goccy/go-yaml/ast"
)

// place is a field and where its key, or its item of a list, stands.
type place struct {
	path string
	// line and column count from 1.
	line, column int
	// value is the field's value, if that is a scalar.
	value string
}

// places lists the fields of a file in its order.
type places []place

// walk notes the fields of a node and of all nodes below.
func (p *places) walk(path string, n ast.Node) {
	switch n := n.(type) {
	case *ast.MappingNode:
		for _, v := range n.Values {
			p.walkValue(path, v)
		}
	case *ast.MappingValueNode:
		p.walkValue(path, n)
	case *ast.SequenceNode:
		for i, v := range n.Values {
			below := fmt.Sprintf("%s[%d]", path, i)
			p.note(below, v, v)
			p.walk(below, v)
		}
	}
}

// walkValue notes one key and what it holds.
func (p *places) walkValue(path string, v *ast.MappingValueNode) {
	below := v.Key.GetToken().Value
	if path != "" {
		below = path + "." + below
	}
	p.note(below, v.Key, v.Value)
	p.walk(below, v.Value)
}

// note adds a field whose key stands at a node.
func (p *places) note(path string, key, value ast.Node) {
	t := key.GetToken()
	if t == nil || t.Position == nil {
		return
	}
	at := place{path: path, line: t.Position.Line, column: t.Position.Column}
	if scalar, ok := value.(ast.ScalarNode); ok {
		at.value = fmt.Sprint(scalar.GetValue())
	}
	*p = append(*p, at)
}

// nearest returns the place of a field, or of the nearest one that holds it.
func (p places) nearest(path string) place {
	for path != "" {
		for _, at := range p {
			if at.path == path {
				return at
			}
		}
		path = parent(path)
	}
	return place{line: 1, column: 1}
}

// at returns the path of the last field that stands on a line, at or before a
// column.
func (p places) at(line, column int) string {
	found := ""
	for _, at := range p {
		if at.line == line && at.column <= column {
			found = at.path
		}
	}
	return found
}

// holding returns the path of the first field below a path that has a value,
// or the path itself if there is none.
func (p places) holding(path, value string) string {
	for _, at := range p {
		if at.value == value && strings.HasPrefix(at.path, path) {
			return at.path
		}
	}
	return path
}

// parent drops the last field or index of a path.
func parent(path string) string {
	i := strings.LastIndexAny(path, ".[")
	if i < 0 {
		return ""
	}
	return path[:i]
}
