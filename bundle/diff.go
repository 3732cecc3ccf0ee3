package bundle

import (
	"fmt"
	"reflect"
	"strings"
	"time"

	"github.com/wardspool/wardspool/config"
)

// Change is a field that differs between two contents. List entries are matched
// by name, so moving an entry is not a change. The order of kinds is compared
// separately, because the first kind is the default.
type Change struct {
	// Path identifies the field, for example "workspaces[estates].weight".
	Path string
	// Before and After are the formatted values, empty if the field is absent.
	Before, After string
}

// String formats the change as a line that starts with "+" for an added, "-" for
// a removed and "~" for a changed field.
func (c Change) String() string {
	switch {
	case c.Before == "":
		return fmt.Sprintf("+ %s: %s", c.Path, c.After)
	case c.After == "":
		return fmt.Sprintf("- %s: %s", c.Path, c.Before)
	default:
		return fmt.Sprintf("~ %s: %s -> %s", c.Path, c.Before, c.After)
	}
}

// Diff returns the changes from one content to another: first the changed and
// removed fields, in the order of before, then the added fields.
func Diff(before, after *config.Content) []Change {
	a, b := flatten(before), flatten(after)
	oldValues, newValues := a.byPath(), b.byPath()
	var changes []Change
	for _, f := range a.fields {
		if newValues[f.path] != f.value {
			changes = append(changes, Change{Path: f.path, Before: f.value, After: newValues[f.path]})
		}
	}
	for _, f := range b.fields {
		if _, ok := oldValues[f.path]; !ok {
			changes = append(changes, Change{Path: f.path, After: f.value})
		}
	}
	return changes
}

// field is a scalar, or a list of scalars, of a content with its formatted value.
type field struct{ path, value string }

// flattener collects the non-zero fields of a content by reflection.
type flattener struct{ fields []field }

func flatten(c *config.Content) *flattener {
	f := &flattener{}
	f.addStruct("", reflect.ValueOf(*c))
	names := make([]string, len(c.Kinds))
	for i, k := range c.Kinds {
		names[i] = k.Name
	}
	f.addField("order of kinds", strings.Join(names, ", "))
	return f
}

func (f *flattener) byPath() map[string]string {
	m := make(map[string]string, len(f.fields))
	for _, x := range f.fields {
		m[x.path] = x.value
	}
	return m
}

func (f *flattener) addField(path, value string) {
	f.fields = append(f.fields, field{path: path, value: value})
}

func (f *flattener) addStruct(path string, v reflect.Value) {
	for i := range v.NumField() {
		f.addValue(joinPath(path, yamlKey(v.Type().Field(i))), v.Field(i))
	}
}

func (f *flattener) addValue(path string, v reflect.Value) {
	switch {
	case v.IsZero():
	case v.Kind() == reflect.Struct:
		f.addStruct(path, v)
	case v.Kind() == reflect.Slice && v.Type().Elem().Kind() == reflect.Struct:
		for i := range v.Len() {
			entry := v.Index(i)
			// The first field of each entry type is its name.
			name := fmt.Sprint(entry.Field(0).Interface())
			f.addStruct(fmt.Sprintf("%s[%s]", path, name), entry)
		}
	case v.Kind() == reflect.Slice:
		f.addField(path, joinValues(v))
	default:
		f.addField(path, formatValue(v))
	}
}

func joinValues(v reflect.Value) string {
	values := make([]string, v.Len())
	for i := range values {
		values[i] = formatValue(v.Index(i))
	}
	return strings.Join(values, ", ")
}

func formatValue(v reflect.Value) string {
	if d, ok := v.Interface().(time.Duration); ok {
		return d.String()
	}
	return fmt.Sprint(v.Interface())
}
