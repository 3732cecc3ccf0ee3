package peer

import (
	"bufio"
	"context"
	"encoding/json"
	"net"
	"sync"
	"testing"

	"gotest.tools/v3/assert"
)

// pipeDialer connects a pool to a server by in-memory pipes.
type pipeDialer struct {
	mu sync.Mutex
	// srv accepts the far ends; nil leaves them to far.
	srv *Server
	// fail is returned instead of a connection.
	fail error
	// near and far are the ends of the last connection.
	near, far net.Conn
	dials     int
}

// DialContext implements Dialer.
func (d *pipeDialer) DialContext(context.Context, string, string) (net.Conn, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.dials++
	if d.fail != nil {
		return nil, d.fail
	}
	d.near, d.far = net.Pipe()
	if d.srv != nil {
		go d.srv.ServeConn(d.far)
	}
	return d.near, nil
}

// count returns how many connections were asked for.
func (d *pipeDialer) count() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.dials
}

// remote is a hand-written peer at the far end of a pipe.
type remote struct {
	t    *testing.T
	conn net.Conn
	r    *bufio.Reader
}

// newRemote serves the raw end of a connection.
func newRemote(t *testing.T, conn net.Conn) *remote {
	return &remote{t: t, conn: conn, r: bufio.NewReader(conn)}
}

// send writes a frame with the given body.
func (r *remote) send(body string) {
	r.t.Helper()
	_, err := r.conn.Write(appendFrame(nil, []byte(body)))
	assert.NilError(r.t, err)
}

// answer is a response as read from the wire.
type answer struct {
	ID     uint64          `json:"id"`
	Method string          `json:"method"`
	Result json.RawMessage `json:"result"`
	Error  *struct {
		Code Code      `json:"code"`
		Data errorData `json:"data"`
	} `json:"error"`
}

// receive reads a frame.
func (r *remote) receive() answer {
	r.t.Helper()
	body, err := readFrame(r.r, DefaultFrame)
	assert.NilError(r.t, err)
	var a answer
	assert.NilError(r.t, json.Unmarshal(body, &a))
	return a
}

// closed checks that the other side closed the connection.
func (r *remote) closed() {
	r.t.Helper()
	_, err := r.r.ReadByte()
	assert.Assert(r.t, err != nil)
}

// greet answers the hello of a pool.
func (r *remote) greet() {
	r.t.Helper()
	hello := r.receive()
	assert.Equal(r.t, hello.Method, MethodHello)
	r.send(`{"jsonrpc":"2.0","id":1,"result":{"version":1,"instance":"entry-b1","incarnation":8,"zone":"hall-b"}}`)
}
