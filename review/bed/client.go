package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"time"
)

// request is what a client sends.
type request struct {
	id, method, host, target, body string
	header                         http.Header
}

// answer is what a client got. status is 0 if there was none.
type answer struct {
	status   int
	header   http.Header
	body     string
	complete bool
}

var requestNumber atomic.Int64

// newID returns a new Request-Id.
func newID() string { return fmt.Sprintf("r%06d", requestNumber.Add(1)) }

// send sends a request on a connection of its own and reads the whole answer. It writes the request line
// itself, so that the target reaches the gateway as it stands.
func (b *bed) send(ctx context.Context, to string, q request) answer {
	c, err := (&net.Dialer{Timeout: time.Second}).DialContext(ctx, "tcp", to)
	if err != nil {
		return answer{}
	}
	defer c.Close()
	if end, ok := ctx.Deadline(); ok {
		_ = c.SetDeadline(end)
	}
	return exchange(c, q)
}

// exchange sends a request on a connection and reads the whole answer.
func exchange(c net.Conn, q request) answer {
	var head strings.Builder
	fmt.Fprintf(&head, "%s %s HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\nContent-Length: %d\r\n", q.method, q.target, q.host, q.id, len(q.body))
	for name := range q.header {
		fmt.Fprintf(&head, "%s: %s\r\n", name, q.header.Get(name))
	}
	if _, err := io.WriteString(c, head.String()+"\r\n"+q.body); err != nil {
		return answer{}
	}
	resp, err := http.ReadResponse(bufio.NewReader(c), &http.Request{Method: q.method})
	if err != nil {
		return answer{}
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	return answer{resp.StatusCode, resp.Header, string(body), err == nil}
}

// streamRequest returns a stream with the given numbers of prompt tokens and of output tokens: the most,
// and the client's estimate.
func streamRequest(path string, prompt, most, estimate int) request {
	id := newID()
	return request{id: id, method: http.MethodPost, host: hostName, target: path, body: "{}", header: http.Header{
		"Model": {"m"}, "Token-Usage": {fmt.Sprintf("%d,%d", prompt, most)}, "Length-Hint": {fmt.Sprint(estimate)},
		"Prompt-Prefix": {id[1:] + fmt.Sprintf(":%d", prompt)}, "Deadline-Ms": {"14000"},
	}}
}

// offerStreams sends streams to a gateway at a steady rate until ctx ends.
func (b *bed) offerStreams(ctx context.Context, to string, perSecond float64, path string, prompt, output int, count func(status int)) {
	tick := time.NewTicker(time.Duration(float64(time.Second) / perSecond))
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		go func() {
			limit, cancel := context.WithTimeout(ctx, 14*time.Second)
			defer cancel()
			a := b.send(limit, to, streamRequest(path, prompt, output, output))
			count(a.status)
		}()
	}
}
