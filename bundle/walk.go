package bundle

import (
	"fmt"
	"math"
	"reflect"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/goccy/go-yaml/ast"
)

// walker decodes a YAML tree into the typed content. Unlike the decoder of the YAML
// library, which stops at the first error, it continues, so that an operator sees
// all errors at once. It also records the position of each field.
type walker struct {
	positions map[string]position
	findings  Findings
}

var durationType = reflect.TypeFor[time.Duration]()

func (w *walker) add(path string, rule Rule, wrong, right string) {
	w.findings = append(w.findings, Finding{Path: path, Rule: rule, Wrong: wrong, Right: right})
}

// addAt adds a finding at the position of a node. Unknown and duplicate keys need
// it: the path of an unknown key has no recorded position, and that of a duplicate
// key has the position of the first occurrence.
func (w *walker) addAt(n ast.Node, path string, rule Rule, wrong, right string) {
	at := tokenPosition(n.GetToken())
	w.findings = append(w.findings, Finding{
		Line: at.line, Column: at.column, Path: path, Rule: rule, Wrong: wrong, Right: right,
	})
}

// value decodes a node into the field at path.
func (w *walker) value(path string, n ast.Node, into reflect.Value) {
	if _, seen := w.positions[path]; !seen {
		w.positions[path] = tokenPosition(n.GetToken())
	}
	if w.refusedNode(path, n) {
		return
	}
	switch {
	case into.Kind() == reflect.Struct:
		w.mapping(path, n, into)
	case into.Kind() == reflect.Slice:
		w.sequence(path, n, into)
	default:
		w.scalar(path, n, into)
	}
}

// refusedNode reports whether a node is of a type that bundles do not allow, and
// adds a finding for it. Anchors, aliases, tags and directives are not allowed
// because a person who reads the source must see the same content as the program
// that signs it. Null values are reported as missing.
func (w *walker) refusedNode(path string, n ast.Node) bool {
	const right = "write the value out"
	switch n.Type() {
	case ast.AnchorType, ast.AliasType, ast.MergeKeyType:
		w.add(path, RuleSyntax, "anchors and aliases are not used in bundles", right)
	case ast.TagType, ast.DirectiveType:
		w.add(path, RuleSyntax, "tags and directives are not used in bundles", right)
	case ast.NullType:
		w.add(path, RuleMissing, "there is no value", "give one or leave the key out")
	default:
		return false
	}
	return true
}

func (w *walker) mapping(path string, n ast.Node, into reflect.Value) {
	m, ok := n.(ast.MapNode)
	if !ok {
		w.add(path, RuleType, "found "+describe(n), "a mapping with the keys "+knownKeys(into.Type()))
		return
	}
	seen := map[string]bool{}
	for it := m.MapRange(); it.Next(); {
		key := it.Key()
		name := keyText(key)
		at := joinPath(path, name)
		field, known := fieldByKey(into, name)
		switch {
		case !known:
			w.addAt(key, at, RuleUnknownField, fmt.Sprintf("there is no key %q here", name), "the keys are "+knownKeys(into.Type()))
		case seen[name]:
			w.addAt(key, at, RuleDuplicateKey, fmt.Sprintf("the key %q is given twice", name), "keep one of them")
		default:
			w.positions[at] = tokenPosition(key.GetToken())
			w.value(at, it.Value(), field)
		}
		seen[name] = true
	}
}

func (w *walker) sequence(path string, n ast.Node, into reflect.Value) {
	s, ok := n.(*ast.SequenceNode)
	if !ok {
		w.add(path, RuleType, "found "+describe(n), "a list")
		return
	}
	into.Set(reflect.MakeSlice(into.Type(), len(s.Values), len(s.Values)))
	for i, v := range s.Values {
		w.value(fmt.Sprintf("%s[%d]", path, i), v, into.Index(i))
	}
}

