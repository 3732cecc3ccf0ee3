// Package quarantine protects upstreams from queries of death: requests that crash each upstream
// that runs them, because of what they ask for as a whole or because of one part of their prompts. It
// records which request contents, with which parts, were running at upstreams that crashed, decides
// which contents and parts may still be sent, and merges the records of other instances. It does no
// I/O and reads no clock.
package quarantine

import (
	"crypto/sha256"
	"encoding/binary"
	"fmt"
	"hash"
	"io"

	"github.com/wardspool/wardspool/gateway/dialect"
)

// Content is a hash of what a request asks for. It is the same for each repetition of a request,
// regardless of the repetition's ID and of the instance that receives it. It is the first 8 bytes
// of a SHA-256, so that no caller can construct a request with the content of another caller's.
type Content uint64

// String returns the content in hexadecimal, as used in logs.
func (c Content) String() string { return fmt.Sprintf("%016x", uint64(c)) }

// ContentOf returns a call's content, a hash of its method, host, target, caller, body and the parts
// of its prompt.
func ContentOf(c *dialect.Call) Content {
	h := sha256.New()
	for _, part := range []string{c.Method, c.Host, string(c.Target)} {
		writeString(h, part)
	}
	// Writing to a hash never fails.
	_, _ = h.Write(c.Caller[:])
	_, _ = h.Write(c.Body)
	for _, id := range c.SharedPromptParts {
		writeString(h, id)
	}
	return Content(binary.BigEndian.Uint64(h.Sum(nil)))
}

// writeString hashes a string with its length, so that different lists of strings that have the same
// concatenation get different hashes.
func writeString(h hash.Hash, part string) {
	_, _ = h.Write(binary.BigEndian.AppendUint32(nil, uint32(len(part))))
	_, _ = io.WriteString(h, part)
}
