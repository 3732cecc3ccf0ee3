package workload

import (
	"encoding/binary"
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// PrefixTokens returns how many leading tokens the prompt shares with its
// family.
func (a *Arrival) PrefixTokens() int {
	if a.Family == NoFamily {
		return 0
	}
	return min(a.Kind.Families.Prefix, a.PromptTokens)
}

// Prompt returns the prompt's text: short words, one per token. All prompts of a
// family start with the same words; the words after the prefix are unique to the
// arrival.
func (a *Arrival) Prompt() string {
	shared := a.PrefixTokens()
	b := make([]byte, 0, a.PromptTokens*wordBytes)
	family := a.Kind.Name + "-" + strconv.Itoa(a.Family)
	b = appendWords(b, xxhash.Sum64String(family), shared)
	own := a.Seed ^ uint64(a.Number)
	b = appendWords(b, own, a.PromptTokens-shared)
	return string(b)
}

// wordBytes is the usual length of a word and the space after it.
const wordBytes = 5

// wordRange is the exclusive upper bound of the numbers that are written as words
// in base 36, so that a word has up to four characters.
const wordRange = 36 * 36 * 36 * 36

// appendWords appends n words generated from seed by a linear congruential
// generator.
func appendWords(b []byte, seed uint64, n int) []byte {
	state := seed
	for range n {
		state = state*6364136223846793005 + 1442695040888963407
		b = strconv.AppendUint(b, (state>>33)%wordRange, 36)
		b = append(b, ' ')
	}
	return b
}

// BlockHashes returns synthetic hashes of the prompt's blocks, one for each whole
// piece. Like the hashes of tokens.BlockHashes, they are equal in two prompts
// exactly as far as the texts are equal from the start, but no text is generated
// for them.
func (a *Arrival) BlockHashes(pieceTokens int) []uint64 {
	shared := a.PrefixTokens() / pieceTokens
	blocks := make([]uint64, a.PromptTokens/pieceTokens)
	for i := range blocks {
		if i < shared {
			blocks[i] = blockHash(xxhash.Sum64String(a.Kind.Name), uint64(a.Family), uint64(i))
		} else {
			blocks[i] = blockHash(a.Seed, uint64(a.Number), uint64(i))
		}
	}
	return blocks
}

// blockHash returns a hash of three numbers.
func blockHash(x, y, z uint64) uint64 {
	var b [24]byte
	binary.LittleEndian.PutUint64(b[0:], x)
	binary.LittleEndian.PutUint64(b[8:], y)
	binary.LittleEndian.PutUint64(b[16:], z)
	return xxhash.Sum64(b[:])
}
