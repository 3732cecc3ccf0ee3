package target

import (
	"bufio"
	"errors"
	"net/http"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

func TestParse(t *testing.T) {
	long := "/" + strings.Repeat("x", 8<<10)
	for _, c := range []struct {
		raw, want, path, authority string
		reason                     Reason
	}{
		{raw: "/", want: "/", path: "/"},
		{raw: "/a%2Fb/%2e%2E?c=%20", want: "/a%2Fb/%2e%2E?c=%20", path: "/a%2Fb/%2e%2E"},
		{raw: "//a/b", want: "//a/b", path: "//a/b"},
		{raw: "/./a/../b", want: "/./a/../b", path: "/./a/../b"},
		{raw: "/a?", want: "/a?", path: "/a"},
		{raw: "/a?b?c/d", want: "/a?b?c/d", path: "/a"},
		{raw: "/%zz%?%", want: "/%zz%?%", path: "/%zz%"},
		{raw: "/\xff\x80ä", want: "/\xff\x80ä", path: "/\xff\x80ä"},
		{raw: "/a;b=c#d?e", want: "/a;b=c#d?e", path: "/a;b=c#d"},
		{raw: "/http://h/x", want: "/http://h/x", path: "/http://h/x"},
		{raw: long, want: long, path: long},
		{raw: "http://H.example:80//a%2F?", want: "//a%2F?", path: "//a%2F", authority: "H.example:80"},
		{raw: "HTTPS://[::1]/a", want: "/a", path: "/a", authority: "[::1]"},
		{raw: "", reason: ReasonNoPath},
		{raw: "?", reason: ReasonNoPath},
		{raw: "?a=b", reason: ReasonNoPath},
		{raw: "*", reason: ReasonAsterisk},
		{raw: "**", reason: ReasonForm},
		{raw: "a/b", reason: ReasonForm},
		{raw: "h.example:80", reason: ReasonForm},
		{raw: "http:/a", reason: ReasonForm},
		{raw: "x?http://h/a", reason: ReasonForm},
		{raw: "http://h", reason: ReasonNoPath},
		{raw: "http://h?a", reason: ReasonNoPath},
		{raw: "http://h#a/", reason: ReasonNoPath},
		{raw: "http:///a", reason: ReasonAuthority},
		{raw: "http://u:p@h/a", reason: ReasonAuthority},
		{raw: "http://%68/a", reason: ReasonAuthority},
		{raw: "http://\xff/a", reason: ReasonAuthority},
		{raw: "ftp://h/a", reason: ReasonScheme},
		{raw: "http\u017f://h/a", reason: ReasonScheme},
		{raw: "/a b", reason: ReasonBytes},
		{raw: "/a\r\nb", reason: ReasonBytes},
		{raw: "http://h/\x7f", reason: ReasonBytes},
	} {
		got, authority, err := Parse(c.raw)
		if c.reason != "" {
			var unsupported *UnsupportedError
			assert.Assert(t, errors.As(err, &unsupported), "%q", c.raw)
			assert.Equal(t, unsupported.Reason, c.reason, "%q", c.raw)
			assert.Equal(t, unsupported.Target, c.raw)
			continue
		}
		assert.NilError(t, err, "%q", c.raw)
		assert.Equal(t, string(got), c.want)
		assert.Equal(t, got.Path(), c.path)
		assert.Equal(t, authority, c.authority)
	}
}

// TestAuthorityThatTheServerChangesIsRefused guards against requests whose host is another one than that
// of their target.
func TestAuthorityThatTheServerChangesIsRefused(t *testing.T) {
	for raw, supported := range map[string]bool{
		"http://h.example/a": true, "http://H.example.:80/a": true, "http://[::1]:80/a": true, "http://[fe80::1%25en0]/a": false, "http://h%C3%A4/a": false,
	} {
		r, err := http.ReadRequest(bufio.NewReader(strings.NewReader("GET " + raw + " HTTP/1.1\r\nHost: other\r\n\r\n")))
		assert.NilError(t, err, raw)
		_, err = Read(r)
		assert.Equal(t, err == nil, supported, raw)
	}
	_, err := Read(&http.Request{RequestURI: "http://h.example/a", Host: "other"})
	assert.Assert(t, err != nil)
}
