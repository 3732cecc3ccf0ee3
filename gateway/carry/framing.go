package carry

import "net/http"

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
