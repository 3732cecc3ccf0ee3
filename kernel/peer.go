package kernel

import (
	"encoding/json"
	"fmt"
	"sync"
)

// PeerMessage is a message between the kernels of two instances. Plug-ins
// define their own message types and register them with RegisterMessage.
type PeerMessage interface {
	// MessageKind returns the name of the message's type, for example
	// "slots.ask".
	MessageKind() string
}

// MessageKindError reports a peer message whose kind is not registered.
type MessageKindError struct{ Kind string }

// Error implements error.
func (e *MessageKindError) Error() string {
	return fmt.Sprintf("unknown peer message kind %q", e.Kind)
}

// MessageBodyError reports a peer message whose body cannot be decoded as its
// kind.
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

// RegisterMessage registers a kind of message for DecodeMessage. It is meant for
// init functions and panics if the kind is already registered. empty returns a
// pointer to a new message.
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
