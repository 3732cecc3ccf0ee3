package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"time"
)

// Conn is a client's connection to a gateway, which carries many requests.
type Conn struct {
	to   string
	conn net.Conn
	buf  *bufio.Reader
}

// Close closes the connection.
func (c *Conn) Close() {
	if c.conn != nil {
		_ = c.conn.Close()
		c.conn = nil
	}
}

// Outcome is what a client saw of a request.
type Outcome struct {
	ID       string
	Sent     time.Duration
	Ended    time.Duration
	Status   int
	Signed   bool
	Body     string
	Complete bool
	// Err says how the connection ended, "" if the answer is complete.
	Err string
}

// Do sends a request and reads the answer. The connection is kept if it can be.
func (c *Conn) Do(rec *Record, method, host, path string, header map[string]string, body string, limit time.Duration) Outcome {
	o := Outcome{ID: fmt.Sprintf("%016x", rand.Uint64())}
	if c.conn == nil {
		conn, err := net.DialTimeout("tcp", c.to, time.Second)
		if err != nil {
			o.Sent, o.Ended, o.Err = rec.Now(), rec.Now(), "no connection"
			return o
		}
		c.conn, c.buf = conn, bufio.NewReader(conn)
	}
	var b strings.Builder
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\nDeadline-Ms: %d\r\n", method, path, host, o.ID, limit.Milliseconds())
	for k, v := range header {
		fmt.Fprintf(&b, "%s: %s\r\n", k, v)
	}
	if method != http.MethodGet {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", len(body))
	}
	b.WriteString("\r\n" + body)
	_ = c.conn.SetDeadline(time.Now().Add(limit + time.Second))
	o.Sent = rec.Now()
	rec.Add("sent", "request", o.ID, "to", c.to, "path", path)
	_, err := io.WriteString(c.conn, b.String())
	var resp *http.Response
	if err == nil {
		resp, err = http.ReadResponse(c.buf, &http.Request{Method: method})
	}
	if err == nil {
		o.Status, o.Signed = resp.StatusCode, resp.Header.Get("Response-Signature") != ""
		var data []byte
		data, err = io.ReadAll(resp.Body)
		o.Body = string(data)
		if resp.Close {
			defer c.Close()
		}
	}
	o.Ended = rec.Now()
	if o.Complete = err == nil; err != nil {
		o.Err = err.Error()
		c.Close()
	}
	last := o.Body[max(0, strings.LastIndex(strings.TrimRight(o.Body, "\n"), "\n\n")):]
	rec.Add("answer", "request", o.ID, "status", o.Status, "signed", o.Signed, "complete", o.Complete, "bytes", len(o.Body), "error", fmt.Sprintf("%q", o.Err), "last", fmt.Sprintf("%.70q", strings.TrimSpace(last)))
	return o
}
