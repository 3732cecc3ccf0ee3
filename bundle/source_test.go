package bundle

import (
	"os"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"

	"github.com/wardspool/wardspool/config"
)

func readExample(t testing.TB, deployment string) *config.Content {
	t.Helper()
	name := "../examples/" + deployment + "/bundle.yaml"
	b, err := os.ReadFile(name)
	assert.NilError(t, err)
	content, findings := ParseSource(name, b)
	assert.NilError(t, findings.Err())
	return content
}

// The examples must have the sizes of the deployments in production.
func TestExamples(t *testing.T) {
	for _, deployment := range []string{"coastline", "lagos"} {
		t.Run(deployment, func(t *testing.T) {
			content := readExample(t, deployment)
			assert.Equal(t, content.Deployment, deployment)
			engines, services := 0, 0
			for _, u := range content.Upstreams {
				if u.Role == config.RoleService {
					services++
				} else {
					engines++
				}
			}
			assert.Equal(t, engines, 9)
			assert.Equal(t, services, 3)
			for _, m := range content.Models {
				assert.Equal(t, m.PieceTokens, 2000)
			}
		})
	}
}

// faulty.golden contains all findings for a source that violates every rule except
// RuleSize.
func TestFaultySource(t *testing.T) {
	b, err := os.ReadFile("testdata/faulty.yaml")
	assert.NilError(t, err)
	content, findings := ParseSource("faulty.yaml", b)
	assert.Assert(t, content == nil)
	golden.Assert(t, findings.Err().Error()+"\n", "faulty.golden")
	seen := map[Rule]bool{}
	for _, f := range findings {
		seen[f.Rule] = true
		assert.Assert(t, f.Line > 0 && f.Column > 0, "finding %s has no position", f)
	}
	for _, rule := range []Rule{
		RuleSyntax, RuleUnknownField, RuleDuplicateKey, RuleType, RuleName, RuleDuplicate,
		RuleReference, RuleMissing, RuleMisplaced, RuleRange, RuleInconsistent, RulePlugin,
	} {
		assert.Assert(t, seen[rule], "no finding of rule %s", rule)
	}
}

func TestSourcesThatAreNotRead(t *testing.T) {
	tests := []struct {
		name, source string
		rule         Rule
	}{
		{"empty", "", RuleSyntax},
		{"comment only", "# nothing\n", RuleSyntax},
		{"text", "wardspool", RuleType},
		{"list", "- a\n- b\n", RuleType},
		{"two documents", "deployment: a\n---\ndeployment: b\n", RuleSyntax},
		{"open bracket", "kinds: [\n", RuleSyntax},
		{"deep brackets", strings.Repeat("[", 1<<16), RuleSize},
		{"deep dashes", strings.Repeat("- ", 1<<16), RuleSize},
		{"deep mappings", strings.Repeat("a: ", 1<<10), RuleSize},
		{"large", strings.Repeat("# wardspool\n", MaxSourceBytes/12+1), RuleSize},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			content, findings := ParseSource("x.yaml", []byte(tc.source))
			assert.Assert(t, content == nil)
			assert.Equal(t, len(findings), 1)
			assert.Equal(t, findings[0].Rule, tc.rule)
			assert.Assert(t, findings[0].Line > 0)
		})
	}
}