func (w *walker) scalar(path string, n ast.Node, into reflect.Value) {
	if into.Type() == durationType {
		w.duration(path, n, into)
		return
	}
	switch into.Kind() {
	case reflect.String:
		w.text(path, n, into)
	case reflect.Bool:
		if b, ok := n.(*ast.BoolNode); ok {
			into.SetBool(b.Value)
			return
		}
		w.add(path, RuleType, "found "+describe(n), "true or false")
	case reflect.Int, reflect.Int64:
		w.integer(path, n, into)
	case reflect.Float64:
		w.float(path, n, into)
	}
}

func (w *walker) text(path string, n ast.Node, into reflect.Value) {
	s, ok := n.(*ast.StringNode)
	if !ok {
		w.add(path, RuleType, "found "+describe(n), "text; put it in quotes if it looks like a number")
		return
	}
	into.SetString(s.Value)
}

func (w *walker) duration(path string, n ast.Node, into reflect.Value) {
	const right = `a duration with its unit, such as "250ms" or "3s"`
	s, ok := n.(*ast.StringNode)
	if !ok {
		w.add(path, RuleType, "found "+describe(n), right)
		return
	}
	d, err := time.ParseDuration(s.Value)
	if err != nil {
		w.add(path, RuleType, fmt.Sprintf("%q is no duration", s.Value), right)
		return
	}
	into.SetInt(int64(d))
}

func (w *walker) integer(path string, n ast.Node, into reflect.Value) {
	i, ok := n.(*ast.IntegerNode)
	if !ok {
		w.add(path, RuleType, "found "+describe(n), "a whole number")
		return
	}
	switch v := i.Value.(type) {
	case int64:
		into.SetInt(v)
	case uint64:
		if v > math.MaxInt64 {
			w.add(path, RuleRange, "the number is too large", "at most 9223372036854775807")
			return
		}
		into.SetInt(int64(v))
	}
}

func (w *walker) float(path string, n ast.Node, into reflect.Value) {
	switch v := n.(type) {
	case *ast.FloatNode:
		into.SetFloat(v.Value)
	case *ast.IntegerNode:
		f, err := strconv.ParseFloat(fmt.Sprint(v.Value), 64)
		if err != nil {
			w.add(path, RuleType, "found "+describe(n), "a finite number")
			return
		}
		into.SetFloat(f)
	default:
		w.add(path, RuleType, "found "+describe(n), "a finite number")
	}
}

// maxDescribed is the maximum length, in bytes, of a value quoted in a message.
const maxDescribed = 40

// describe formats the type and value of a node for a finding.
func describe(n ast.Node) string {
	if s, ok := n.(ast.ScalarNode); ok {
		text := fmt.Sprint(s.GetValue())
		if len(text) > maxDescribed {
			text = text[:maxDescribed] + "..."
		}
		return fmt.Sprintf("the %s %q", strings.ToLower(n.Type().String()), text)
	}
	return "a " + strings.ToLower(n.Type().String())
}

// keyText returns the text of a mapping key.
func keyText(key ast.MapKeyNode) string {
	if s, ok := key.(*ast.StringNode); ok {
		return s.Value
	}
	return strings.TrimSpace(key.String())
}

// fieldByKey returns the struct field for a YAML key.
func fieldByKey(v reflect.Value, key string) (reflect.Value, bool) {
	for i := range v.NumField() {
		if yamlKey(v.Type().Field(i)) == key {
			return v.Field(i), true
		}
	}
	return reflect.Value{}, false
}

func yamlKey(f reflect.StructField) string {
	name, _, _ := strings.Cut(f.Tag.Get("yaml"), ",")
	return name
}

// knownKeys returns the YAML keys of a struct type, sorted and joined by commas.
func knownKeys(t reflect.Type) string {
	keys := make([]string, t.NumField())
	for i := range keys {
		keys[i] = yamlKey(t.Field(i))
	}
	slices.Sort(keys)
	return strings.Join(keys, ", ")
}

func joinPath(path, key string) string {
	if path == "" {
		return key
	}
	return path + "." + key
}
