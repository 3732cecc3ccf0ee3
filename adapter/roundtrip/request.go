package roundtrip

import (
	"bufio"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
)

// RequestLineError reports a request that cannot be written: its method, target or host has a blank or
// a control character.
type RequestLineError struct{ Method, Target, Host string }

// Error implements error.
func (e *RequestLineError) Error() string {
	return fmt.Sprintf("method, target or host cannot be sent: %q, %q, %q", e.Method, e.Target, e.Host)
}

// BodyLengthError reports a body that is not as long as stated.
type BodyLengthError struct{ Length int64 }

// Error implements error.
func (e *BodyLengthError) Error() string {
	return fmt.Sprintf("the body is not as long as stated, %d bytes", e.Length)
}

// ownHeaders are the headers that writeRequest writes itself or never.
var ownHeaders = map[string]bool{"Host": true, "Content-Length": true, "Transfer-Encoding": true, "Trailer": true}

// writeRequest writes a request. Unlike http.Request.Write it does not change the target, which is
// req.URL.Opaque if that is set, nor the host, and adds no User-Agent. Errors before the first byte are
// *RequestLineError.
func writeRequest(w *bufio.Writer, req *http.Request) error {
	method, target, host := req.Method, req.URL.Opaque, req.Host
	if method == "" {
		method = http.MethodGet
	}
	if target == "" {
		target = req.URL.RequestURI()
	}
	if host == "" {
		host = req.URL.Host
	}
	if !visible(method) || !visible(target) || !visible(host) {
		return &RequestLineError{method, target, host}
	}
	// The writer returns its first error again in later calls.
	for _, part := range []string{method, " ", target, " HTTP/1.1\r\nHost: ", host, "\r\n"} {
		_, _ = w.WriteString(part)
	}
	if statesLength(method, req.ContentLength) {
		_, _ = w.WriteString("Content-Length: ")
		_, _ = w.Write(strconv.AppendInt(w.AvailableBuffer(), max(0, req.ContentLength), 10))
		_, _ = w.WriteString("\r\n")
	}
	if err := req.Header.WriteSubset(w, ownHeaders); err != nil {
		return err
	}
	if _, err := w.WriteString("\r\n"); err != nil || req.ContentLength <= 0 {
		return err
	}
	return writeBody(w, req)
}

// writeBody writes the body of a request.
func writeBody(w *bufio.Writer, req *http.Request) error {
	n, err := io.Copy(w, io.LimitReader(req.Body, req.ContentLength))
	if err != nil {
		return err
	}
	var more [1]byte
	if extra, _ := io.ReadFull(req.Body, more[:]); n < req.ContentLength || extra > 0 {
		return &BodyLengthError{req.ContentLength}
	}
	return nil
}

// statesLength reports whether a request has a Content-Length: if it has a body, or if its method usually
// has one.
func statesLength(method string, length int64) bool {
	return length > 0 || method == http.MethodPost || method == http.MethodPut || method == http.MethodPatch
}

// visible reports whether a string has neither blanks nor control characters.
func visible(s string) bool {
	return strings.IndexFunc(s, func(r rune) bool { return r <= ' ' || r == 0x7f }) < 0
}
