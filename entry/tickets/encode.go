package tickets

import (
	"bytes"
	"encoding/gob"
	"slices"
	"unicode/utf8"
)

// message is a Call as it is sent to the executor of its ticket.
type message struct {
	Call
	// Exact is the call in gob's encoding if JSON, whose strings are UTF-8, would change it; Call is empty
	// then, and executors of an older version refuse it for lack of a ticket.
	Exact []byte `json:"exact_call,omitempty"`
}

// encode returns a call as it is sent.
func encode(c *Call) (*message, error) {
	if isUTF8(c) {
		return &message{Call: *c}, nil
	}
	var exact bytes.Buffer
	if err := gob.NewEncoder(&exact).Encode(c); err != nil {
		return nil, err
	}
	return &message{Exact: exact.Bytes()}, nil
}

// decode returns the call of a message.
func (m *message) decode() (*Call, error) {
	if len(m.Exact) == 0 {
		return &m.Call, nil
	}
	c := &Call{}
	if err := gob.NewDecoder(bytes.NewReader(m.Exact)).Decode(c); err != nil {
		return nil, err
	}
	// As in JSON, these are not sent.
	c.Wait, c.Run = 0, ""
	return c, nil
}

// isUTF8 reports whether the strings of a call that a caller chooses freely are valid UTF-8.
func isUTF8(c *Call) bool {
	invalid := func(s string) bool { return !utf8.ValidString(s) }
	if slices.ContainsFunc([]string{c.Path, c.Method, c.Kind, string(c.Workspace), c.IdempotencyKey}, invalid) {
		return false
	}
	for name, values := range c.Header {
		if invalid(name) || slices.ContainsFunc(values, invalid) {
			return false
		}
	}
	return true
}
