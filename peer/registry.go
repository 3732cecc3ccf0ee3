package peer

import (
	"encoding/json"
	"errors"
	"fmt"
	"reflect"
	"sync"

	"github.com/sourcegraph/jsonrpc2"
)

// errorEntry is the code and the decoder of a registered error type.
type errorEntry struct {
	code   Code
	decode func(json.RawMessage) (error, bool)
}

// errorTypes holds the registered error types, by type and by code.
var errorTypes = struct {
	sync.RWMutex
	byType map[reflect.Type]errorEntry
	byCode map[Code]errorEntry
}{
	byType: map[reflect.Type]errorEntry{},
	byCode: map[Code]errorEntry{},
}

// RegisterError registers the error type T under the given code, so that it is
// transferred to the caller: if a handler returns a T or an error that wraps one,
// Call returns a *CallError that wraps an equal T. T is encoded as JSON.
// RegisterError is meant for init functions and panics if the type or the code is
// already registered, since that is a programming error.
func RegisterError[T error](code Code) {
	t := reflect.TypeFor[T]()
	e := errorEntry{code: code, decode: decodeError[T]}
	errorTypes.Lock()
	defer errorTypes.Unlock()
	if _, taken := errorTypes.byCode[code]; taken {
		panic(fmt.Sprintf("peer: error code %d registered twice", code))
	}
	if _, taken := errorTypes.byType[t]; taken {
		panic(fmt.Sprintf("peer: error type %v registered twice", t))
	}
	errorTypes.byCode[code] = e
	errorTypes.byType[t] = e
}

// decodeError decodes a T. It reports false if data is not a valid T.
func decodeError[T error](data json.RawMessage) (error, bool) {
	var v T
	if err := json.Unmarshal(data, &v); err != nil || reflect.ValueOf(&v).Elem().IsZero() && string(data) == "null" {
		return nil, false
	}
	return v, true
}

func init() {
	RegisterError[*HelloError](CodeHello)
	RegisterError[*VersionError](CodeVersion)
	RegisterError[*IdentityError](CodeIdentity)
	RegisterError[*NotAllowedError](CodeNotAllowed)
	RegisterError[*HelloRequiredError](CodeHelloRequired)
	RegisterError[*MethodError](CodeMethod)
	RegisterError[*ParamsError](CodeParams)
	RegisterError[*BusyError](CodeBusy)
	RegisterError[*StoppingError](CodeStopping)
	RegisterError[*TimeoutError](CodeTimeout)
	RegisterError[*TooLargeError](CodeTooLarge)
}

// errorData is the data member of a JSON-RPC error.
type errorData struct {
	// Refused states that no part of the call was run.
	Refused bool `json:"refused,omitempty"`
	// Error is the JSON encoding of the error type registered for the code.
	Error json.RawMessage `json:"error,omitempty"`
}

// encodeError converts a handler's error to a JSON-RPC error.
func encodeError(err error) *jsonrpc2.Error {
	out := &jsonrpc2.Error{Code: int64(CodeInternal), Message: err.Error()}
	var data errorData
	var refusal *RefusalError
	data.Refused = errors.As(err, &refusal)
	if code, body, ok := encodeRegistered(err); ok {
		out.Code = int64(code)
		data.Error = body
	}
	out.SetError(data)
	return out
}

// encodeRegistered finds the first error in err's chain whose type is registered
// and returns its code and its JSON encoding.
func encodeRegistered(err error) (Code, json.RawMessage, bool) {
	errorTypes.RLock()
	defer errorTypes.RUnlock()
	for e := err; e != nil; e = errors.Unwrap(e) {
		entry, ok := errorTypes.byType[reflect.TypeOf(e)]
		if !ok {
			continue
		}
		body, jerr := json.Marshal(e)
		if jerr != nil {
			return 0, nil, false
		}
		return entry.code, body, true
	}
	return 0, nil, false
}

// decodeRemote converts a JSON-RPC error to the error type registered for its
// code, or to a *RemoteError. The Delivery is Refused if the remote process stated
// that it did not run the call, otherwise Unknown.
func decodeRemote(e *jsonrpc2.Error) (Delivery, error) {
	var data errorData
	if e.Data != nil {
		// Data that does not decode leaves Refused false.
		_ = json.Unmarshal(*e.Data, &data)
	}
	delivery := Unknown
	if data.Refused {
		delivery = Refused
	}
	errorTypes.RLock()
	entry, ok := errorTypes.byCode[Code(e.Code)]
	errorTypes.RUnlock()
	if ok {
		if v, ok := entry.decode(data.Error); ok {
			return delivery, v
		}
	}
	return delivery, &RemoteError{Code: Code(e.Code), Message: e.Message, Data: data.Error}
}
