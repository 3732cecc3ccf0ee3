package gateway

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/wardspool/wardspool/gateway/dialect"
	"github.com/wardspool/wardspool/gateway/routing"
	"github.com/wardspool/wardspool/ident"
)

// The keys of the workspaces in the tests. Instances must not disclose them.
const (
	keyOfA = "secret-key-of-a"
	keyOfB = "secret-key-of-b"
)

// recordingUpstream is an upstream that serves plain requests, prefills and streams, and records
// the headers of each of them.
type recordingUpstream struct {
	mu      sync.Mutex
	headers []http.Header
	// block blocks streams after their first event until it is closed; nil to not block them.
	block chan struct{}
}

func (u *recordingUpstream) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	w.Header().Set("Request-Id", r.Header.Get("Request-Id"))
	switch {
	case r.URL.Path == "/wardspool/hold-take":
		fmt.Fprint(w, `{"hold":"r"}`)
		return
	case strings.HasPrefix(r.URL.Path, "/wardspool/"):
		return
	}
	u.mu.Lock()
	u.headers = append(u.headers, r.Header.Clone())
	waits := u.block
	u.mu.Unlock()
	if r.Header.Get("Serving-Stage") == "prefill" {
		fmt.Fprint(w, `{"kvHandle":"k","tokens":10}`)
		return
	}
	w.Header().Set("Response-Signature", "sig")
	if !strings.HasPrefix(r.URL.Path, "/stream/") {
		fmt.Fprintf(w, "%s", body)
		return
	}
	fmt.Fprint(w, "id: 1\ndata: a\n\n")
	w.(http.Flusher).Flush()
	if waits != nil {
		<-waits
	}
	fmt.Fprint(w, "id: 2\ndata: b\n\n")
}

// requests returns the headers of the requests received so far.
func (u *recordingUpstream) requests() []http.Header {
	u.mu.Lock()
	defer u.mu.Unlock()
	return append([]http.Header(nil), u.headers...)
}

// keyFleet is a localFleet whose configuration requires keys, with a recordingUpstream as the only
// upstream process.
type keyFleet struct {
	*localFleet
	upstream *recordingUpstream
}

// newKeyFleet returns a keyFleet with the workspaces a and b and a public route.
func newKeyFleet(t *testing.T) *keyFleet {
	t.Helper()
	b := &keyFleet{localFleet: newLocalFleet(t), upstream: &recordingUpstream{}}
	server := httptest.NewServer(b.upstream)
	t.Cleanup(server.Close)
	address := strings.TrimPrefix(server.URL, "http://")
	b.source.list = []dialect.Upstream{
		{ID: "app", Service: "app", Address: address, Zone: "a"},
		{ID: "p", Service: "llm", Address: address, Zone: "a", Stage: dialect.StagePrefill},
		{ID: "d", Service: "llm", Address: address, Zone: "a", Stage: dialect.StageDecode},
	}
	c := *b.source.config
	c.KeysRequired = true
	c.Routes = append([]routing.Route{{
		Name: "public", Host: "h.example", Prefix: "/public/", Kind: routing.AtMostOnce, Public: true, MaxAttempts: 1,
		Timeout: 2 * time.Second, Services: []routing.WeightedService{{Service: "app", Weight: 1}},
	}}, c.Routes...)
	urgent := 3
	c.Workspaces = []routing.Workspace{{Name: "a", Keys: digests(keyOfA)}, {Name: "b", Keys: digests(keyOfB), Priority: &urgent}}
	b.source.config = &c
	return b
}

// digests returns the digests of keys.
func digests(keys ...string) []routing.KeyDigest {
	var out []routing.KeyDigest
	for _, k := range keys {
		out = append(out, routing.DigestKey(k))
	}
	return out
}

// publishConfig publishes the next version of the configuration, with a change to it.
func (b *keyFleet) publishConfig(change func(c *routing.Config)) {
	b.source.set(func(f *fakeSource) {
		c := *f.config
		c.Version++
		c.Workspaces = append([]routing.Workspace(nil), c.Workspaces...)
		change(&c)
		f.config = &c
	})
}

// send sends a request with the given Authorization headers and a forged workspace header. It
// returns the status, the headers and the body of the response.
func (b *keyFleet) send(t *testing.T, i *instance, path string, authorization ...string) (int, http.Header, string) {
	t.Helper()
	req, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+i.settings.Listen.Callers+path, strings.NewReader("body"))
	assert.NilError(t, err)
	req.Host = "h.example"
	req.Header.Set("Request-Id", "q1")
	req.Header.Set("Token-Usage", "100,100")
	req.Header["Tenant"] = []string{"forged"}
	req.Header["Authorization"] = authorization
	resp, err := b.http.Do(req)
	assert.NilError(t, err)
	defer resp.Body.Close()
	got, err := io.ReadAll(resp.Body)
	assert.NilError(t, err)
	return resp.StatusCode, resp.Header, string(got)
}

