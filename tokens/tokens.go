// Package tokens defines the tokenizer and the block hashes that the router
// and the stand-in engines share. A token is a whitespace-separated word, which
// keeps counting cheap and the same everywhere; a real engine's tokenizer would
// take this package's place.
package tokens

import (
	"encoding/binary"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// PieceTokens is the usual size of a piece of KV memory, in tokens. It is also
// the size of a block of the prefix cache.
const PieceTokens = 2000

// hashBase is the base in which block hashes are written as text.
const hashBase = 16

// wordEnd is hashed after each word, so that "ab c" and "a bc" differ.
const wordEnd = " "

// BlockHash names one block of a prompt together with everything before it.
// As text and in JSON it is lower-case hexadecimal, because JSON numbers do not
// carry 64 bits everywhere.
type BlockHash uint64

// MarshalText implements encoding.TextMarshaler.
func (h BlockHash) MarshalText() ([]byte, error) {
	return strconv.AppendUint(nil, uint64(h), hashBase), nil
}

// UnmarshalText implements encoding.TextUnmarshaler. It returns the
// *strconv.NumError of malformed text.
func (h *BlockHash) UnmarshalText(text []byte) error {
	n, err := strconv.ParseUint(string(text), hashBase, 64)
	if err != nil {
		return err
	}
	*h = BlockHash(n)
	return nil
}

// Count returns the number of tokens in text.
func Count(text string) int {
	n := 0
	for range strings.FieldsSeq(text) {
		n++
	}
	return n
}

// BlockHashes returns the chained hashes of the whole blocks of text, in order:
// each is the xxhash64 of its predecessor's hash (8 bytes, little-endian) and
// its own words. A last block of fewer than pieceTokens tokens has no hash.
// It returns nil if pieceTokens is not positive.
func BlockHashes(text string, pieceTokens int) []BlockHash {
	if pieceTokens <= 0 {
		return nil
	}
	var hashes []BlockHash
	digest := xxhash.New()
	inBlock := 0
	for word := range strings.FieldsSeq(text) {
		// The digest's writes never fail.
		_, _ = digest.WriteString(word)
		_, _ = digest.WriteString(wordEnd)
		inBlock++
		if inBlock < pieceTokens {
			continue
		}
		h := digest.Sum64()
		hashes = append(hashes, BlockHash(h))
		inBlock = 0
		startBlock(digest, h)
	}
	return hashes
}

// startBlock resets digest for the block that follows the one hashed to parent.
func startBlock(digest *xxhash.Digest, parent uint64) {
	digest.Reset()
	var b [8]byte
	binary.LittleEndian.PutUint64(b[:], parent)
	_, _ = digest.Write(b[:])
}

// Message is one message of a chat.
type Message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// FlattenChat returns the prompt text of a chat: one "role: content" line for
// each message. Counting and hashing a chat means counting and hashing this.
func FlattenChat(messages []Message) string {
	var b strings.Builder
	for _, m := range messages {
		b.WriteString(m.Role)
		b.WriteString(": ")
		b.WriteString(m.Content)
		b.WriteByte('\n')
	}
	return b.String()
}
