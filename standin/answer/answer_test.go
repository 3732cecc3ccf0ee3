package answer

import (
	"errors"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	_ "github.com/wardspool/wardspool/internal/testseed"
)

func TestExpectedIsWhole(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		prompt := rapid.String().Draw(t, "prompt")
		n := rapid.IntRange(0, 50).Draw(t, "n")
		cut := rapid.IntRange(0, n).Draw(t, "cut")
		whole := Expected(prompt, n)
		assert.NilError(t, Check(prompt, whole, n))
		rest := ""
		for i := cut; i < n; i++ {
			rest += NewPrompt(prompt).Token(i)
		}
		assert.Equal(t, Expected(prompt, cut)+rest, whole)
	})
}

func TestCheckFindsFaults(t *testing.T) {
	whole := Expected("p", 5)
	third := NewPrompt("p").Token(2)
	tests := []struct {
		name   string
		got    string
		offset int
	}{
		{"empty", "", 0},
		{"short", Expected("p", 4), 4},
		{"long", Expected("p", 6), 5},
		{"other prompt", Expected("q", 5), 0},
		{"token twice", Expected("p", 3) + third + whole[len(Expected("p", 3)):], 3},
		{"token lost", Expected("p", 2) + whole[len(Expected("p", 3)):], 2},
		{"crossed", Expected("p", 3) + NewPrompt("q").Token(3) + NewPrompt("q").Token(4), 3},
	}
	for _, tt := range tests {
		var mismatch *MismatchError
		err := Check("p", tt.got, 5)
		assert.Assert(t, errors.As(err, &mismatch), tt.name)
		assert.Equal(t, mismatch.Offset, tt.offset, tt.name)
	}
}

// TestTokenIsStable pins the token format, which programs outside this module
// also rely on.
func TestTokenIsStable(t *testing.T) {
	assert.Equal(t, Expected("hello world", 4), "t0-0914 t1-3d0d t2-bf37 t3-5189 ")
}
