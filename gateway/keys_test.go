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

// The keys of the tests' workspaces; no instance may show them to anybody.
const (
	keyOfA = "secret-key-of-a"
	keyOfB = "secret-key-of-b"
)

// witness is an upstream of all kinds that keeps the headers of each request that it gets.
type witness struct {
	mu   sync.Mutex
	seen []http.Header
	// waits holds streams back after their first event until it is closed.
	waits chan struct{}
}

func (u *witness) ServeHTTP(w http.ResponseWriter, r *http.Request) {
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
	u.seen = append(u.seen, r.Header.Clone())
	waits := u.waits
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

// took returns the requests' headers so far.
func (u *witness) took() []http.Header {
	u.mu.Lock()
	defer u.mu.Unlock()
	return append([]http.Header(nil), u.seen...)
}

// keyBed is a fleetBed whose callers need keys.
type keyBed struct {
	*fleetBed
	witness *witness
}

// newKeyBed returns a bed with two workspaces.
func newKeyBed(t *testing.T) *keyBed {
	t.Helper()
	b := &keyBed{fleetBed: newFleetBed(t), witness: &witness{}}
	server := httptest.NewServer(b.witness)
	t.Cleanup(server.Close)
	address := strings.TrimPrefix(server.URL, "http://")
	b.source.list = []dialect.Upstream{
		{ID: "app", Service: "app", Address: address, Zone: "a"},
		{ID: "p", Service: "llm", Address: address, Zone: "a", Stage: dialect.StagePrefill},
		{ID: "d", Service: "llm", Address: address, Zone: "a", Stage: dialect.StageDecode},
	}
	c := *b.source.config
	c.Keyed = true
	c.Routes = append([]routing.Route{{
		Name: "public", Host: "h.example", Prefix: "/public/", Kind: routing.AtMostOnce, Public: true, MaxAttempts: 1,
		Timeout: 2 * time.Second, Services: []routing.Weighted{{Service: "app", Weight: 1}},
	}}, c.Routes...)
	urgent := 3
	c.Workspaces = []routing.Workspace{{Name: "a", Keys: digests(keyOfA)}, {Name: "b", Keys: digests(keyOfB), Priority: &urgent}}
	b.source.config = &c
	return b
}

func digests(keys ...string) []routing.KeyDigest {
	var out []routing.KeyDigest
	for _, k := range keys {
		out = append(out, routing.DigestKey(k))
	}
	return out
}

// revise publishes the next version of the configuration.
func (b *keyBed) revise(change func(c *routing.Config)) {
	b.source.set(func(f *fakeSource) {
		c := *f.config
		c.Version++
		c.Workspaces = append([]routing.Workspace(nil), c.Workspaces...)
		change(&c)
		f.config = &c
	})
}

// send sends a request with the given Authorization headers.
func (b *keyBed) send(t *testing.T, i *instance, path string, authorization ...string) (int, http.Header, string) {
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

// ready starts an instance and waits until it serves.
func (b *keyBed) ready(t *testing.T, name ident.InstanceID, seeds ...string) *instance {
	t.Helper()
	i := b.start(t, string(name), seeds...)
	await(t, "ready", func() bool { return b.status(t, i) == http.StatusOK })
	return i
}

// TestKeyNamesTheWorkspaceAtEachSend: upstreams get the workspace's name, whatever the caller
// said, and the key is passed on to none of them: neither with a prefill nor with a run.
func TestKeyNamesTheWorkspaceAtEachSend(t *testing.T) {
	b := newKeyBed(t)
	i := b.ready(t, "one")
	for path, sends := range map[string]int{"/plain/x": 1, "/stream/x": 2, "/public/x": 1} {
		before := len(b.witness.took())
		status, _, _ := b.send(t, i, path, "Bearer "+keyOfB)
		assert.Equal(t, status, 200, path)
		seen := b.witness.took()[before:]
		assert.Equal(t, len(seen), sends, path)
		for _, h := range seen {
			assert.DeepEqual(t, h.Values("Tenant"), []string{"b"})
			// The workspace's, not the route's.
			assert.DeepEqual(t, h.Values("Request-Priority"), []string{"3"})
			assert.Assert(t, !strings.Contains(fmt.Sprint(h), keyOfB), "%v", h)
		}
	}
}

// TestUnknownKeysAreRefusedBeforeAnythingIsSpent: at once, with what the route asks for, and
// true: no upstream gets anything.
func TestUnknownKeysAreRefusedBeforeAnythingIsSpent(t *testing.T) {
	b := newKeyBed(t)
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
	assert.Equal(t, len(b.witness.took()), 0)
}

// TestPublicRoutesServeWithoutAKey: and with an unknown one, which is passed on to nobody.
func TestPublicRoutesServeWithoutAKey(t *testing.T) {
	b := newKeyBed(t)
	i := b.ready(t, "one")
	for _, given := range [][]string{nil, {"Bearer other"}, {"Basic x"}} {
		status, _, _ := b.send(t, i, "/public/x", given...)
		assert.Equal(t, status, 200)
	}
	for _, h := range b.witness.took() {
		assert.Equal(t, len(h.Values("Tenant"))+len(h.Values("Authorization")), 0, "%v", h)
	}
}

// TestKeysFollowTheConfiguration: a key that is added serves and one that is taken away
// doesn't, within the time in which changes have to be in force: on a kept connection, at an
// instance that the store turns away, and at one that starts then. A stream that runs goes on
// to its end.
func TestKeysFollowTheConfiguration(t *testing.T) {
	b := newKeyBed(t)
	first := b.ready(t, "one")
	second := b.ready(t, "two", first.settings.Listen.Peers)
	b.witness.mu.Lock()
	b.witness.waits = make(chan struct{})
	b.witness.mu.Unlock()
	var streamed string
	var running sync.WaitGroup
	running.Go(func() { _, _, streamed = b.send(t, first, "/stream/x", "Bearer "+keyOfA) })
	await(t, "the stream runs", func() bool { return len(b.witness.took()) == 2 })
	b.revise(func(c *routing.Config) { c.Workspaces[0].Keys = digests("newer") })
	within := time.Now().Add(first.settings.Store.inForce())
	for _, i := range []*instance{first, second} {
		await(t, "the old key is refused", func() bool {
			status, _, _ := b.send(t, i, "/plain/x", "Bearer "+keyOfA)
			return status == http.StatusUnauthorized
		})
		status, _, _ := b.send(t, i, "/plain/x", "Bearer newer")
		assert.Equal(t, status, 200)
	}
	assert.Assert(t, time.Now().Before(within))
	close(b.witness.waits)
	running.Wait()
	assert.Assert(t, strings.Contains(streamed, "id: 2"), streamed)

	b.source.set(func(f *fakeSource) { f.down = true })
	third := b.ready(t, "three", first.settings.Listen.Peers)
	status, _, _ := b.send(t, third, "/plain/x", "Bearer "+keyOfA)
	assert.Assert(t, status == http.StatusUnauthorized || status == http.StatusServiceUnavailable, "%d", status)
	status, _, _ = b.send(t, third, "/plain/x", "Bearer newer")
	assert.Equal(t, status, 200)
}

// TestOldConfigurationsRefuseNothingForGood: an instance that has heard nothing for longer
// than changes may take can't tell a new key or route from a wrong one.
func TestOldConfigurationsRefuseNothingForGood(t *testing.T) {
	b := newKeyBed(t)
	i := b.ready(t, "one")
	status, _, _ := b.send(t, i, "/other/x", "Bearer "+keyOfA)
	assert.Equal(t, status, http.StatusNotFound)
	b.source.set(func(f *fakeSource) { f.down = true })
	for _, path := range []string{"/plain/x", "/other/x"} {
		await(t, "the configuration is old", func() bool {
			status, header, _ := b.send(t, i, path, "Bearer new")
			return status == http.StatusServiceUnavailable && header.Get("Retry-After") != ""
		})
	}
	status, _, _ = b.send(t, i, "/plain/x", "Bearer "+keyOfA)
	assert.Equal(t, status, 200)
	b.source.set(func(f *fakeSource) { f.down = false })
	await(t, "the store is back", func() bool {
		status, _, _ := b.send(t, i, "/plain/x", "Bearer new")
		return status == http.StatusUnauthorized
	})
}

// TestKeyTakenAwayInLine: a request that waits for an engine when its key is taken away is
// not sent to one.
func TestKeyTakenAwayInLine(t *testing.T) {
	b := newKeyBed(t)
	b.source.list = b.source.list[:2]
	i := b.ready(t, "one")
	var status int
	var running sync.WaitGroup
	running.Go(func() { status, _, _ = b.send(t, i, "/stream/x", "Bearer "+keyOfA) })
	await(t, "it waits", func() bool { return i.service.front.Active() == 1 })
	b.revise(func(c *routing.Config) { c.Workspaces[0].Keys = nil })
	await(t, "the key is taken away", func() bool {
		s, _, _ := b.send(t, i, "/plain/x", "Bearer "+keyOfA)
		return s == http.StatusUnauthorized
	})
	b.source.set(func(f *fakeSource) {
		f.list = append(f.list, dialect.Upstream{ID: "d", Service: "llm", Address: f.list[0].Address, Zone: "a", Stage: dialect.StageDecode})
	})
	running.Wait()
	assert.Equal(t, status, http.StatusUnauthorized)
	for _, h := range b.witness.took() {
		assert.Equal(t, h.Get("Serving-Stage")+h.Get("Kv-Hold"), "")
	}
}

// TestKeysAreShownNowhere: neither in logs nor in metrics.
func TestKeysAreShownNowhere(t *testing.T) {
	var text lockedBuffer
	b := newKeyBed(t)
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

// lockedBuffer is a buffer for several writers.
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

// TestWorkspaceRegionsBind guards against requests of a workspace outside its regions.
func TestWorkspaceRegionsBind(t *testing.T) {
	b := newKeyBed(t)
	b.revise(func(c *routing.Config) { c.Workspaces[0].Regions = routing.Regions{"elsewhere"} })
	i := b.ready(t, "one")
	for _, path := range []string{"/plain/x", "/stream/x"} {
		before := len(b.witness.took())
		status, header, _ := b.send(t, i, path, "Bearer "+keyOfA)
		assert.Equal(t, status, 503, path)
		assert.Assert(t, header.Get("Retry-After") != "")
		assert.Equal(t, len(b.witness.took()), before, path)
		status, _, _ = b.send(t, i, path, "Bearer "+keyOfB)
		assert.Equal(t, status, 200, path)
	}
}
