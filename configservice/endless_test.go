package configservice

import (
	"io"
	"net"
	"runtime"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestEndlessHeadersTakeLittleMemory guards against a response whose headers do not end and take more memory than an
// instance has.
func TestEndlessHeadersTakeLittleMemory(t *testing.T) {
	const limit = 48 << 20
	closed := make(chan struct{})
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer l.Close()
	go func() {
		defer close(closed)
		conn, err := l.Accept()
		if err != nil {
			return
		}
		defer conn.Close()
		_, _ = conn.Read(make([]byte, 4<<10))
		_, err = io.WriteString(conn, "HTTP/1.1 200 OK\r\n")
		for lines := strings.Repeat("a: b\r\n", 4<<10); err == nil; {
			_, err = io.WriteString(conn, lines)
		}
	}()
	c, err := NewClient(Options{URLs: []string{"http://" + l.Addr().String()}, Reader: "entry-a1", Timeout: 5 * time.Second})
	assert.NilError(t, err)
	defer c.Close()
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	_, err = c.Get(t.Context(), "key")
	runtime.ReadMemStats(&after)
	assert.Assert(t, err != nil)
	assert.Assert(t, after.TotalAlloc-before.TotalAlloc < limit, "%d bytes", after.TotalAlloc-before.TotalAlloc)
	<-closed
}
