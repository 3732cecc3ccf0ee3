package console

import (
	"go/ast"
	"go/parser"
	"go/token"
	"os"
	"strconv"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/wardspool/wardspool/entry/driver"
	"github.com/wardspool/wardspool/kernel"
)

// constants returns the values of the constants of the given type in the source
// file kernel/record.go.
func constants(t *testing.T, typeName string) []string {
	t.Helper()
	file, err := parser.ParseFile(token.NewFileSet(), "../../kernel/record.go", nil, 0)
	assert.NilError(t, err)
	var values []string
	ast.Inspect(file, func(n ast.Node) bool {
		spec, ok := n.(*ast.ValueSpec)
		if !ok {
			return true
		}
		if id, ok := spec.Type.(*ast.Ident); !ok || id.Name != typeName {
			return true
		}
		value, err := strconv.Unquote(spec.Values[0].(*ast.BasicLit).Value)
		assert.NilError(t, err)
		values = append(values, value)
		return true
	})
	assert.Assert(t, len(values) > 5)
	return values
}

// TestEveryReasonIsExplained checks that every reason and step declared in package
// kernel is described here and in the operators' page, so that none is added to the
// kernel without a description.
func TestEveryReasonIsExplained(t *testing.T) {
	data, err := os.ReadFile("../../docs/operators/reasons.md")
	assert.NilError(t, err)
	page := string(data)
	reasons := append(constants(t, "Reason"), string(driver.ReasonDuplicateID))
	for _, r := range reasons {
		assert.Check(t, meanings[kernel.Reason(r)] != "", "no meaning for %s", r)
		assert.Check(t, strings.Contains(page, "\n| `"+r+"` |"), "%s is not in docs/operators/reasons.md", r)
	}
	assert.Equal(t, len(meanings), len(reasons))
	for _, s := range constants(t, "Step") {
		assert.Check(t, strings.Contains(page, "\n| `"+s+"` |"), "%s is not in docs/operators/reasons.md", s)
	}
	assert.Equal(t, Meaning("from_a_newer_build"), "from_a_newer_build")
}
