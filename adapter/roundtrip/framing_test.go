package roundtrip

import (
	"io"
	"net"
	"net/http"
	"testing"

	"gotest.tools/v3/assert"
)

// TestEndsWithConnection guards against a framed response, or one without a body, that counts as one
// that ends with its connection, and the reverse.
func TestEndsWithConnection(t *testing.T) {
	for _, c := range []struct {
		name, method, response string
		want                   bool
	}{
		{"neither length nor chunks", http.MethodGet, "HTTP/1.1 200 OK\r\n\r\nx", true},
		{"HTTP/1.0", http.MethodGet, "HTTP/1.0 200 OK\r\n\r\nx", true},
		{"error", http.MethodGet, "HTTP/1.1 500 Error\r\nConnection: close\r\n\r\nx", true},
		{"length", http.MethodGet, "HTTP/1.1 200 OK\r\nContent-Length: 1\r\nConnection: close\r\n\r\nx", false},
		{"no bytes", http.MethodGet, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", false},
		{"chunks", http.MethodGet, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\n\r\n", false},
		{"no content", http.MethodGet, "HTTP/1.1 204 No Content\r\n\r\n", false},
		{"HEAD", http.MethodHead, "HTTP/1.1 200 OK\r\n\r\n", false},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := serve(t, func(_ int64, conn net.Conn) bool {
				_, _ = io.WriteString(conn, c.response)
				return false
			})
			client := New(Options{})
			defer client.Close()
			req, err := http.NewRequestWithContext(t.Context(), c.method, "http://"+s.address+"/", nil)
			assert.NilError(t, err)
			resp, err := client.Do(req, nil, 0)
			assert.NilError(t, err)
			defer resp.Body.Close()
			assert.Equal(t, EndsWithConnection(resp), c.want)
		})
	}
}
