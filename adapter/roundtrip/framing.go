package roundtrip

import "net/http"

// EndsWithConnection reports whether a response's body has neither a length nor chunks. The end of such
// a body cannot be told from that of a process that died.
func EndsWithConnection(resp *http.Response) bool {
	// The length of a body that the transport has decompressed is unknown, but its own end mark was checked.
	return resp.ContentLength < 0 && len(resp.TransferEncoding) == 0 && !resp.Uncompressed && !toHead(resp)
}

// toHead reports whether a response is one to a HEAD request, which has no body.
func toHead(resp *http.Response) bool {
	return resp.Request != nil && resp.Request.Method == http.MethodHead
}