// ready starts an instance and waits until it is ready.
func (b *keyFleet) ready(t *testing.T, name ident.InstanceID, seeds ...string) *instance {
	t.Helper()
	i := b.start(t, string(name), seeds...)
	await(t, "ready", func() bool { return b.readiness(t, i) == http.StatusOK })
	return i
}

// TestKeyNamesTheWorkspaceAtEachSend guards against upstreams getting another workspace's name than
// that of the key, such as one that the caller forged, and against keys being forwarded to
// upstreams with a plain request, a prefill or a decode.
func TestKeyNamesTheWorkspaceAtEachSend(t *testing.T) {
	b := newKeyFleet(t)
	i := b.ready(t, "one")
	for path, sends := range map[string]int{"/plain/x": 1, "/stream/x": 2, "/public/x": 1} {
		before := len(b.upstream.requests())
		status, _, _ := b.send(t, i, path, "Bearer "+keyOfB)
		assert.Equal(t, status, 200, path)
		seen := b.upstream.requests()[before:]
		assert.Equal(t, len(seen), sends, path)
		for _, h := range seen {
			assert.DeepEqual(t, h.Values("Tenant"), []string{"b"})
			// This is the workspace's priority, not the route's.
			assert.DeepEqual(t, h.Values("Request-Priority"), []string{"3"})
			assert.Assert(t, !strings.Contains(fmt.Sprint(h), keyOfB), "%v", h)
		}
	}
}

// TestUnknownKeysAreRefusedBeforeAnythingIsSpent guards against requests without a valid key
// reaching an upstream, and against a refusal that does not say that a key is required and that the
// request did not run.
func TestUnknownKeysAreRefusedBeforeAnythingIsSpent(t *testing.T) {
	b := newKeyFleet(t)
	i := b.ready(t, "one")
	for name, given := range map[string][]string{
		"none": nil, "unknown": {"Bearer other"}, "malformed": {"Bearer"}, "other scheme": {"Basic " + keyOfA},
		"two": {"Bearer " + keyOfA, "Bearer " + keyOfB}, "over-long": {"Bearer " + strings.Repeat("k", 4000)},
	} {
		for _, path := range []string{"/plain/x", "/stream/x"} {
			status, header, body := b.send(t, i, path, given...)
			assert.Equal(t, status, http.StatusUnauthorized, name)
			assert.Equal(t, header.Get("WWW-Authenticate"), "Bearer")
			assert.Equal(t, header.Get("Retry-After"), "")
			var problem struct{ Outcome string }
			assert.NilError(t, json.Unmarshal([]byte(body), &problem))
			assert.Equal(t, problem.Outcome, "not-run")
		}
	}
	assert.Equal(t, len(b.upstream.requests()), 0)
}

// TestPublicRoutesServeWithoutAKey guards against public routes refusing requests without a key or
// with an unknown one, and against forwarding that key or a workspace to upstreams.
func TestPublicRoutesServeWithoutAKey(t *testing.T) {
	b := newKeyFleet(t)
	i := b.ready(t, "one")
	for _, given := range [][]string{nil, {"Bearer other"}, {"Basic x"}} {
		status, _, _ := b.send(t, i, "/public/x", given...)
		assert.Equal(t, status, 200)
	}
	for _, h := range b.upstream.requests() {
		assert.Equal(t, len(h.Values("Tenant"))+len(h.Values("Authorization")), 0, "%v", h)
	}
}

// TestKeysFollowTheConfiguration guards against added keys being refused, and removed keys
// accepted, after the time within which changes must take effect: on existing connections, at
// several instances, and at an instance that starts while the store rejects all requests. It also
// guards against the removal of a key ending a stream that is already running.
func TestKeysFollowTheConfiguration(t *testing.T) {
	b := newKeyFleet(t)
	first := b.ready(t, "one")
	second := b.ready(t, "two", first.settings.Listen.Peers)
	b.upstream.mu.Lock()
	b.upstream.block = make(chan struct{})
	b.upstream.mu.Unlock()
	var streamed string
	var running sync.WaitGroup
	running.Go(func() { _, _, streamed = b.send(t, first, "/stream/x", "Bearer "+keyOfA) })
	await(t, "the stream is running", func() bool { return len(b.upstream.requests()) == 2 })
	b.publishConfig(func(c *routing.Config) { c.Workspaces[0].Keys = digests("newer") })
	within := time.Now().Add(first.settings.Store.maxChangeDelay())
	for _, i := range []*instance{first, second} {
		await(t, "the old key is refused", func() bool {
			status, _, _ := b.send(t, i, "/plain/x", "Bearer "+keyOfA)
			return status == http.StatusUnauthorized
		})
		status, _, _ := b.send(t, i, "/plain/x", "Bearer newer")
		assert.Equal(t, status, 200)
	}
	assert.Assert(t, time.Now().Before(within))
	close(b.upstream.block)
	running.Wait()
	assert.Assert(t, strings.Contains(streamed, "id: 2"), streamed)

	b.source.set(func(f *fakeSource) { f.down = true })
	third := b.ready(t, "three", first.settings.Listen.Peers)
	status, _, _ := b.send(t, third, "/plain/x", "Bearer "+keyOfA)
	assert.Assert(t, status == http.StatusUnauthorized || status == http.StatusServiceUnavailable, "%d", status)
	status, _, _ = b.send(t, third, "/plain/x", "Bearer newer")
	assert.Equal(t, status, 200)
}

