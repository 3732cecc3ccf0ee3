// Package answer defines the text that stand-in engines generate. Each token
// depends only on the prompt and on the token's offset, so that a caller can
// check that it got the complete answer to its own request, even if the
// generation was resumed on another engine.
package answer

import (
	"fmt"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// checkBits is the number of hash bits in a token, written as four hex digits.
const checkBits = 16

// Prompt is the hash of a prompt. It determines the answer.
type Prompt uint64

// NewPrompt returns the Prompt of a prompt's text. For a chat, the text is the result
// of tokens.FlattenChat for its messages.
func NewPrompt(prompt string) Prompt { return Prompt(xxhash.Sum64String(prompt)) }

// Token returns the token at a zero-based offset: "t<offset>-<4 hex digits> ".
func (p Prompt) Token(offset int) string {
	return string(p.AppendToken(nil, offset))
}

// AppendToken appends the token at an offset to b and returns the result.
func (p Prompt) AppendToken(b []byte, offset int) []byte {
	const digits = "0123456789abcdef"
	check := mix(uint64(p)+uint64(offset)*goldenRatio) >> (64 - checkBits)
	b = append(b, 't')
	b = strconv.AppendInt(b, int64(offset), 10)
	b = append(b, '-')
	for shift := checkBits - 4; shift >= 0; shift -= 4 {
		b = append(b, digits[check>>shift&0xf])
	}
	return append(b, ' ')
}

// goldenRatio is the increment of the SplitMix64 generator.
const goldenRatio = 0x9e3779b97f4a7c15

// mix is the output function of the SplitMix64 generator.
func mix(x uint64) uint64 {
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

// Expected returns the complete answer of n tokens to a prompt.
func Expected(prompt string, n int) string {
	p := NewPrompt(prompt)
	var b []byte
	for i := range n {
		b = p.AppendToken(b, i)
	}
	return string(b)
}

// MismatchError reports an answer that differs from the complete answer to its
// prompt.
type MismatchError struct {
	// Offset is the offset of the first token that is wrong, missing or surplus.
	Offset int
	// Want is the token expected at Offset; empty if the answer is too long.
	Want string
	// Got is the text found at Offset, truncated to the length of a token.
	Got string
}

// Error implements error.
func (e *MismatchError) Error() string {
	return fmt.Sprintf("answer differs at token %d: want %q, got %q", e.Offset, e.Want, e.Got)
}

// Check returns nil if got is the complete answer of n tokens to prompt, else a
// *MismatchError.
func Check(prompt, got string, n int) error {
	p := NewPrompt(prompt)
	for i := range n {
		want := p.Token(i)
		rest, ok := strings.CutPrefix(got, want)
		if !ok {
			return &MismatchError{Offset: i, Want: want, Got: got[:min(len(got), len(want))]}
		}
		got = rest
	}
	if got != "" {
		return &MismatchError{Offset: n, Got: got[:min(len(got), len(p.Token(n)))]}
	}
	return nil
}
