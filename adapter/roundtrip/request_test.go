package roundtrip

import (
	"bufio"
	"bytes"
	"errors"
	"net"
	"net/http"
	"net/url"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/wardspool/wardspool/kernel"
)

// written returns the bytes of a request.
func written(req *http.Request, body string, length int64) (string, error) {
	setBody(req, strings.NewReader(body), length)
	var out bytes.Buffer
	w := bufio.NewWriter(&out)
	err := writeRequest(w, req)
	if flushErr := w.Flush(); err == nil {
		err = flushErr
	}
	return out.String(), err
}

// TestTargetAndHostAreWrittenUnchanged guards against what http.Request.Write changes: targets with two
// slashes, zones of IPv6 addresses, and hosts that it takes for invalid.
func TestTargetAndHostAreWrittenUnchanged(t *testing.T) {
	for _, target := range []string{"/", "//", "//a/b?c", "/\xff", "/%zz?%", "/a?", "/a#b", "/ä", "*", "/" + strings.Repeat("x", 8<<10)} {
		for _, host := range []string{"h", "H.example.:80", "[fe80::1%25en0]:80", "a/b", "ä"} {
			got, err := written(&http.Request{Method: "GET", URL: &url.URL{Host: "1.2.3.4:5", Opaque: target}, Host: host, Header: http.Header{"A": {"b", "c"}}}, "", 0)
			assert.NilError(t, err)
			assert.Equal(t, got, "GET "+target+" HTTP/1.1\r\nHost: "+host+"\r\nA: b\r\nA: c\r\n\r\n")
		}
	}
	got, err := written(&http.Request{Method: "PUT", URL: &url.URL{Host: "1.2.3.4:5", Path: "/a b", RawQuery: "c"}, Header: http.Header{"Content-Length": {"7"}, "Host": {"x"}}}, "body", 4)
	assert.NilError(t, err)
	assert.Equal(t, got, "PUT /a%20b?c HTTP/1.1\r\nHost: 1.2.3.4:5\r\nContent-Length: 4\r\n\r\nbody")
}

func TestLengthIsStated(t *testing.T) {
	for method, stated := range map[string]bool{"GET": false, "HEAD": false, "DELETE": false, "OPTIONS": false, "POST": true, "PUT": true, "PATCH": true} {
		got, err := written(&http.Request{Method: method, URL: &url.URL{Host: "h", Path: "/"}}, "", 0)
		assert.NilError(t, err)
		assert.Equal(t, strings.Contains(got, "Content-Length: 0\r\n"), stated, method)
	}
}

// TestRequestThatCannotBeWrittenIsNotSent guards against requests that an upstream takes for others.
func TestRequestThatCannotBeWrittenIsNotSent(t *testing.T) {
	for _, bad := range []string{"a b", "a\r\nb", "\x7f", "\x00"} {
		for _, req := range []*http.Request{
			{Method: bad, URL: &url.URL{Opaque: "/", Host: "h"}}, {URL: &url.URL{Opaque: "/" + bad, Host: "h"}}, {URL: &url.URL{Opaque: "/", Host: "h"}, Host: bad},
		} {
			got, err := written(req, "", 0)
			var unwritable *RequestLineError
			assert.Assert(t, errors.As(err, &unwritable), "%q", bad)
			assert.Equal(t, got, "")
		}
	}
}

// TestUnwritableRequestIsNoFailureOfTheUpstream guards against upstreams that are taken for unreachable.
func TestUnwritableRequestIsNoFailureOfTheUpstream(t *testing.T) {
	s := serve(t, func(_ int64, c net.Conn) bool { return respondOK(c) })
	c := New(Options{})
	defer c.Close()
	_, err := c.Do(&http.Request{Method: "GET", URL: &url.URL{Opaque: "/a b", Host: s.address}}, nil, 0)
	failed := callError(t, err)
	assert.Equal(t, failed.Code, kernel.FailureRejected)
	assert.Equal(t, failed.Evidence, kernel.NotSent)
	assert.Equal(t, s.requests.Load(), int64(0))
}

// TestBodyOfAnotherLengthIsAnError guards against bytes of a body that begin the next request.
func TestBodyOfAnotherLengthIsAnError(t *testing.T) {
	for _, body := range []string{"abc", "abcde"} {
		got, err := written(&http.Request{Method: "POST", URL: &url.URL{Opaque: "/", Host: "h"}}, body, 4)
		var length *BodyLengthError
		assert.Assert(t, errors.As(err, &length))
		assert.Assert(t, !strings.HasSuffix(got, "abcde"))
	}
	_, err := written(&http.Request{Method: "POST", URL: &url.URL{Opaque: "/", Host: "h"}}, "", 4)
	assert.Assert(t, err != nil)
}
