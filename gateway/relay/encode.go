package relay

import (
	"bytes"
	"encoding/gob"
	"encoding/json"
	"net/http"
	"slices"
	"unicode/utf8"

	"github.com/wardspool/wardspool/gateway/dialect"
)

// message is a Request as it is sent.
type message struct {
	Request
	// Exact is the call in gob's encoding if JSON, whose strings are UTF-8, would change it; Request.Call is
	// empty then.
	Exact []byte `json:"exact_call,omitempty"`
}

// encodeHead encodes a request as a line.
func encodeHead(q Request) ([]byte, error) {
	m := message{Request: q}
	if !isUTF8(&q.Call) {
		var exact bytes.Buffer
		if err := gob.NewEncoder(&exact).Encode(q.Call); err != nil {
			return nil, err
		}
		m.Call, m.Exact = dialect.Call{}, exact.Bytes()
	}
	head, err := json.Marshal(m)
	return append(head, '\n'), err
}

// decodeHead decodes a request.
func decodeHead(head []byte) (*Request, error) {
	m := &message{}
	if err := json.Unmarshal(head, m); err != nil {
		return nil, err
	}
	if len(m.Exact) > 0 {
		if err := gob.NewDecoder(bytes.NewReader(m.Exact)).Decode(&m.Call); err != nil {
			return nil, err
		}
	}
	if m.Call.Header == nil {
		m.Call.Header = http.Header{}
	}
	return &m.Request, nil
}

// isUTF8 reports whether all strings of a call are valid UTF-8.
func isUTF8(c *dialect.Call) bool {
	invalid := func(s string) bool { return !utf8.ValidString(s) }
	fields := []string{c.ID, c.Method, c.Host, string(c.Target), c.LastEvent, c.Resumes, c.LastPromptPart}
	if slices.ContainsFunc(fields, invalid) || slices.ContainsFunc(c.SharedPromptParts, invalid) {
		return false
	}
	for name, values := range c.Header {
		if invalid(name) || slices.ContainsFunc(values, invalid) {
			return false
		}
	}
	return true
}
