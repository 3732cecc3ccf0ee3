package settings

import (
	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/ast"
)

// Section is a part of a settings file that is decoded later, once its type is
// known, such as the settings of a plug-in.
type Section struct{ node ast.Node }

// UnmarshalYAML implements yaml.NodeUnmarshaler.
func (s *Section) UnmarshalYAML(n ast.Node) error {
	s.node = n
	return nil
}

// Decode strictly decodes the section. An empty section leaves into unchanged.
func (s Section) Decode(into any) error {
	if s.node == nil || s.node.Type() == ast.NullType {
		return nil
	}
	return locateTextError(yaml.NodeToValue(s.node, into, decodeOptions()...), s.node, into)
}
