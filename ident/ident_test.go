package ident

import (
	"regexp"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	_ "github.com/wardspool/wardspool/internal/testseed"
)

// TestValidName checks that ValidName accepts the same strings as the regular
// expression that specifies a name.
func TestValidName(t *testing.T) {
	pattern := regexp.MustCompile(`^[a-z0-9]([a-z0-9-]*[a-z0-9])?$`)
	matches := func(s string) bool { return len(s) <= maxNameLength && pattern.MatchString(s) }
	for _, s := range []string{"", "-", "a", "a-", "-a", "a-b", "a--b", "A", "ä", "a\n", strings.Repeat("a", 63), strings.Repeat("a", 64)} {
		assert.Equal(t, ValidName(s), matches(s), "%q", s)
	}
	rapid.Check(t, func(t *rapid.T) {
		s := rapid.StringOfN(rapid.RuneFrom([]rune("az09-_Aé\n")), 0, 5, -1).Draw(t, "name")
		assert.Equal(t, ValidName(s), matches(s), "%q", s)
	})
}
