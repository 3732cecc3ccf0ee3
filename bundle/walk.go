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

// sourceDecoder decodes a YAML tree into the typed content. Unlike the decoder of
// the YAML library, which stops at the first error, it continues, so that an
// operator sees all errors at once. It also records the position of each field.
type sourceDecoder struct {
	positions map[string]position
	findings  Findings
}

var durationType = reflect.TypeFor[time.Duration]()

func (dec *sourceDecoder) add(path string, rule Rule, problem, advice string) {
	dec.findings = append(dec.findings, Finding{Path: path, Rule: rule, Problem: problem, Advice: advice})
}

// addAt adds a finding at the position of a node. Unknown and duplicate keys need
// it: the path of an unknown key has no recorded position, and that of a duplicate
// key has the position of the first occurrence.
func (dec *sourceDecoder) addAt(n ast.Node, path string, rule Rule, problem, advice string) {
	at := tokenPosition(n.GetToken())
	dec.findings = append(dec.findings, Finding{
		Line: at.line, Column: at.column, Path: path, Rule: rule, Problem: problem, Advice: advice,
	})
}

// decodeValue decodes a node into the field at path.
func (dec *sourceDecoder) decodeValue(path string, n ast.Node, into reflect.Value) {
	if _, seen := dec.positions[path]; !seen {
		dec.positions[path] = tokenPosition(n.GetToken())
	}
	if dec.rejectNode(path, n) {
		return
	}
	switch {
	case into.Kind() == reflect.Struct:
		dec.decodeMapping(path, n, into)
	case into.Kind() == reflect.Slice:
		dec.decodeSequence(path, n, into)
	default:
		dec.decodeScalar(path, n, into)
	}
}

// rejectNode reports whether a node is of a type that bundles do not allow, and
// adds a finding for it. Anchors, aliases, tags and directives are not allowed
// because a person who reads the source must see the same content as the program
// that signs it. Null values are reported as missing.
func (dec *sourceDecoder) rejectNode(path string, n ast.Node) bool {
	const advice = "write the value out"
	switch n.Type() {
	case ast.AnchorType, ast.AliasType, ast.MergeKeyType:
		dec.add(path, RuleSyntax, "anchors and aliases are not used in bundles", advice)
	case ast.TagType, ast.DirectiveType:
		dec.add(path, RuleSyntax, "tags and directives are not used in bundles", advice)
	case ast.NullType:
		dec.add(path, RuleMissing, "there is no value", "give one or leave the key out")
	default:
		return false
	}
	return true
}

func (dec *sourceDecoder) decodeMapping(path string, n ast.Node, into reflect.Value) {
	m, ok := n.(ast.MapNode)
	if !ok {
		dec.add(path, RuleType, "found "+describeNode(n), "a mapping with the keys "+knownKeys(into.Type()))
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
			dec.addAt(key, at, RuleUnknownField, fmt.Sprintf("there is no key %q here", name), "the keys are "+knownKeys(into.Type()))
		case seen[name]:
			dec.addAt(key, at, RuleDuplicateKey, fmt.Sprintf("the key %q is given twice", name), "keep one of them")
		default:
			dec.positions[at] = tokenPosition(key.GetToken())
			dec.decodeValue(at, it.Value(), field)
		}
		seen[name] = true
	}
}

func (dec *sourceDecoder) decodeSequence(path string, n ast.Node, into reflect.Value) {
	s, ok := n.(*ast.SequenceNode)
	if !ok {
		dec.add(path, RuleType, "found "+describeNode(n), "a list")
		return
	}
	into.Set(reflect.MakeSlice(into.Type(), len(s.Values), len(s.Values)))
	for i, v := range s.Values {
		dec.decodeValue(fmt.Sprintf("%s[%d]", path, i), v, into.Index(i))
	}
}

func (dec *sourceDecoder) decodeScalar(path string, n ast.Node, into reflect.Value) {
	if into.Type() == durationType {
		dec.decodeDuration(path, n, into)
		return
	}
	switch into.Kind() {
	case reflect.String:
		dec.decodeText(path, n, into)
	case reflect.Bool:
		if b, ok := n.(*ast.BoolNode); ok {
			into.SetBool(b.Value)
			return
		}
		dec.add(path, RuleType, "found "+describeNode(n), "true or false")
	case reflect.Int, reflect.Int64:
		dec.decodeInteger(path, n, into)
	case reflect.Float64:
		dec.decodeFloat(path, n, into)
	}
}

func (dec *sourceDecoder) decodeText(path string, n ast.Node, into reflect.Value) {
	s, ok := n.(*ast.StringNode)
	if !ok {
		dec.add(path, RuleType, "found "+describeNode(n), "text; put it in quotes if it looks like a number")
		return
	}
	into.SetString(s.Value)
}

func (dec *sourceDecoder) decodeDuration(path string, n ast.Node, into reflect.Value) {
	const advice = `a duration with its unit, such as "250ms" or "3s"`
	s, ok := n.(*ast.StringNode)
	if !ok {
		dec.add(path, RuleType, "found "+describeNode(n), advice)
		return
	}
	d, err := time.ParseDuration(s.Value)
	if err != nil {
		dec.add(path, RuleType, fmt.Sprintf("%q is no duration", s.Value), advice)
		return
	}
	into.SetInt(int64(d))
}

func (dec *sourceDecoder) decodeInteger(path string, n ast.Node, into reflect.Value) {
	i, ok := n.(*ast.IntegerNode)
	if !ok {
		dec.add(path, RuleType, "found "+describeNode(n), "a whole number")
		return
	}
	switch v := i.Value.(type) {
	case int64:
		into.SetInt(v)
	case uint64:
		if v > math.MaxInt64 {
			dec.add(path, RuleRange, "the number is too large", "at most 9223372036854775807")
			return
		}
		into.SetInt(int64(v))
	}
}

func (dec *sourceDecoder) decodeFloat(path string, n ast.Node, into reflect.Value) {
	switch v := n.(type) {
	case *ast.FloatNode:
		into.SetFloat(v.Value)
	case *ast.IntegerNode:
		f, err := strconv.ParseFloat(fmt.Sprint(v.Value), 64)
		if err != nil {
			dec.add(path, RuleType, "found "+describeNode(n), "a finite number")
			return
		}
		into.SetFloat(f)
	default:
		dec.add(path, RuleType, "found "+describeNode(n), "a finite number")
	}
}

// maxQuotedBytes is the maximum length, in bytes, of a value quoted in a message.
const maxQuotedBytes = 40

// describeNode formats the type and value of a node for a finding.
func describeNode(n ast.Node) string {
	if s, ok := n.(ast.ScalarNode); ok {
		text := fmt.Sprint(s.GetValue())
		if len(text) > maxQuotedBytes {
			text = text[:maxQuotedBytes] + "..."
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
