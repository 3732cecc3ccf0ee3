package roundtrip

import (
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/wardspool/wardspool/kernel"
)

// malformedHeads are responses of two bytes whose heads are none in HTTP/1.1. Those of ambiguousHeads are not
// seen by a StrictTransport, because http.Transport makes something else of them.
var (
	malformedHeads = map[string]string{
		"status 000":                  "HTTP/1.1 000 None\r\nContent-Length: 2\r\n\r\nok",
		"status 020":                  "HTTP/1.1 020 None\r\nContent-Length: 2\r\n\r\nok",
		"status 099":                  "HTTP/1.1 099 None\r\nContent-Length: 2\r\n\r\nok",
		"status +20":                  "HTTP/1.1 +20 None\r\nContent-Length: 2\r\n\r\nok",
		"status -20":                  "HTTP/1.1 -20 None\r\nContent-Length: 2\r\n\r\nok",
		"status 20":                   "HTTP/1.1 20 OK\r\nContent-Length: 2\r\n\r\nok",
		"status 2000":                 "HTTP/1.1 2000 OK\r\nContent-Length: 2\r\n\r\nok",
		"status 2x0":                  "HTTP/1.1 2x0 OK\r\nContent-Length: 2\r\n\r\nok",
		"status 600":                  "HTTP/1.1 600 OK\r\nContent-Length: 2\r\n\r\nok",
		"status 999":                  "HTTP/1.1 999 OK\r\nContent-Length: 2\r\n\r\nok",
		"no status":                   "HTTP/1.1 OK\r\nContent-Length: 2\r\n\r\nok",
		"HTTP/0.9":                    "HTTP/0.9 200 OK\r\nContent-Length: 2\r\n\r\nok",
		"HTTP/2.0":                    "HTTP/2.0 200 OK\r\nContent-Length: 2\r\n\r\nok",
		"HTTP/9.9":                    "HTTP/9.9 200 OK\r\nContent-Length: 2\r\n\r\nok",
		"HTTP/1.2":                    "HTTP/1.2 200 OK\r\nContent-Length: 2\r\n\r\nok",
		"lower case":                  "http/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok",
		"blank in a name":             "HTTP/1.1 200 OK\r\nX Odd: 1\r\nContent-Length: 2\r\n\r\nok",
		"blank before a colon":        "HTTP/1.1 200 OK\r\nX-Odd : 1\r\nContent-Length: 2\r\n\r\nok",
		"blank after Content-Length":  "HTTP/1.1 200 OK\r\nContent-Length : 2\r\n\r\nok",
		"blank after the encoding":    "HTTP/1.1 200 OK\r\nTransfer-Encoding : chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n",
		"blank inside Content-Length": "HTTP/1.1 200 OK\r\nContent- Length: 2\r\n\r\nok",
		"tab in a name":               "HTTP/1.1 200 OK\r\nX\tOdd: 1\r\nContent-Length: 2\r\n\r\nok",
		"control byte in a name":      "HTTP/1.1 200 OK\r\nX\x01Odd: 1\r\nContent-Length: 2\r\n\r\nok",
		"NUL in a name":               "HTTP/1.1 200 OK\r\nX\x00Odd: 1\r\nContent-Length: 2\r\n\r\nok",
		"DEL in a name":               "HTTP/1.1 200 OK\r\nX\x7fOdd: 1\r\nContent-Length: 2\r\n\r\nok",
		"high byte in a name":         "HTTP/1.1 200 OK\r\nX\xc3\xa4: 1\r\nContent-Length: 2\r\n\r\nok",
		"separator in a name":         "HTTP/1.1 200 OK\r\nX(Odd): 1\r\nContent-Length: 2\r\n\r\nok",
		"no name":                     "HTTP/1.1 200 OK\r\n: 1\r\nContent-Length: 2\r\n\r\nok",
		"blank for a name":            "HTTP/1.1 200 OK\r\n : 1\r\nContent-Length: 2\r\n\r\nok",
		"no colon":                    "HTTP/1.1 200 OK\r\nX-Odd\r\nContent-Length: 2\r\n\r\nok",
		"NUL in a value":              "HTTP/1.1 200 OK\r\nX-Odd: a\x00b\r\nContent-Length: 2\r\n\r\nok",
		"control byte in a value":     "HTTP/1.1 200 OK\r\nX-Odd: a\x01b\r\nContent-Length: 2\r\n\r\nok",
		"bare CR in a value":          "HTTP/1.1 200 OK\r\nX-Odd: a\rb\r\nContent-Length: 2\r\n\r\nok",
		"two lengths":                 "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nContent-Length: 3\r\n\r\nok",
		"negative length":             "HTTP/1.1 200 OK\r\nContent-Length: -2\r\n\r\nok",
		"signed length":               "HTTP/1.1 200 OK\r\nContent-Length: +2\r\n\r\nok",
		"first line folded":           "HTTP/1.1 200 OK\r\n X-Odd: 1\r\nContent-Length: 2\r\n\r\nok",
		"unknown encoding":            "HTTP/1.1 200 OK\r\nTransfer-Encoding: odd\r\n\r\nok",
		"no head":                     "ok",
		"empty line":                  "\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok",
	}
	ambiguousHeads = map[string]string{
		"folded length":              "HTTP/1.1 200 OK\r\nX-Odd: 1\r\n Content-Length: 2\r\n\r\nok",
		"line folded by a tab":       "HTTP/1.1 200 OK\r\nX-Odd: 1\r\n\tContent-Length: 2\r\n\r\nok",
		"length and chunks":          "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n",
		"chunks of HTTP/1.0":         "HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n",
		"control byte in the reason": "HTTP/1.1 200 O\x01K\r\nContent-Length: 2\r\n\r\nok",
		"two blanks before status":   "HTTP/1.1  200 OK\r\nContent-Length: 2\r\n\r\nok",
	}
)

