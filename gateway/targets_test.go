package gateway

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/textproto"
	"net/url"
	"regexp"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/wardspool/wardspool/api"
	"github.com/wardspool/wardspool/gateway/dialect"
	"github.com/wardspool/wardspool/gateway/routing"
	"github.com/wardspool/wardspool/ident"
	"github.com/wardspool/wardspool/platform"
)

// targetRoutes are the prefixes of the routes of a targetFleet, by the service of each.
var targetRoutes = map[string]string{"root": "/", "orders": "/orders/", "confirm": "/orders/confirm/", "encoded": "/orders/a%2Fb/"}

// serviceOf returns the service whose route has the longest prefix that begins a path.
func serviceOf(path string) string {
	best := ""
	for service, prefix := range targetRoutes {
		if strings.HasPrefix(path, prefix) && (best == "" || len(prefix) > len(targetRoutes[best])) {
			best = service
		}
	}
	return best
}

// startRawUpstream starts an upstream of a service that answers each request with the service's name and
// the bytes of the request's head.
func startRawUpstream(t testing.TB, service string) dialect.Upstream {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go serveRaw(c, service)
		}
	}()
	return dialect.Upstream{ID: ident.UpstreamID(service), Service: service, Address: l.Addr().String(), Zone: "a"}
}

// serveRaw answers the requests of a connection, which have no body.
func serveRaw(c net.Conn, service string) {
	defer c.Close()
	in := textproto.NewReader(bufio.NewReaderSize(c, 64<<10))
	for {
		body, id := service+"\n", ""
		for {
			line, err := in.ReadLine()
			if err != nil {
				return
			}
			if line == "" {
				break
			}
			body += line + "\n"
			if name, value, _ := strings.Cut(line, ": "); name == "Request-Id" {
				id = value
			}
		}
		_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nResponse-Signature: s\r\nContent-Length: %d\r\n\r\n%s", id, len(body), body)
	}
}

// newTargetFleet returns a localFleet with the routes of targetRoutes.
func newTargetFleet(t testing.TB) *localFleet {
	t.Helper()
	b := newLocalFleet(t)
	config := &routing.Config{Version: 5, Services: map[string]routing.Service{}}
	b.source.list = nil
	for service, prefix := range targetRoutes {
		config.Services[service] = routing.Service{Name: service}
		config.Routes = append(config.Routes, routing.Route{
			Name: service, Host: "h.example", Prefix: prefix, Kind: routing.AtMostOnce, Timeout: 2 * time.Second,
			Services: []routing.WeightedService{{Service: service, Weight: 1}}, MaxAttempts: 1,
		})
		b.source.list = append(b.source.list, startRawUpstream(t, service))
	}
	b.source.config = config
	return b
}

// startReady runs an instance and waits until it is ready.
func (b *localFleet) startReady(t testing.TB, name string, seeds ...string) *instance {
	t.Helper()
	i := b.start(t, name, seeds...)
	await(t, "ready", func() bool { return b.readiness(t, i) == http.StatusOK })
	return i
}

// sendHead sends the head of a request to an instance and returns the status and the body of the response.
func sendHead(t testing.TB, i *instance, head string) (status int, body string) {
	t.Helper()
	c, err := net.Dial("tcp", i.settings.Listen.Callers)
	assert.NilError(t, err)
	defer c.Close()
	_, err = io.WriteString(c, head+"\r\n\r\n")
	assert.NilError(t, err)
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	assert.NilError(t, err)
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	assert.NilError(t, err)
	return resp.StatusCode, string(text)
}

// sendTarget sends a request for a target to an instance and returns the status of the response, the
// service that answered and the request line that it received.
func sendTarget(t testing.TB, i *instance, method, target string) (status int, service, line string) {
	t.Helper()
	status, body := sendHead(t, i, method+" "+target+" HTTP/1.1\r\nHost: h.example\r\nRequest-Id: q1\r\nConnection: close")
	if status != http.StatusOK {
		return status, "", body
	}
	service, head, _ := strings.Cut(body, "\n")
	line, _, _ = strings.Cut(head, "\n")
	return status, service, line
}

// TestEncodedSlashIsNoSeparator guards against unsafe requests that are handled by the safe route which
// their decoded path matches.
func TestEncodedSlashIsNoSeparator(t *testing.T) {
	i := newTargetFleet(t).startReady(t, "one")
	for target, want := range map[string]string{
		"/orders/confirm/7": "confirm", "/orders/confirm%2F7": "orders", "/orders%2Fconfirm/7": "root",
		"/orders/%63onfirm/7": "orders", "/orders/a%2Fb/7": "encoded", "/orders/a/b/7": "orders",
	} {
		status, service, line := sendTarget(t, i, "GET", target)
		assert.Equal(t, status, 200, target)
		assert.Equal(t, service, want, target)
		assert.Equal(t, line, "GET "+target+" HTTP/1.1")
	}
}

