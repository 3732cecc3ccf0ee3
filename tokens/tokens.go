// Package tokens defines the tokenizer and the block hashes that the router and
// the stand-in engines (cmd/wardspool-standin) share. A token is a word delimited
// by white space, so that counting is cheap and gives the same result everywhere.
// A deployment with real engines would replace this package by their tokenizer.
package tokens

import (
	"encoding/binary"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// PieceTokens is the usual size of a piece of KV memory, in tokens. A block of
// the prefix cache has the same size.
const PieceTokens = 2000

// hashBase is the numeric base of block hashes in text form.
const hashBase = 16

// wordEnd is hashed after each word, so that "ab c" and "a bc" have different
// hashes.
const wordEnd = " "

// BlockHash identifies one block of a prompt together with all blocks before it.
// In text and JSON it is written in lower-case hexadecimal, because not all JSON
// implementations support 64-bit numbers.
type BlockHash uint64

// MarshalText implements encoding.TextMarshaler.
func (h BlockHash) MarshalText() ([]byte, error) {
	return strconv.AppendUint(nil, uint64(h), hashBase), nil
}

// UnmarshalText implements encoding.TextUnmarshaler. For malformed text it
// returns a *strconv.NumError.
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

// BlockHashes returns the chained hashes of the complete blocks of text, in
// order. Each is the xxhash64 of the preceding block's hash (8 bytes,
// little-endian; none for the first block) followed by the words of the block.
// An incomplete last block, of fewer than pieceTokens tokens, has no hash. It
// returns nil if pieceTokens is not positive.
func BlockHashes(text string, pieceTokens int) []BlockHash {
	if pieceTokens <= 0 {
		return nil
	}
	var hashes []BlockHash
	digest := xxhash.New()
	inBlock := 0
	for word := range strings.FieldsSeq(text) {
		// Writing to the digest never fails.
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

// startBlock resets digest for the block after the one with the hash parent.
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

// FlattenChat returns the prompt text of a chat, with one "role: content" line
// for each message. Tokens and block hashes of a chat are those of this text.
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
