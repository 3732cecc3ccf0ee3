package bundle

import (
	"os"
	"testing"

	"gotest.tools/v3/assert"

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

// The examples have the sizes that their users run today.
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