// TestTwoSlashesReachTheUpstream guards against targets that upstreams get in absolute form.
func TestTwoSlashesReachTheUpstream(t *testing.T) {
	i := newTargetFleet(t).startReady(t, "one")
	for _, target := range []string{"//", "//orders/7?unit=7", "///orders", "//h.example:80/x"} {
		status, service, line := sendTarget(t, i, "GET", target)
		assert.Equal(t, status, 200, target)
		assert.Equal(t, service, "root", target)
		assert.Equal(t, line, "GET "+target+" HTTP/1.1")
	}
}

// TestTargetWithoutAPathIsRefused guards against answers of net/http itself, which look like an
// upstream's, and against targets that are changed to be sent.
func TestTargetWithoutAPathIsRefused(t *testing.T) {
	i := newTargetFleet(t).startReady(t, "one")
	for _, c := range []struct{ method, target string }{
		{"OPTIONS", "*"}, {"GET", "*"}, {"GET", "h.example:80"}, {"CONNECT", "h.example:80"}, {"CONNECT", "h.example"},
		{"GET", "http://h.example"}, {"GET", "http://h.example?x=1"}, {"GET", "http:/orders/7"}, {"GET", "http:///orders/7"},
		{"GET", "http://u:p@h.example/orders/7"}, {"GET", "ftp://h.example/orders/7"}, {"GET", "http://%E4.example/orders/7"},
	} {
		status, service, text := sendTarget(t, i, c.method, c.target)
		assert.Equal(t, status, 400, "%v: %s %s", c, service, text)
		var problem api.Problem
		assert.NilError(t, json.Unmarshal([]byte(text), &problem), "%v: %s", c, text)
		assert.Equal(t, problem.Outcome, api.NotRun)
		assert.Equal(t, problem.Title, "bad_target")
		assert.Assert(t, problem.Detail != "")
	}
}

// refusingDialer refuses all connections.
type refusingDialer struct{}

// DialContext implements roundtrip.Dialer.
func (refusingDialer) DialContext(context.Context, string, string) (net.Conn, error) {
	return nil, errors.New("connection refused")
}

// startRelaying runs two instances of which the first one reaches no upstream, so that its requests are
// relayed to the second one, and returns the first one.
func startRelaying(t testing.TB, b *localFleet) *instance {
	t.Helper()
	settings := func(name ident.InstanceID, seeds ...string) *Settings {
		s := &Settings{Instance: name, Zone: "a", Seeds: seeds}
		s.SetDefaults()
		s.Listen = Listen{Callers: freeAddress(t), Ready: freeAddress(t), Peers: freeAddress(t), Relay: freeAddress(t)}
		return s
	}
	s := settings("connected")
	connected := b.startInstance(t, New(s, platform.New(dialect.Options{DialTimeout: time.Second}), b.source, b.log))
	cut := b.startInstance(t, New(settings("cut", s.Listen.Peers), platform.New(dialect.Options{Dialer: refusingDialer{}}), b.source, b.log))
	for _, i := range []*instance{connected, cut} {
		await(t, "ready", func() bool { return b.readiness(t, i) == http.StatusOK })
	}
	for service, prefix := range targetRoutes {
		await(t, "relayed: "+service, func() bool {
			status, _, _ := sendTarget(t, cut, "GET", prefix)
			return status == http.StatusOK
		})
	}
	return cut
}

// TestRelayedTargetIsKept guards against relayed requests that another route handles, or whose target or
// headers reach the upstream changed.
func TestRelayedTargetIsKept(t *testing.T) {
	i := startRelaying(t, newTargetFleet(t))
	for target, want := range map[string]string{
		"/orders/confirm%2F7": "orders", "/orders/confirm/7": "confirm", "//orders/7?unit=7": "root", "/orders/a%2Fb/7": "encoded",
		"/orders/\xff\xfe?\x80": "orders", "/orders/ä#<&>": "orders",
	} {
		status, service, line := sendTarget(t, i, "GET", target)
		assert.Equal(t, status, 200, "%q: %s", target, line)
		assert.Equal(t, service, want, "%q", target)
		assert.Equal(t, line, "GET "+target+" HTTP/1.1")
	}
	status, body := sendHead(t, i, "GET /orders/7 HTTP/1.1\r\nHost: h.example\r\nRequest-Id: q1\r\nConnection: close\r\nModel: \xfc")
	assert.Equal(t, status, 200, body)
	assert.Assert(t, strings.Contains(body, "\nModel: \xfc\n"), "%q", body)
}

