// Package doubling has an upstream for tests that sends late copies of its responses.
package doubling

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"

	"gotest.tools/v3/assert"
)

// Response is a response of the upstream.
type Response struct {
	Status int
	// Header holds whole header lines, each with its line end.
	Header string
	Body   string
}

// write writes the response. line is another header line, or empty.
func (r Response) write(w io.Writer, line string) {
	_, _ = fmt.Fprintf(w, "HTTP/1.1 %d Status\r\n%s%sContent-Length: %d\r\n\r\n%s", r.Status, r.Header, line, len(r.Body), r.Body)
}

// Serve starts an upstream that answers the nth request with the nth response, over all connections, and sends a copy of
// each response where the response to the next request of the connection is expected. With named, a response has the
// request's value of the header idHeader. Serve returns the upstream's address; it ends with the test.
func Serve(t *testing.T, idHeader string, named bool, responses ...Response) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	left := make(chan Response, len(responses))
	for _, r := range responses {
		left <- r
	}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go serve(c, idHeader, named, left)
		}
	}()
	return l.Addr().String()
}

// serve serves one connection.
func serve(c net.Conn, idHeader string, named bool, left <-chan Response) {
	defer c.Close()
	requests := bufio.NewReader(c)
	copyOfLast := func() {}
	for {
		r, err := http.ReadRequest(requests)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, r.Body)
		copyOfLast()
		line := ""
		if id := r.Header.Get(idHeader); named && id != "" {
			line = idHeader + ": " + id + "\r\n"
		}
		response := <-left
		response.write(c, line)
		copyOfLast = func() { response.write(c, line) }
	}
}
