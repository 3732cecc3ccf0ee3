package roundtrip

import (
	"io"
	"net/http"
	"strings"

	"golang.org/x/net/http/httpguts"
)

// HeadError reports the head of a response that does not keep to HTTP/1.1. Its status, its fields and the length of its
// body are no evidence of what the upstream meant.
type HeadError struct {
	// Reason says what is wrong.
	Reason string
}

// Error implements error.
func (e *HeadError) Error() string { return "malformed head of response: " + e.Reason }

// headState is the position in a head.
type headState int

// The states. A head begins in inStatus and ends in headEnded.
const (
	headEnded headState = iota
	inStatus
	atLineStart
	inName
	// inText is the reason phrase or the value of a field.
	inText
	// afterCR is behind a carriage return at the end of a line, afterLastCR behind that of the empty line.
	afterCR
	afterLastCR
)

// statusPattern is the beginning of a status line. A v stands for a minor version of HTTP/1, a c for the first
// digit of a status, and a d for any digit.
const statusPattern = "HTTP/1.v cdd"

// headCheck reads from a connection and checks the heads of responses on the way, as http.ReadResponse accepts field
// names with blanks, statuses beyond 599 and versions other than HTTP/1, and joins folded lines.
type headCheck struct {
	r     io.Reader
	state headState
	// position is the number of bytes of the status line, up to the length of statusPattern.
	position int
	// name holds the beginning of the field name.
	name []byte
	// oldVersion means HTTP/1.0. hasLength and hasEncoding mean that the fields were present.
	oldVersion, hasLength, hasEncoding bool
	// malformed is the error of a malformed head, which all later reads return: the parser ignores some errors.
	malformed *HeadError
}

// maxNameBytes is the number of bytes of a field name that are kept to recognize it.
const maxNameBytes = 32

// begin has the head of a response checked, of which the given bytes were read already. The error is a *HeadError.
func (h *headCheck) begin(read []byte) error {
	*h = headCheck{r: h.r, state: inStatus, name: h.name[:0]}
	return h.check(read)
}

// Read implements io.Reader. The error of a malformed head is a *HeadError.
func (h *headCheck) Read(p []byte) (int, error) {
	if h.malformed != nil {
		return 0, h.malformed
	}
	n, err := h.r.Read(p)
	if headErr := h.check(p[:n]); headErr != nil {
		return 0, headErr
	}
	return n, err
}

// check checks the next bytes up to the end of the head.
func (h *headCheck) check(p []byte) error {
	for _, b := range p {
		if h.state == headEnded {
			return nil
		}
		if reason := h.next(b); reason != "" {
			h.malformed = &HeadError{Reason: reason}
			return h.malformed
		}
	}
	return nil
}

// next processes a byte of the head and returns what is wrong with it, "" if nothing is.
func (h *headCheck) next(b byte) (reason string) {
	switch h.state {
	case inStatus:
		return h.nextOfStatus(b)
	case atLineStart:
		return h.nextAtLineStart(b)
	case inName:
		return h.nextOfName(b)
	case inText:
		return h.nextOfText(b)
	case afterCR, afterLastCR:
		if b != '\n' {
			return "carriage return inside a line"
		}
		if h.state == afterLastCR {
			return h.end()
		}
		h.state = atLineStart
	}
	return ""
}

// nextOfStatus processes a byte of the status line.
func (h *headCheck) nextOfStatus(b byte) (reason string) {
	if h.position == len(statusPattern) {
		h.state = inText
		if b > ' ' {
			return "status of more than three digits"
		}
		return h.nextOfText(b)
	}
	valid := false
	switch want := statusPattern[h.position]; want {
	case 'v':
		valid, h.oldVersion = b == '0' || b == '1', b == '0'
	case 'c':
		valid = '1' <= b && b <= '5'
	case 'd':
		valid = '0' <= b && b <= '9'
	default:
		valid = b == want
	}
	h.position++
	if !valid {
		return "invalid version or status"
	}
	return ""
}

// nextAtLineStart processes the first byte of a line.
func (h *headCheck) nextAtLineStart(b byte) (reason string) {
	switch b {
	case '\n':
		return h.end()
	case '\r':
		h.state = afterLastCR
		return ""
	case ' ', '\t':
		return "line that begins with a blank"
	case ':':
		return "field without a name"
	default:
		h.state, h.name = inName, h.name[:0]
		return h.nextOfName(b)
	}
}

// nextOfName processes a byte of the name of a field, or the colon after it.
func (h *headCheck) nextOfName(b byte) (reason string) {
	switch {
	case b == ':':
		h.hasLength = h.hasLength || strings.EqualFold(string(h.name), "Content-Length")
		h.hasEncoding = h.hasEncoding || strings.EqualFold(string(h.name), "Transfer-Encoding")
		h.state = inText
	case !httpguts.IsTokenRune(rune(b)):
		return "invalid name of a field"
	case len(h.name) < maxNameBytes:
		h.name = append(h.name, b)
	}
	return ""
}

// nextOfText processes a byte of the reason phrase or of the value of a field, or the end of its line.
func (h *headCheck) nextOfText(b byte) (reason string) {
	switch {
	case b == '\n':
		h.state = atLineStart
	case b == '\r':
		h.state = afterCR
	case b != '\t' && (b < ' ' || b == 0x7f):
		return "control character in a value"
	}
	return ""
}

// end ends the head. The length of a body with two framings, or in chunks that HTTP/1.0 doesn't know, is ambiguous.
func (h *headCheck) end() (reason string) {
	h.state = headEnded
	if h.hasEncoding && (h.hasLength || h.oldVersion) {
		return "ambiguous length of the body"
	}
	return ""
}

// StrictTransport returns a transport that accepts only responses whose heads keep to HTTP/1.1, as far as t
// leaves that to be seen: the error of others is a *HeadError.
func StrictTransport(t http.RoundTripper) http.RoundTripper { return strictTransport{t} }

// strictTransport implements StrictTransport.
type strictTransport struct{ transport http.RoundTripper }

// RoundTrip implements http.RoundTripper.
func (s strictTransport) RoundTrip(req *http.Request) (*http.Response, error) {
	resp, err := s.transport.RoundTrip(req)
	if err != nil {
		return nil, err
	}
	if err := checkParsed(resp); err != nil {
		_ = resp.Body.Close()
		return nil, err
	}
	return resp, nil
}

// CloseIdleConnections closes the idle connections of the transport. http.Client calls it.
func (s strictTransport) CloseIdleConnections() {
	if c, ok := s.transport.(interface{ CloseIdleConnections() }); ok {
		c.CloseIdleConnections()
	}
}

// checkParsed checks the head of a response that was parsed.
func checkParsed(resp *http.Response) error {
	if resp.ProtoMajor != 1 || resp.ProtoMinor > 1 || resp.StatusCode < 100 || resp.StatusCode > 599 {
		return &HeadError{Reason: "invalid version or status"}
	}
	for name, values := range resp.Header {
		if !httpguts.ValidHeaderFieldName(name) {
			return &HeadError{Reason: "invalid name of a field"}
		}
		for _, value := range values {
			if !httpguts.ValidHeaderFieldValue(value) {
				return &HeadError{Reason: "control character in a value"}
			}
		}
	}
	return nil
}
