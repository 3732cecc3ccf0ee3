package kernel

import (
	"encoding/json"
	"fmt"
	"sync"
)

// PeerMessage is a message between the kernels of two instances. Plug-ins
// define their own and register them with RegisterMessage.
type PeerMessage interface {
	// MessageKind names the message's type, for example "slots.ask".
	MessageKind() string
}

// MessageKindError reports a peer message of an unknown kind.
type MessageKindError struct{ Kind string }

// Error implements error.
func (e *MessageKindError) Error() string {
	return fmt.Sprintf("unknown peer message kind %q", e.Kind)
}

// MessageBodyError reports a peer message whose body does not fit its kind.
type MessageBodyError struct {
	Kind string
	Err  error
}

// Error implements error.
func (e *MessageBodyError) Error() string {
	return fmt.Sprintf("peer message %s: %v", e.Kind, e.Err)
}

// Unwrap returns the decoder's error.
func (e *MessageBodyError) Unwrap() error { return e.Err }

var (
	messagesMu sync.RWMutex
	messages   = map[string]func() PeerMessage{}
)

// RegisterMessage makes a kind of message known to DecodeMessage. It is meant
// for init functions; empty returns a new message as a pointer.
func RegisterMessage(empty func() PeerMessage) {
	kind := empty().MessageKind()
	messagesMu.Lock()
	defer messagesMu.Unlock()
	if _, taken := messages[kind]; taken {
		panic(fmt.Sprintf("kernel: peer message kind %q registered twice", kind))
	}
	messages[kind] = empty
}

// DecodeMessage decodes a message's JSON body. Errors are *MessageKindError or
// *MessageBodyError.
func DecodeMessage(kind string, body []byte) (PeerMessage, error) {
	messagesMu.RLock()
	empty, ok := messages[kind]
	messagesMu.RUnlock()
	if !ok {
		return nil, &MessageKindError{Kind: kind}
	}
	m := empty()
	if err := json.Unmarshal(body, m); err != nil {
		return nil, &MessageBodyError{Kind: kind, Err: err}
	}
	return m, nil
}
