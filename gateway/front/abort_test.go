package front

import (
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"syscall"
	"testing"

	"gotest.tools/v3/assert"
)

// readResponse sends a request and returns the bytes of the response until the connection ends, and the
// error with which it ended.
func readResponse(t *testing.T, address, request string) (string, error) {
	t.Helper()
	conn, err := net.Dial("tcp", address)
	assert.NilError(t, err)
	defer conn.Close()
	_, err = io.WriteString(conn, request)
	assert.NilError(t, err)
	response, err := io.ReadAll(conn)
	return string(response), err
}

// TestAbortedResponseDoesNotLookComplete guards against a response that broke off and that its caller
// takes for complete, in particular one of HTTP/1.0, which ends with its connection.
func TestAbortedResponseDoesNotLookComplete(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		rc := http.NewResponseController(w)
		_, _ = io.WriteString(w, "part")
		_ = rc.Flush()
		abort(r, rc)
	}))
	defer server.Close()
	for _, c := range []struct {
		protocol, header string
		// framed means that the framing shows that the response is incomplete.
		framed bool
	}{{"HTTP/1.0", "", false}, {"HTTP/1.0", "Connection: keep-alive\r\n", false}, {"HTTP/1.1", "", true}, {"HTTP/1.1", "Connection: close\r\n", true}} {
		t.Run(c.protocol+" "+c.header, func(t *testing.T) {
			response, err := readResponse(t, server.Listener.Addr().String(), fmt.Sprintf("GET / %s\r\nHost: h\r\n%s\r\n", c.protocol, c.header))
			assert.Assert(t, strings.Contains(response, "part"), "%q", response)
			if !c.framed {
				assert.Assert(t, errors.Is(err, syscall.ECONNRESET), "%q, %v", response, err)
				return
			}
			assert.Assert(t, strings.Contains(response, "Transfer-Encoding: chunked"), "%q", response)
			assert.Assert(t, !strings.HasSuffix(response, "0\r\n\r\n"), "%q", response)
		})
	}
}
