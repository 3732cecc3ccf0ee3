package tokens

import (
	"encoding/json"
	"slices"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	_ "github.com/wardspool/wardspool/internal/testseed"
)

func TestCount(t *testing.T) {
	for text, want := range map[string]int{"": 0, "  ": 0, "a": 1, " a\tb\nc ": 3} {
		assert.Equal(t, Count(text), want, "%q", text)
	}
}

func TestBlockHashes(t *testing.T) {
	assert.Equal(t, len(BlockHashes("a b c", 0)), 0)
	assert.Equal(t, len(BlockHashes("a b c", 4)), 0)
	assert.Equal(t, len(BlockHashes("a b c d", 2)), 2)
	one, other := BlockHashes("a b c d", 2), BlockHashes("x b c d", 2)
	assert.Assert(t, one[0] != other[0])
	assert.Assert(t, one[1] != other[1], "the hash of a block must depend on the blocks before it")
	assert.Assert(t, BlockHashes("ab c", 2)[0] != BlockHashes("a bc", 2)[0])
}

// TestHashesArePrefixes checks that the hashes of a prompt begin with those of
// its prefix, and that the kind and amount of white space does not matter.
func TestHashesArePrefixes(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		words := rapid.SliceOf(rapid.StringMatching(`[a-z]{1,4}`)).Draw(t, "words")
		size := rapid.IntRange(1, 4).Draw(t, "size")
		cut := rapid.IntRange(0, len(words)).Draw(t, "cut")
		whole := BlockHashes(strings.Join(words, " "), size)
		part := BlockHashes(strings.Join(words[:cut], "\n "), size)
		assert.Equal(t, len(whole), len(words)/size)
		assert.Assert(t, slices.Equal(part, whole[:cut/size]))
	})
}

func TestHashAsText(t *testing.T) {
	in := []BlockHash{0, 0xfedcba9876543210}
	text, err := json.Marshal(in)
	assert.NilError(t, err)
	assert.Equal(t, string(text), `["0","fedcba9876543210"]`)
	var out []BlockHash
	assert.NilError(t, json.Unmarshal(text, &out))
	assert.DeepEqual(t, out, in)
	assert.Assert(t, json.Unmarshal([]byte(`["xyz"]`), &out) != nil)
}

func TestFlattenChat(t *testing.T) {
	chat := []Message{{Role: "system", Content: "be brief"}, {Role: "user", Content: "hi"}}
	assert.Equal(t, FlattenChat(chat), "system: be brief\nuser: hi\n")
	assert.Equal(t, Count(FlattenChat(chat)), 5)
}
