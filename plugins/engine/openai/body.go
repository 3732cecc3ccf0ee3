package openai

import (
	"bytes"
	"encoding/json"
	"io"

	"github.com/wardspool/wardspool/adapter"
)

// overrides are the JSON members that the adapter sets instead of the caller's.
type overrides struct {
	Model            string          `json:"model"`
	MaxTokens        int             `json:"max_tokens"`
	Stream           bool            `json:"stream"`
	StreamOptions    *streamOptions  `json:"stream_options,omitempty"`
	Priority         int             `json:"priority,omitempty"`
	ContinueFrom     int             `json:"continue_from,omitempty"`
	KVTransferParams json.RawMessage `json:"kv_transfer_params,omitempty"`
}

// streamOptions requests the usage chunk at the end of a stream.
type streamOptions struct {
	IncludeUsage bool `json:"include_usage"`
}

// overridden reports whether the adapter sets or drops the caller's member of
// that name.
func overridden(name string) bool {
	switch name {
	case "model", "max_tokens", "max_completion_tokens", "stream", "stream_options",
		"priority", "continue_from", "kv_transfer_params":
		return true
	default:
		return false
	}
}

// prefillParams ask a prefill engine to keep the KV cache of the request for a
// decode engine.
var prefillParams = json.RawMessage(`{"do_remote_decode":true,"do_remote_prefill":false}`)

// composeBody returns the body of a request and its length in bytes. The caller's
// members are read in place and not copied, since prompts can be long. The error
// is a *adapter.ProtocolError.
func composeBody(o *overrides, fields []adapter.Field) (io.Reader, int64, error) {
	head, err := json.Marshal(o)
	if err != nil {
		return nil, 0, &adapter.ProtocolError{Part: "kv_transfer_params", Err: err}
	}
	// The closing brace is written after the caller's members.
	head = head[:len(head)-1]
	parts := []io.Reader{bytes.NewReader(head)}
	length := int64(len(head))
	for _, f := range fields {
		if overridden(f.Name) {
			continue
		}
		name := appendName(nil, f.Name)
		parts = append(parts, bytes.NewReader(name), bytes.NewReader(f.Raw))
		length += int64(len(name) + len(f.Raw))
	}
	parts = append(parts, bytes.NewReader([]byte{'}'}))
	return io.MultiReader(parts...), length + 1, nil
}

// appendName appends a comma, a member's quoted name and a colon.
func appendName(b []byte, name string) []byte {
	b = append(b, ',')
	// Marshaling a string never fails.
	quoted, _ := json.Marshal(name)
	b = append(b, quoted...)
	return append(b, ':')
}