// seedTargets are targets of all forms, with bytes that URL libraries change.
var seedTargets = []string{
	"/", "//", "///", "/orders/7", "/orders/confirm/7", "/orders/confirm%2F7", "/orders/confirm%2f7", "/orders%2Fconfirm/7", "/%6frders/7",
	"/orders/a%2Fb/7", "/orders/a/b/7", "/orders/%2e%2e/confirm/7", "/orders/%2E/7", "/./orders/7", "/../orders/7", "/orders/./confirm/", "/orders/../orders/confirm/",
	"//orders/7", "/orders//confirm/", "//h.example/orders/", "/orders/confirm", "/orders?/confirm/", "/orders/?x=/confirm/", "/orders/confirm/?", "/orders/?",
	"?", "?x=1", "*", "", "http://h.example", "http://h.example/", "http://h.example/orders/confirm%2F7?", "http://h.example//orders/7", "http://H.EXAMPLE:80/orders/7",
	"http://h.example?x=/orders/", "http://other/orders/", "http://u@h.example/orders/", "http:///orders/", "http:/orders/", "ftp://h.example/orders/", "h.example:80", "http://[::1]/",
	"/%", "/%zz", "/orders/%2", "/orders/?%", "/\xff", "/orders/\x80?\xfe", "/ä/ö?ü", "/orders;a=b/c", "/orders/;?;", "/orders/#confirm", "/orders#/confirm/?x#y", "/orders/{}|^`\"<>\\",
	"/orders/confirm\\7", "/orders/http://h.example/", "/orders/" + strings.Repeat("x", 8<<10), "/\x7f", "/\x01",
}

// originForm returns what an upstream of h.example has to get for a target, and false if the target
// cannot be forwarded or is for another host.
func originForm(target string) (string, bool) {
	if strings.HasPrefix(target, "/") {
		return target, true
	}
	parts := absoluteForm.FindStringSubmatch(target)
	if parts == nil {
		return "", false
	}
	return parts[1], true
}

// absoluteForm matches targets of h.example in absolute form.
var absoluteForm = regexp.MustCompile(`(?s)^[hH][tT][tT][pP][sS]?://(?i:h\.example)(?::[0-9]*)?(/.*)$`)

// isControl reports whether a character is an ASCII control character, which servers refuse.
func isControl(r rune) bool { return r < ' ' || r == 0x7f }

// checkTarget sends a request for a target and checks that the route is that of the target as it was sent,
// and that the upstream got these bytes.
func checkTarget(t testing.TB, i *instance, target string) {
	t.Helper()
	status, service, line := sendTarget(t, i, "GET", target)
	want, forwarded := originForm(target)
	path, _, _ := strings.Cut(want, "?")
	_, escapes := url.PathUnescape(path)
	switch {
	case status == http.StatusOK:
		assert.Assert(t, forwarded, "%q: %q", target, line)
		assert.Equal(t, line, "GET "+want+" HTTP/1.1")
		assert.Equal(t, service, serviceOf(path), "%q", target)
	case forwarded && escapes == nil && !strings.ContainsFunc(want, isControl):
		t.Fatalf("%q: %d %s", target, status, line)
	case status == http.StatusNotFound:
		// The host of another absolute form has no route.
		assert.Assert(t, !forwarded, "%q", target)
	default:
		assert.Equal(t, status, http.StatusBadRequest, "%q: %s", target, line)
	}
}

// TestTargetsReachTheUpstreamAsSent guards against requests that another route handles than that of their
// target as it was sent, and against targets that upstreams get changed.
func TestTargetsReachTheUpstreamAsSent(t *testing.T) {
	i := newTargetFleet(t).startReady(t, "one")
	for _, target := range seedTargets {
		checkTarget(t, i, target)
	}
}

// FuzzTarget checks the same for any target.
func FuzzTarget(f *testing.F) {
	i := newTargetFleet(f).startReady(f, "one")
	for _, target := range seedTargets {
		f.Add(target)
	}
	f.Fuzz(func(t *testing.T, target string) {
		// A blank or the end of a line ends the target.
		if strings.ContainsAny(target, " \r\n") || len(target) > 32<<10 {
			t.Skip()
		}
		checkTarget(t, i, target)
	})
}
