package front

import (
	"net"
	"net/http"
	"runtime/debug"
)

// reportPanic is deferred by handlers. It logs and counts a panic other than http.ErrAbortHandler and
// panics again, so that the server closes the connection: the caller gets no answer.
func (f *Front) reportPanic(r *http.Request) {
	v := recover()
	if v == nil {
		return
	}
	if v != http.ErrAbortHandler {
		f.o.Count("handler_panicked")
		f.o.Log.Error("handler panicked, the request gets no answer", "host", r.Host, "target", r.RequestURI, "panic", v, "stack", string(debug.Stack()))
	}
	panic(v)
}

// abort ends a handler whose response must not look complete to its caller. It does not return. In
// HTTP/1.1 the response lacks its last chunk or a part of its length. In HTTP/1.0 a response without a
// length ends with its connection, so the connection is reset.
func abort(r *http.Request, rc *http.ResponseController) {
	if !r.ProtoAtLeast(1, 1) {
		reset(rc)
	}
	panic(http.ErrAbortHandler)
}

// reset resets a request's connection. If that is not possible, the connection is closed as usual.
func reset(rc *http.ResponseController) {
	conn, _, err := rc.Hijack()
	if err != nil {
		return
	}
	below := conn
	for {
		wrapper, ok := below.(interface{ NetConn() net.Conn })
		if !ok {
			break
		}
		below = wrapper.NetConn()
	}
	if tcp, ok := below.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = conn.Close()
}
