package settings

import (
	"encoding"
	"errors"
	"fmt"
	"reflect"
	"strings"

	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/ast"
)

// TextError reports a value that the UnmarshalText method of its type rejects. It adds
// the path of the field, as the YAML library returns such an error without a position.
type TextError struct {
	// Path is the path of the field, relative to the decoded node.
	Path string
	Err  error
}

// Error implements error.
func (e *TextError) Error() string { return e.Err.Error() }

// Unwrap returns the error of UnmarshalText.
func (e *TextError) Unwrap() error { return e.Err }

// locateTextError adds the field to an error from decoding a node into a value. It returns a
// *TextError, or the error unchanged if it has a position already, is a *DurationError
// (which AddError locates by its value) or no field is found.
func locateTextError(err error, n ast.Node, into any) error {
	var located yaml.Error
	var duration *DurationError
	if err == nil || errors.As(err, &located) || errors.As(err, &duration) {
		return err
	}
	if found := findTextError("", n, reflect.TypeOf(into)); found != nil {
		return found
	}
	return err
}

// textUnmarshaler is the type of encoding.TextUnmarshaler.
var textUnmarshaler = reflect.TypeFor[encoding.TextUnmarshaler]()

// findTextError returns the first error of UnmarshalText in a node that is decoded into a
// type, nil if there is none.
func findTextError(path string, n ast.Node, t reflect.Type) *TextError {
	for t.Kind() == reflect.Pointer {
		t = t.Elem()
	}
	if scalar, ok := n.(ast.ScalarNode); ok {
		return scalarTextError(path, scalar, t)
	}
	switch n := n.(type) {
	case *ast.MappingNode:
		for _, v := range n.Values {
			if found := valueTextError(path, v, t); found != nil {
				return found
			}
		}
	case *ast.MappingValueNode:
		return valueTextError(path, n, t)
	case *ast.SequenceNode:
		return itemTextError(path, n, t)
	}
	return nil
}

// scalarTextError calls UnmarshalText of the type, if it has the method, with a scalar.
func scalarTextError(path string, n ast.ScalarNode, t reflect.Type) *TextError {
	if n.Type() == ast.NullType || !reflect.PointerTo(t).Implements(textUnmarshaler) {
		return nil
	}
	value := reflect.New(t).Interface().(encoding.TextUnmarshaler)
	if err := value.UnmarshalText([]byte(fmt.Sprint(n.GetValue()))); err != nil {
		return &TextError{Path: path, Err: err}
	}
	return nil
}

// valueTextError is findTextError for the value of a mapping's key.
func valueTextError(path string, v *ast.MappingValueNode, t reflect.Type) *TextError {
	key := v.Key.GetToken().Value
	below, ok := memberType(t, key)
	if !ok {
		return nil
	}
	return findTextError(joinPath(path, key), v.Value, below)
}

// itemTextError is findTextError for the items of a list.
func itemTextError(path string, n *ast.SequenceNode, t reflect.Type) *TextError {
	if t.Kind() != reflect.Slice && t.Kind() != reflect.Array {
		return nil
	}
	for i, v := range n.Values {
		if found := findTextError(fmt.Sprintf("%s[%d]", path, i), v, t.Elem()); found != nil {
			return found
		}
	}
	return nil
}

// memberType returns the type of the value that a struct or map has for a key.
func memberType(t reflect.Type, key string) (reflect.Type, bool) {
	switch t.Kind() {
	case reflect.Map:
		return t.Elem(), true
	case reflect.Struct:
		for i := range t.NumField() {
			f := t.Field(i)
			name, _, _ := strings.Cut(f.Tag.Get("yaml"), ",")
			if f.IsExported() && name == key {
				return f.Type, true
			}
		}
	}
	return nil, false
}

// joinPath appends a field name, path or index to a path.
func joinPath(path, field string) string {
	if path == "" || field == "" || strings.HasPrefix(field, "[") {
		return path + field
	}
	return path + "." + field
}
