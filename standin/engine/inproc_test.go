package engine

import (
	"context"
	"io"
	"net/http"
	"sync"
)

// inproc is an http.RoundTripper that calls the handler of a host directly, so
// that complete sessions run inside a synctest bubble without sockets.
type inproc struct{ byHost map[string]http.Handler }

// RoundTrip implements http.RoundTripper.
func (t *inproc) RoundTrip(req *http.Request) (*http.Response, error) {
	handler := t.byHost[req.URL.Host]
	if handler == nil {
		return nil, &refusedError{host: req.URL.Host}
	}
	ctx, cancel := context.WithCancel(req.Context())
	body, pipe := io.Pipe()
	w := &inprocWriter{header: http.Header{}, pipe: pipe, headerWritten: make(chan struct{})}
	inner := req.Clone(ctx)
	if inner.Body == nil {
		inner.Body = http.NoBody
	}
	context.AfterFunc(req.Context(), func() { _ = body.CloseWithError(context.Canceled) })
	go func() {
		defer cancel()
		defer func() {
			if recover() != nil {
				w.abort()
			}
		}()
		handler.ServeHTTP(w, inner)
		w.WriteHeader(http.StatusOK)
		_ = pipe.Close()
	}()
	select {
	case <-w.headerWritten:
	case <-req.Context().Done():
		return nil, req.Context().Err()
	}
	if w.aborted {
		return nil, io.EOF
	}
	return &http.Response{
		StatusCode: w.status,
		Header:     w.sent,
		Body:       &inprocBody{PipeReader: body, cancel: cancel},
		Request:    req,
	}, nil
}

// refusedError reports a host that has no handler.
type refusedError struct{ host string }

func (e *refusedError) Error() string { return "connection refused: " + e.host }

// inprocBody is a response body that cancels the handler's context on Close.
type inprocBody struct {
	*io.PipeReader
	cancel func()
}

func (b *inprocBody) Close() error {
	b.cancel()
	return b.PipeReader.Close()
}

// inprocWriter is a ResponseWriter that pipes the handler's output to the reader
// of the response.
type inprocWriter struct {
	header        http.Header
	sent          http.Header
	status        int
	pipe          *io.PipeWriter
	once          sync.Once
	headerWritten chan struct{}
	aborted       bool
}

func (w *inprocWriter) Header() http.Header { return w.header }

func (w *inprocWriter) WriteHeader(status int) {
	w.once.Do(func() {
		w.status = status
		w.sent = w.header.Clone()
		close(w.headerWritten)
	})
}

func (w *inprocWriter) Write(b []byte) (int, error) {
	w.WriteHeader(http.StatusOK)
	if len(b) == 0 {
		return 0, nil
	}
	return w.pipe.Write(b)
}

func (w *inprocWriter) Flush() {}

// abort ends the response as a closed connection does.
func (w *inprocWriter) abort() {
	w.once.Do(func() {
		w.aborted = true
		close(w.headerWritten)
	})
	_ = w.pipe.CloseWithError(io.ErrUnexpectedEOF)
}
