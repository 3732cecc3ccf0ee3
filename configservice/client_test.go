package configservice

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"go.uber.org/goleak"
	"gotest.tools/v3/assert"

	"github.com/wardspool/wardspool/ident"
	"github.com/wardspool/wardspool/internal/bubble"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// fakeTransport is a fake service implemented by a function.
type fakeTransport func(*http.Request) (*http.Response, error)

// RoundTrip implements http.RoundTripper.
func (f fakeTransport) RoundTrip(r *http.Request) (*http.Response, error) { return f(r) }

// connectionError is the network error that fakes return.
type connectionError struct{}

func (connectionError) Error() string { return "connection refused" }

// newResponse builds a response, without an index header if index is 0.
func newResponse(status int, index uint64, body string) *http.Response {
	h := http.Header{}
	if index > 0 {
		h.Set(headerIndex, strconv.FormatUint(index, 10))
	}
	return &http.Response{StatusCode: status, Status: strconv.Itoa(status), Header: h, Body: io.NopCloser(strings.NewReader(body))}
}

// newTestClient returns a client of the given fake service with two addresses.
func newTestClient(t *testing.T, f fakeTransport) *Client {
	t.Helper()
	c, err := NewClient(Options{URLs: []string{"http://a.test", "http://b.test"}, Reader: "entry-a1", Transport: f})
	assert.NilError(t, err)
	return c
}

func TestGet(t *testing.T) {
	limited := newResponse(http.StatusTooManyRequests, 0, "")
	limited.Header.Set(headerRetryAfter, "3")
	tests := []struct {
		name string
		resp *http.Response
		err  error
		is   func(error) bool
	}{
		{"value", newResponse(200, 5, "body"), nil, func(err error) bool { return err == nil }},
		{"absent", newResponse(404, 0, ""), nil, func(err error) bool { return errors.As(err, new(*NotFoundError)) }},
		{"rate limited", limited, nil, func(err error) bool {
			var e *RateLimitedError
			return errors.As(err, &e) && e.RetryAfter == 3*time.Second
		}},
		{"rate limited without a time", newResponse(429, 0, ""), nil, func(err error) bool {
			var e *RateLimitedError
			return errors.As(err, &e) && e.RetryAfter == time.Second
		}},
		{"down", newResponse(503, 0, ""), nil, func(err error) bool { return errors.As(err, new(*UnavailableError)) }},
		{"no answer", nil, connectionError{}, func(err error) bool {
			return errors.As(err, new(*UnavailableError)) && errors.As(err, new(connectionError))
		}},
		{"too large", newResponse(200, 5, strings.Repeat("x", MaxValue+1)), nil, func(err error) bool { return errors.As(err, new(*TooLargeError)) }},
		{"no index", newResponse(200, 0, "body"), nil, func(err error) bool { return errors.As(err, new(*ProtocolError)) }},
		{"redirect", newResponse(302, 0, ""), nil, func(err error) bool { return errors.As(err, new(*ProtocolError)) }},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c := newTestClient(t, func(r *http.Request) (*http.Response, error) {
				assert.Equal(t, r.URL.Path, "/v1/keys/bundle/head")
				assert.Equal(t, r.URL.RawQuery, "")
				assert.Equal(t, r.Header.Get(headerReader), "entry-a1")
				return tt.resp, tt.err
			})
			v, err := c.Get(context.Background(), KeyBundleHead)
			assert.Assert(t, tt.is(err), "%v", err)
			if err == nil {
				assert.DeepEqual(t, v, Value{Index: 5, Bytes: []byte("body")})
			}
			assert.Equal(t, c.Stats().Calls, uint64(1))
		})
	}
}

func TestGetMovesOnFromAnAddressThatIsDown(t *testing.T) {
	var hosts []string
	c := newTestClient(t, func(r *http.Request) (*http.Response, error) {
		hosts = append(hosts, r.URL.Host)
		if r.URL.Host == "a.test" {
			return nil, connectionError{}
		}
		return newResponse(200, 1, ""), nil
	})
	_, err := c.Get(context.Background(), "k")
	assert.Assert(t, err != nil)
	for range 2 {
		_, err = c.Get(context.Background(), "k")
		assert.NilError(t, err)
	}
	assert.DeepEqual(t, hosts, []string{"a.test", "b.test", "b.test"})
}

// TestGetTakesNoValueThatEndsWithItsConnection guards against a value that was cut short and whose index
// is never read again.
func TestGetTakesNoValueThatEndsWithItsConnection(t *testing.T) {
	unframed := true
	c := newTestClient(t, func(*http.Request) (*http.Response, error) {
		resp := newResponse(200, 7, "whole")
		if unframed {
			resp = newResponse(200, 7, "who")
			resp.ContentLength = -1
		}
		return resp, nil
	})
	_, err := c.Get(context.Background(), "k")
	var unavailable *UnavailableError
	assert.Assert(t, errors.As(err, &unavailable), "%v", err)
	unframed = false
	v, err := c.Get(context.Background(), "k")
	assert.NilError(t, err)
	assert.Equal(t, string(v.Bytes), "whole")
}

func TestGetReportsOldValues(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		index := uint64(9)
		c := newTestClient(t, func(*http.Request) (*http.Response, error) { return newResponse(200, index, "old"), nil })
		_, err := c.Get(context.Background(), "k")
		assert.NilError(t, err)
		time.Sleep(time.Minute)
		_, err = c.Get(context.Background(), "k")
		assert.NilError(t, err)
		index = 8
		v, err := c.Get(context.Background(), "k")
		var old *StaleError
		assert.Assert(t, errors.As(err, &old))
		assert.DeepEqual(t, *old, StaleError{Key: "k", Seen: 9, Got: Value{Index: 8, Bytes: []byte("old")}, Age: time.Minute})
		assert.Assert(t, v.Bytes == nil)
		c.Forget("k")
		_, err = c.Get(context.Background(), "k")
		assert.NilError(t, err)
		assert.Equal(t, c.Stats().Stale, uint64(1))
	})
}

func TestGetIsBoundedInTime(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		c := newTestClient(t, func(r *http.Request) (*http.Response, error) {
			<-r.Context().Done()
			return nil, r.Context().Err()
		})
		start := time.Now()
		_, err := c.Get(context.Background(), "k")
		assert.Assert(t, errors.As(err, new(*UnavailableError)))
		assert.Equal(t, time.Since(start), DefaultTimeout)
	})
}

func TestNewClientChecksAddresses(t *testing.T) {
	for _, urls := range [][]string{nil, {"a.test:80"}, {"http://a.test", "ftp://b.test"}, {"http://"}} {
		_, err := NewClient(Options{URLs: urls})
		assert.Assert(t, errors.As(err, new(*AddressError)), "%v", urls)
	}
}

func TestElectChoosesPerKeyAndZone(t *testing.T) {
	live := []ident.InstanceID{"entry-a1", "entry-a2", "entry-a3", "entry-a4"}
	chosen := Elect(KeyInstances, "hall-a", live, 2)
	assert.Equal(t, len(chosen), 2)
	readers := 0
	for _, id := range live {
		if IsElected(id, KeyInstances, "hall-a", live, 2) {
			readers++
		}
	}
	assert.Equal(t, readers, 2)
	differs := false
	for _, key := range []string{KeyUpstreams, KeyBundleHead, KeyRoll} {
		other := Elect(key, "hall-a", live, 2)
		differs = differs || other[0] != chosen[0] || other[1] != chosen[1]
	}
	assert.Assert(t, differs, "the same instances are elected for every key")
}