// soundHeads are responses of two bytes with unusual heads that HTTP/1.1 allows.
var soundHeads = map[string]string{
	"no reason":              "HTTP/1.1 200\r\nContent-Length: 2\r\n\r\nok",
	"empty reason":           "HTTP/1.1 200 \r\nContent-Length: 2\r\n\r\nok",
	"HTTP/1.0":               "HTTP/1.0 200 OK\r\nContent-Length: 2\r\n\r\nok",
	"bare LF":                "HTTP/1.1 200 OK\nContent-Length: 2\n\nok",
	"high byte in a value":   "HTTP/1.1 200 OK\r\nX-Odd: \xc3\xa4\r\nContent-Length: 2\r\n\r\nok",
	"tab in a value":         "HTTP/1.1 200 OK\r\nX-Odd:\ta\tb\t\r\nContent-Length: 2\r\n\r\nok",
	"empty value":            "HTTP/1.1 200 OK\r\nX-Odd:\r\nContent-Length: 2\r\n\r\nok",
	"all bytes of a name":    "HTTP/1.1 200 OK\r\n!#$%&'*+-.^_`|~0aZ: 1\r\nContent-Length: 2\r\n\r\nok",
	"long name":              "HTTP/1.1 200 OK\r\n" + strings.Repeat("x", 5000) + ": 1\r\nContent-Length: 2\r\n\r\nok",
	"after an interim one":   "HTTP/1.1 103 Early Hints\r\nX-Odd: 1\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok",
	"colons in a body":       "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n :",
	"chunks with a trailer":  "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\nX-Odd: 1\r\n\r\n",
	"length in another case": "HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok",
}

// respondWith serves a text, in pieces of the given size, as the answer to each request and closes the connection.
func respondWith(t *testing.T, text string, piece int) *server {
	return serve(t, func(_ int64, c net.Conn) bool {
		for begin := 0; begin < len(text); begin += piece {
			if _, err := io.WriteString(c, text[begin:min(begin+piece, len(text))]); err != nil {
				break
			}
		}
		return false
	})
}

