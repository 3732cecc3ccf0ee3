package configservice

import "encoding/json"

// maxDepth is the nesting of a list's document up to which it is decoded. What is nested more deeply is in no field of an
// entry, and package encoding/json rejects a document for it.
const maxDepth = 64

// EntryError reports an entry of a list that cannot be decoded. The other entries are not affected.
type EntryError struct {
	// Index is the position of the entry in the list.
	Index int
	// Err is the decoder's error.
	Err error
}

// Error implements error.
func (e *EntryError) Error() string {
	text := e.Err.Error()
	if len(text) > maxErrorBytes {
		// The error of a number repeats its digits.
		text = text[:maxErrorBytes] + "..."
	}
	return "decode entry of list: " + text
}

// Unwrap returns the decoder's error.
func (e *EntryError) Unwrap() error { return e.Err }

// maxErrorBytes is the length up to which a decoder's error is stated.
const maxErrorBytes = 200

// DecodeInstances decodes the document under KeyInstances, without the entries that cannot be decoded, whose errors are
// *EntryErrors. If err is not nil, the document is no list.
func DecodeInstances(doc []byte) (l Instances, left []error, err error) {
	var raw struct {
		Instances []json.RawMessage `json:"instances"`
	}
	if err := json.Unmarshal(withoutDeepNesting(doc), &raw); err != nil {
		return l, nil, err
	}
	l.Instances, left = decodeEntries[Instance](raw.Instances)
	return l, left, nil
}

// DecodeUpstreams does the same for the document under KeyUpstreams.
func DecodeUpstreams(doc []byte) (l Upstreams, left []error, err error) {
	var raw struct {
		Upstreams []json.RawMessage `json:"upstreams"`
	}
	if err := json.Unmarshal(withoutDeepNesting(doc), &raw); err != nil {
		return l, nil, err
	}
	l.Upstreams, left = decodeEntries[Upstream](raw.Upstreams)
	return l, left, nil
}

// decodeEntries decodes the entries of a list.
func decodeEntries[T any](raw []json.RawMessage) (entries []T, left []error) {
	for i, r := range raw {
		var entry T
		if err := json.Unmarshal(r, &entry); err != nil {
			left = append(left, &EntryError{Index: i, Err: err})
			continue
		}
		entries = append(entries, entry)
	}
	return entries, left
}

// withoutDeepNesting returns a JSON document with the arrays and objects that are nested in maxDepth others made empty. It
// returns the document itself if there are none.
func withoutDeepNesting(doc []byte) []byte {
	var out []byte
	depth, kept := 0, 0
	inString, escaped := false, false
	for i, b := range doc {
		switch {
		case escaped:
			escaped = false
		case inString:
			escaped, inString = b == '\\', b != '"'
		case b == '"':
			inString = true
		case b == '[' || b == '{':
			depth++
			if depth == maxDepth+1 {
				out = append(out, doc[kept:i+1]...)
			}
		case b == ']' || b == '}':
			if depth == maxDepth+1 {
				kept = i
			}
			depth--
		}
	}
	if out == nil {
		return doc
	}
	if depth > maxDepth {
		// The document ends inside.
		return out
	}
	return append(out, doc[kept:]...)
}
