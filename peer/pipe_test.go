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

// pipeDialer connects a pool to a server through in-memory pipes.
type pipeDialer struct {
	mu sync.Mutex
	// srv serves the far ends. If it is nil, the test uses them through far.
	srv *Server
	// fail, if not nil, is returned instead of a connection.
	fail error
	// near and far are the two ends of the last connection.
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

// count returns the number of calls of DialContext.
func (d *pipeDialer) count() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.dials
}

// scriptedPeer is one end of a pipe on which a test reads and writes frames
// itself.
type scriptedPeer struct {
	t    *testing.T
	conn net.Conn
	r    *bufio.Reader
}

// newScriptedPeer returns a scriptedPeer on the given end of a connection.
func newScriptedPeer(t *testing.T, conn net.Conn) *scriptedPeer {
	return &scriptedPeer{t: t, conn: conn, r: bufio.NewReader(conn)}
}

func (r *scriptedPeer) send(body string) {
	r.t.Helper()
	_, err := r.conn.Write(appendFrame(nil, []byte(body)))
	assert.NilError(r.t, err)
}

// message is a decoded JSON-RPC message, with the members that tests check.
type message struct {
	ID     uint64          `json:"id"`
	Method string          `json:"method"`
	Result json.RawMessage `json:"result"`
	Error  *struct {
		Code Code      `json:"code"`
		Data errorData `json:"data"`
	} `json:"error"`
}

// receive reads and decodes one message.
func (r *scriptedPeer) receive() message {
	r.t.Helper()
	body, err := readFrame(r.r, DefaultFrame)
	assert.NilError(r.t, err)
	var a message
	assert.NilError(r.t, json.Unmarshal(body, &a))
	return a
}

// expectClosed checks that the other side closes the connection without sending
// more.
func (r *scriptedPeer) expectClosed() {
	r.t.Helper()
	_, err := r.r.ReadByte()
	assert.Assert(r.t, err != nil)
}

// answerHello receives the hello of a pool and sends a valid response.
func (r *scriptedPeer) answerHello() {
	r.t.Helper()
	hello := r.receive()
	assert.Equal(r.t, hello.Method, MethodHello)
	r.send(`{"jsonrpc":"2.0","id":1,"result":{"version":1,"instance":"entry-b1","incarnation":8,"zone":"hall-b"}}`)
}