// TestOldConfigurationsRefuseNothingForGood guards against an instance with an outdated
// configuration refusing an unknown key or route with 401 or 404. If it has not reached the store
// for longer than changes may take, the key or route may be new, so it must refuse with 503 and
// Retry-After.
func TestOldConfigurationsRefuseNothingForGood(t *testing.T) {
	b := newKeyFleet(t)
	i := b.ready(t, "one")
	status, _, _ := b.send(t, i, "/other/x", "Bearer "+keyOfA)
	assert.Equal(t, status, http.StatusNotFound)
	b.source.set(func(f *fakeSource) { f.down = true })
	for _, path := range []string{"/plain/x", "/other/x"} {
		await(t, "the configuration is out of date", func() bool {
			status, header, _ := b.send(t, i, path, "Bearer new")
			return status == http.StatusServiceUnavailable && header.Get("Retry-After") != ""
		})
	}
	status, _, _ = b.send(t, i, "/plain/x", "Bearer "+keyOfA)
	assert.Equal(t, status, 200)
	b.source.set(func(f *fakeSource) { f.down = false })
	await(t, "the configuration is up to date again", func() bool {
		status, _, _ := b.send(t, i, "/plain/x", "Bearer new")
		return status == http.StatusUnauthorized
	})
}

// TestKeyTakenAwayInLine guards against a request being sent to an engine although its key was
// removed while it waited in the queue for one.
func TestKeyTakenAwayInLine(t *testing.T) {
	b := newKeyFleet(t)
	b.source.list = b.source.list[:2]
	i := b.ready(t, "one")
	var status int
	var running sync.WaitGroup
	running.Go(func() { status, _, _ = b.send(t, i, "/stream/x", "Bearer "+keyOfA) })
	await(t, "the stream waits for an engine", func() bool { return i.service.front.Active() == 1 })
	b.publishConfig(func(c *routing.Config) { c.Workspaces[0].Keys = nil })
	await(t, "the removal of the key has taken effect", func() bool {
		s, _, _ := b.send(t, i, "/plain/x", "Bearer "+keyOfA)
		return s == http.StatusUnauthorized
	})
	b.source.set(func(f *fakeSource) {
		f.list = append(f.list, dialect.Upstream{ID: "d", Service: "llm", Address: f.list[0].Address, Zone: "a", Stage: dialect.StageDecode})
	})
	running.Wait()
	assert.Equal(t, status, http.StatusUnauthorized)
	for _, h := range b.upstream.requests() {
		assert.Equal(t, h.Get("Serving-Stage")+h.Get("Kv-Hold"), "")
	}
}

// TestKeysAreShownNowhere guards against keys in responses, logs and metrics.
func TestKeysAreShownNowhere(t *testing.T) {
	var text lockedBuffer
	b := newKeyFleet(t)
	b.log = slog.New(slog.NewTextHandler(&text, &slog.HandlerOptions{Level: slog.LevelDebug}))
	i := b.ready(t, "one")
	for _, path := range []string{"/plain/x", "/stream/x", "/public/x"} {
		for _, key := range []string{keyOfA, "secret-unknown"} {
			_, header, body := b.send(t, i, path, "Bearer "+key)
			assert.Assert(t, !strings.Contains(fmt.Sprint(header, body), "secret"))
		}
	}
	resp, err := b.http.Get("http://" + i.settings.Listen.Metrics + "/metrics")
	assert.NilError(t, err)
	defer resp.Body.Close()
	metrics, err := io.ReadAll(resp.Body)
	assert.NilError(t, err)
	assert.Assert(t, len(text.String()) > 0)
	assert.Assert(t, !strings.Contains(text.String()+string(metrics), "secret"))
}

// lockedBuffer is a buffer that is safe for concurrent use.
type lockedBuffer struct {
	mu     sync.Mutex
	buffer bytes.Buffer
}

func (l *lockedBuffer) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.buffer.Write(p)
}

func (l *lockedBuffer) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.buffer.String()
}

// TestWorkspaceRegionsBind guards against requests of a workspace being sent outside its regions.
func TestWorkspaceRegionsBind(t *testing.T) {
	b := newKeyFleet(t)
	b.publishConfig(func(c *routing.Config) { c.Workspaces[0].Regions = routing.Regions{"elsewhere"} })
	i := b.ready(t, "one")
	for _, path := range []string{"/plain/x", "/stream/x"} {
		before := len(b.upstream.requests())
		status, header, _ := b.send(t, i, path, "Bearer "+keyOfA)
		assert.Equal(t, status, 503, path)
		assert.Assert(t, header.Get("Retry-After") != "")
		assert.Equal(t, len(b.upstream.requests()), before, path)
		status, _, _ = b.send(t, i, path, "Bearer "+keyOfB)
		assert.Equal(t, status, 200, path)
	}
}
