package entry_test

import (
	"os"
	"reflect"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/wardspool/wardspool/entry"
)

// settingsPaths returns the YAML paths of all fields of a settings type.
func settingsPaths(t reflect.Type, prefix string) []string {
	var out []string
	for i := range t.NumField() {
		f := t.Field(i)
		path := prefix + strings.Split(f.Tag.Get("yaml"), ",")[0]
		inner := f.Type
		if inner.Kind() == reflect.Pointer {
			inner = inner.Elem()
		}
		if inner.Kind() == reflect.Struct {
			out = append(out, settingsPaths(inner, path+".")...)
			continue
		}
		out = append(out, path)
	}
	return out
}

// TestSettingsPage checks that docs/settings.md mentions every field of the settings.
func TestSettingsPage(t *testing.T) {
	data, err := os.ReadFile("../docs/settings.md")
	assert.NilError(t, err)
	for _, f := range settingsPaths(reflect.TypeFor[entry.Settings](), "") {
		assert.Check(t, strings.Contains(string(data), "`"+f+"`"), "%s is not in docs/settings.md", f)
	}
}

// TestCallersPage checks that docs/callers.md mentions every header and problem type
// of package api.
func TestCallersPage(t *testing.T) {
	page, err := os.ReadFile("../docs/callers.md")
	assert.NilError(t, err)
	for _, file := range []string{"../api/api.go", "../api/problem.go"} {
		source, err := os.ReadFile(file)
		assert.NilError(t, err)
		for line := range strings.Lines(string(source)) {
			name, value, ok := strings.Cut(strings.TrimSpace(line), "= \"")
			value, _, _ = strings.Cut(value, "\"")
			if !ok || !strings.HasPrefix(name, "Header") && !strings.Contains(value, "urn:") {
				continue
			}
			want := "`" + strings.TrimPrefix(value, "urn:wardspool:problem:") + "`"
			assert.Check(t, strings.Contains(string(page), want), "%s is not in docs/callers.md", want)
		}
	}
}
