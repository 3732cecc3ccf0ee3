package settings

import (
	"fmt"
	"strings"

	"github.com/goccy/go-yaml/ast"
)

// place is a position in a file, counted from 1.
type place struct{ line, column int }

// places maps the path of each field to where its key stands.
type places map[string]place

// walk notes the fields of a node and of all nodes below.
func (p places) walk(path string, n ast.Node) {
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
			p.note(below, v)
			p.walk(below, v)
		}
	}
}

// walkValue notes one key and what it holds.
func (p places) walkValue(path string, v *ast.MappingValueNode) {
	below := v.Key.GetToken().Value
	if path != "" {
		below = path + "." + below
	}
	p.note(below, v.Key)
	p.walk(below, v.Value)
}

func (p places) note(path string, n ast.Node) {
	if t := n.GetToken(); t != nil && t.Position != nil {
		p[path] = place{t.Position.Line, t.Position.Column}
	}
}

// nearest returns the place of a field, or of the nearest one that holds it.
func (p places) nearest(path string) place {
	for path != "" {
		if at, ok := p[path]; ok {
			return at
		}
		path = parent(path)
	}
	return place{1, 1}
}

// at returns the path of the last field that stands on the line of a place, at
// or before it.
func (p places) at(where place) string {
	best, found := place{}, ""
	for path, at := range p {
		if at.line != where.line || at.column > where.column {
			continue
		}
		if found == "" || at.column > best.column {
			best, found = at, path
		}
	}
	return found
}

// parent drops the last field or index of a path.
func parent(path string) string {
	i := strings.LastIndexAny(path, ".[")
	if i < 0 {
		return ""
	}
	return path[:i]
}