// read sends a request with do and reads the response.
func read(t *testing.T, address string, do func(*http.Request) (*http.Response, error)) (string, error) {
	t.Helper()
	req, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://"+address+"/", nil)
	assert.NilError(t, err)
	resp, err := do(req)
	if err != nil {
		return "", err
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	return string(body), err
}

// withoutBody sends a request without a body.
func withoutBody(c *Client) func(*http.Request) (*http.Response, error) {
	return func(req *http.Request) (*http.Response, error) { return c.Do(req, nil, 0) }
}

// TestMalformedHeadIsNoResponse guards against a response that counts as one though its head is none in HTTP/1.1, with a body
// that is not the upstream's or a field that is passed on.
func TestMalformedHeadIsNoResponse(t *testing.T) {
	c := New(Options{})
	defer c.Close()
	for _, heads := range []map[string]string{malformedHeads, ambiguousHeads} {
		for name, text := range heads {
			for _, piece := range []int{1, len(text)} {
				body, err := read(t, respondWith(t, text, piece).address, withoutBody(c))
				assert.Assert(t, err != nil, "%s counts as a response: %q", name, body)
				assert.Equal(t, evidence(t, err), kernel.Ambiguous, name)
			}
		}
	}
}

// TestStrictTransportAcceptsNoMalformedHead guards against the same in the responses that are read by an http.Client.
func TestStrictTransportAcceptsNoMalformedHead(t *testing.T) {
	c := &http.Client{Transport: StrictTransport(&http.Transport{})}
	defer c.CloseIdleConnections()
	for name, text := range malformedHeads {
		body, err := read(t, respondWith(t, text, len(text)).address, c.Do)
		assert.Assert(t, err != nil, "%s counts as a response: %q", name, body)
	}
}

// TestUnusualHeadIsAResponse guards against responses that are refused though HTTP/1.1 allows their heads.
func TestUnusualHeadIsAResponse(t *testing.T) {
	c, strict := New(Options{}), &http.Client{Transport: StrictTransport(&http.Transport{})}
	defer c.Close()
	defer strict.CloseIdleConnections()
	for name, text := range soundHeads {
		for _, piece := range []int{1, len(text)} {
			body, err := read(t, respondWith(t, text, piece).address, withoutBody(c))
			assert.NilError(t, err, name)
			assert.Equal(t, len(body), 2, name)
		}
		body, err := read(t, respondWith(t, text, len(text)).address, strict.Do)
		assert.NilError(t, err, name)
		assert.Equal(t, len(body), 2, name)
	}
}

// TestSecondHeadOfAConnectionIsChecked guards against a malformed head that is not noticed because it arrived together with
// the response before it.
func TestSecondHeadOfAConnectionIsChecked(t *testing.T) {
	sound := "HTTP/1.1 103 Early Hints\r\n\r\n"
	c := New(Options{})
	defer c.Close()
	for name, text := range malformedHeads {
		text = sound + text
		body, err := read(t, respondWith(t, text, len(text)).address, withoutBody(c))
		assert.Assert(t, err != nil, "%s counts as a response: %q", name, body)
		var head *HeadError
		assert.Assert(t, !strings.HasPrefix(name, "blank") || errors.As(err, &head), "%s: %v", name, err)
	}
}

// TestHeadThatStopsInItsMiddleIsNoResponse guards against a response with an empty or short body whose upstream stopped in
// the middle of its head.
func TestHeadThatStopsInItsMiddleIsNoResponse(t *testing.T) {
	head := "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nX-Odd: 1\r\nTransfer-Encoding: chunked\r\n\r\n"
	c, strict := New(Options{}), &http.Client{Transport: StrictTransport(&http.Transport{})}
	defer c.Close()
	defer strict.CloseIdleConnections()
	for cut := range len(head) {
		for name, do := range map[string]func(*http.Request) (*http.Response, error){"client": withoutBody(c), "transport": strict.Do} {
			body, err := read(t, respondWith(t, head[:cut], max(1, cut)).address, do)
			assert.Assert(t, err != nil, "%s, %q counts as a response: %q", name, head[:cut], body)
		}
	}
}
