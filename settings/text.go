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

// TextError reports a value that its type's UnmarshalText refuses. The YAML library
// passes such an error on without its place.
type TextError struct {
	// Path is the field's, from where decoding began.
	Path string
	Err  error
}

// Error implements error.
func (e *TextError) Error() string { return e.Err.Error() }

// Unwrap returns what UnmarshalText gave.
func (e *TextError) Unwrap() error { return e.Err }

// placed finds the field of an error that decoding a node into a value gave. It
// returns a *TextError, or the error as it is if it has a place or none is found.
func placed(err error, n ast.Node, into any) error {
	var located yaml.Error
	var duration *DurationError
	if err == nil || errors.As(err, &located) || errors.As(err, &duration) {
		return err
	}
	if found := textFault("", n, reflect.TypeOf(into)); found != nil {
		return found
	}
	return err
}

// textUnmarshaler is the interface of types that read themselves from text.
var textUnmarshaler = reflect.TypeFor[encoding.TextUnmarshaler]()

// textFault returns the first fault of a text in a node that is decoded into a type,
// nil if there is none.
func textFault(path string, n ast.Node, t reflect.Type) *TextError {
	for t.Kind() == reflect.Pointer {
		t = t.Elem()
	}
	if scalar, ok := n.(ast.ScalarNode); ok {
		return scalarFault(path, scalar, t)
	}
	switch n := n.(type) {
	case *ast.MappingNode:
		for _, v := range n.Values {
			if found := valueFault(path, v, t); found != nil {
				return found
			}
		}
	case *ast.MappingValueNode:
		return valueFault(path, n, t)
	case *ast.SequenceNode:
		return itemFault(path, n, t)
	}
	return nil
}

// scalarFault tries a text on its type.
func scalarFault(path string, n ast.ScalarNode, t reflect.Type) *TextError {
	if n.Type() == ast.NullType || !reflect.PointerTo(t).Implements(textUnmarshaler) {
		return nil
	}
	value := reflect.New(t).Interface().(encoding.TextUnmarshaler)
	if err := value.UnmarshalText([]byte(fmt.Sprint(n.GetValue()))); err != nil {
		return &TextError{Path: path, Err: err}
	}
	return nil
}

// valueFault looks below one key of a mapping.
func valueFault(path string, v *ast.MappingValueNode, t reflect.Type) *TextError {
	key := v.Key.GetToken().Value
	below, ok := memberType(t, key)
	if !ok {
		return nil
	}
	return textFault(joined(path, key), v.Value, below)
}

// itemFault looks below the items of a list.
func itemFault(path string, n *ast.SequenceNode, t reflect.Type) *TextError {
	if t.Kind() != reflect.Slice && t.Kind() != reflect.Array {
		return nil
	}
	for i, v := range n.Values {
		if found := textFault(fmt.Sprintf("%s[%d]", path, i), v, t.Elem()); found != nil {
			return found
		}
	}
	return nil
}

// memberType returns the type of what a struct or a map holds under a key.
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

// joined returns the path of a field below another.
func joined(path, field string) string {
	if path == "" || field == "" || strings.HasPrefix(field, "[") {
		return path + field
	}
	return path + "." + field
}
