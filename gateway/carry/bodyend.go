package carry

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
)

// framing is how the end of a response body is marked.
type framing string

// The kinds of framing, as they appear in logs.
const (
	framedByLength framing = "length"
	framedByChunks framing = "chunks"
	// framedByConnection means that the body ends with its connection. Its end cannot be told from
	// that of a process that died.
	framedByConnection framing = "connection"
)

// framingOf returns the framing of a response's body.
func framingOf(resp *http.Response) framing {
	switch {
	case resp.ContentLength >= 0:
		return framedByLength
	case len(resp.TransferEncoding) > 0:
		return framedByChunks
	default:
		return framedByConnection
	}
}

// IncompleteEventError reports a stream that ended inside an event.
type IncompleteEventError struct {
	// Bytes is the length of the part that was received.
	Bytes int
}

// Error implements the error interface.
func (e *IncompleteEventError) Error() string {
	return fmt.Sprintf("stream ended inside an event, after %d bytes of it", e.Bytes)
}

// checkStreamEnd returns an error if a stream whose body was read to its end is not complete. rest is
// what follows the last complete event. stopped means that the engine may have been told to stop it.
func checkStreamEnd(resp *http.Response, rest []byte, stopped bool) error {
	switch {
	case insideEvent(rest):
		return &IncompleteEventError{Bytes: len(rest)}
	case stopped && framingOf(resp) == framedByConnection:
		return io.ErrUnexpectedEOF
	default:
		return nil
	}
}

// insideEvent reports whether what follows the last complete event of a stream is a part of another
// one, and not only blank lines and comments.
func insideEvent(rest []byte) bool {
	for len(rest) > 0 {
		line, after, ended := bytes.Cut(rest, []byte("\n"))
		line = bytes.TrimSuffix(line, []byte("\r"))
		if !ended || len(line) > 0 && line[0] != ':' {
			return true
		}
		rest = after
	}
	return false
}
