package http

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"go.uber.org/goleak"
	"gotest.tools/v3/assert"

	"github.com/wardspool/wardspool/adapter"
	"github.com/wardspool/wardspool/api"
	"github.com/wardspool/wardspool/ident"
	"github.com/wardspool/wardspool/kernel"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// newCall starts a server with handler h in the role of a service, and returns an
// adapter and a call for it.
func newCall(t *testing.T, h http.HandlerFunc) (*Service, *adapter.ServiceCall) {
	t.Helper()
	srv := httptest.NewServer(h)
	t.Cleanup(srv.Close)
	s := &Service{}
	assert.NilError(t, s.Provision())
	t.Cleanup(func() { assert.NilError(t, s.Cleanup()) })
	return s, &adapter.ServiceCall{
		Target: adapter.Target{
			Attempt: ident.AttemptID{Instance: "a", Incarnation: 1, Sequence: 1, Deadline: time.UnixMilli(1000)},
			Request: "r-1",
			Address: strings.TrimPrefix(srv.URL, "http://"),
		},
		Method: http.MethodPost, Path: "/p/%2F?q=1", Header: http.Header{}, ResponseLimit: 1 << 20,
	}
}

func TestCallIsPassedOn(t *testing.T) {
	s, c := newCall(t, func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		assert.Check(t, string(body) == "text")
		assert.Check(t, r.RequestURI == "/p/%2F?q=1")
		assert.Check(t, r.Header.Get(headerAttempt) == "a.1.1.rs")
		assert.Check(t, r.Header.Get(headerCorrelation) == "r-1")
		assert.Check(t, r.Header.Get(api.HeaderIdempotencyKey) == "key")
		assert.Check(t, r.Header.Get("X-Own") == "1")
		assert.Check(t, r.Header.Get("X-Hop") == "" && r.Header.Get("Te") == "")
		w.Header().Set("X-Answer", "2")
		w.Header().Set("Keep-Alive", "timeout=5")
		w.WriteHeader(http.StatusConflict)
		_, _ = io.WriteString(w, "taken")
	})
	c.Body = []byte("text")
	c.IdempotencyKey = "key"
	c.Header = http.Header{
		"X-Own": {"1"}, "X-Hop": {"1"}, "Te": {"trailers"}, "Connection": {"close, X-Hop"},
		api.HeaderIdempotencyKey: {"forged"}, headerAttempt: {"callers"},
	}
	got, err := s.Call(t.Context(), c)
	assert.NilError(t, err)
	assert.Equal(t, got.Status, http.StatusConflict)
	assert.Equal(t, string(got.Body), "taken")
	assert.Equal(t, got.Header.Get("X-Answer"), "2")
	assert.Equal(t, got.Header.Get("Keep-Alive"), "")
	assert.Equal(t, c.Header.Get(headerAttempt), "callers", "Call modified the headers of its argument")
}

func TestFailures(t *testing.T) {
	for _, tc := range []struct {
		name     string
		status   int
		body     string
		evidence kernel.Evidence
		code     kernel.FailureCode
	}{
		{"not started", 503, `{"error":{"code":"not_started"}}`, kernel.Refused, kernel.FailureCapacity},
		{"draining", 503, `{"error":{"code":"draining"}}`, kernel.Refused, kernel.FailureDraining},
		{"another status attests nothing", 500, `{"error":{"code":"not_started"}}`, kernel.Ambiguous, kernel.FailureUpstream},
		{"plain text", 503, `busy`, kernel.Ambiguous, kernel.FailureUpstream},
		{"bad gateway", 502, ``, kernel.Ambiguous, kernel.FailureUpstream},
	} {
		t.Run(tc.name, func(t *testing.T) {
			s, c := newCall(t, func(w http.ResponseWriter, _ *http.Request) {
				w.Header().Set("Retry-After", "3")
				w.WriteHeader(tc.status)
				_, _ = io.WriteString(w, tc.body)
			})
			_, err := s.Call(t.Context(), c)
			e := callError(t, err)
			assert.Equal(t, e.Evidence, tc.evidence)
			assert.Equal(t, e.Code, tc.code)
			assert.Equal(t, e.RetryAfter, 3*time.Second)
		})
	}
}

func TestStatusThatIsNoAnswer(t *testing.T) {
	for _, status := range []string{"007", "101"} {
		t.Run(status, func(t *testing.T) {
			s, c := newCall(t, func(w http.ResponseWriter, _ *http.Request) {
				raw, _, err := http.NewResponseController(w).Hijack()
				assert.Check(t, err)
				_, _ = io.WriteString(raw, "HTTP/1.1 "+status+" Odd\r\nContent-Length: 0\r\n\r\n")
				_ = raw.Close()
			})
			_, err := s.Call(t.Context(), c)
			e := callError(t, err)
			assert.Equal(t, e.Code, kernel.FailureBroken)
			assert.Equal(t, e.Evidence, kernel.Ambiguous)
		})
	}
}

func TestTimeout(t *testing.T) {
	hold := make(chan struct{})
	defer close(hold)
	s, c := newCall(t, func(http.ResponseWriter, *http.Request) { <-hold })
	c.Timeout = 20 * time.Millisecond
	_, err := s.Call(t.Context(), c)
	e := callError(t, err)
	assert.Equal(t, e.Code, kernel.FailureTimeout)
	assert.Equal(t, e.Evidence, kernel.Ambiguous)
}

func TestAnswerTooLargeOrCut(t *testing.T) {
	for name, h := range map[string]http.HandlerFunc{
		"too large": func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, strings.Repeat("x", 101)) },
		"cut": func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Content-Length", "50")
			_, _ = io.WriteString(w, "half")
			panic(http.ErrAbortHandler)
		},
		"ends with its connection": func(w http.ResponseWriter, _ *http.Request) {
			conn, _, err := http.NewResponseController(w).Hijack()
			if err != nil {
				return
			}
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\n\r\nhalf")
			_ = conn.Close()
		},
	} {
		t.Run(name, func(t *testing.T) {
			s, c := newCall(t, h)
			c.ResponseLimit = 100
			_, err := s.Call(t.Context(), c)
			e := callError(t, err)
			assert.Equal(t, e.Code, kernel.FailureBroken)
			assert.Equal(t, e.Evidence, kernel.Ambiguous)
		})
	}
}

// callError returns the *adapter.CallError in err's chain, and fails the test if
// there is none.
func callError(t *testing.T, err error) *adapter.CallError {
	t.Helper()
	var e *adapter.CallError
	assert.Assert(t, errors.As(err, &e), "%v", err)
	return e
}

// TestPathIsSentUnchanged guards against paths that are encoded anew or cut at a number sign.
func TestPathIsSentUnchanged(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer l.Close()
	lines := make(chan string, 1)
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			line, _ := bufio.NewReaderSize(c, 16<<10).ReadString('\n')
			lines <- line
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\nConnection: close\r\n\r\n")
			_ = c.Close()
		}
	}()
	s, call := newCall(t, nil)
	call.Address = l.Addr().String()
	for _, path := range []string{"/x%2Fy", "//x/y", "/./x/../y", "/\xff{}", "/ä?ö", "/x?", "/x#y", "/x;a=b", "/%zz?%zz", "/" + strings.Repeat("x", 8<<10)} {
		call.Path = path
		_, err := s.Call(t.Context(), call)
		assert.NilError(t, err, "%q", path)
		assert.Equal(t, <-lines, "POST "+path+" HTTP/1.1\r\n")
	}
}
