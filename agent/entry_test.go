package agent

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"go.uber.org/goleak"
	"gotest.tools/v3/assert"

	"github.com/wardspool/wardspool/api"
	"github.com/wardspool/wardspool/bundle"
	"github.com/wardspool/wardspool/config"
	"github.com/wardspool/wardspool/configservice"
	"github.com/wardspool/wardspool/entry"
	"github.com/wardspool/wardspool/ident"
	_ "github.com/wardspool/wardspool/plugins/standard"
	"github.com/wardspool/wardspool/settings"
	"github.com/wardspool/wardspool/standin/engine"
	"github.com/wardspool/wardspool/standin/perf"
	standin "github.com/wardspool/wardspool/standin/platform"
)

// loopbackEnv is a test environment with a real entry and its agent on 127.0.0.1.
type loopbackEnv struct {
	t         *testing.T
	platform  *standin.Platform
	url       string
	entry     *entry.Entry
	upstreams []configservice.Upstream
}

// serve serves HTTP on loopback until the test ends.
func (b *loopbackEnv) serve(l net.Listener, h http.Handler) {
	srv := &http.Server{Handler: h, ErrorLog: slog.NewLogLogger(slog.DiscardHandler, slog.LevelError)}
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = srv.Serve(l)
	}()
	b.t.Cleanup(func() {
		_ = srv.Close()
		<-done
	})
}

// listen opens a listener on a loopback address.
func (b *loopbackEnv) listen() net.Listener {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(b.t, err)
	return l
}

// engine starts a simulated engine.
func (b *loopbackEnv) engine(id ident.UpstreamID, role config.Role) {
	l := b.listen()
	client := &http.Client{Transport: &http.Transport{}}
	e := engine.New(engine.Config{
		ID: id, Role: role, Models: []string{"reader"}, Version: "1", Address: l.Addr().String(), Client: client,
		Perf: perf.Params{
			Slots: 20, Pieces: 2000, PieceTokens: 100, PrefillTokensPerSecond: 200_000, PrefillChunk: 500,
			KVBytesPerToken: 1000, LinkBytesPerSecond: 1e9, DecodeStep: 2 * time.Millisecond,
			DecodeStepPerRequest: 10 * time.Microsecond, KVLifetime: 900 * time.Millisecond, CachePieces: 100,
		},
	})
	b.t.Cleanup(func() {
		e.Close()
		client.CloseIdleConnections()
	})
	b.serve(l, e.Handler())
	b.upstreams = append(b.upstreams, configservice.Upstream{ID: id, Zone: "hall-a", Address: l.Addr().String(), Role: role, State: configservice.StateLive})
}

// put publishes a value as JSON.
func (b *loopbackEnv) put(key string, v any) {
	doc, err := json.Marshal(v)
	assert.NilError(b.t, err)
	b.platform.Put(key, doc)
}

// publish publishes a bundle that exceeds the frame size between peers.
func (b *loopbackEnv) publish() {
	c, findings := bundle.ParseSource("test.yaml", []byte(testContent))
	assert.NilError(b.t, findings.Err())
	for i := range 12_000 {
		c.Workspaces = append(c.Workspaces, config.Workspace{Name: ident.Workspace(fmt.Sprintf("franchise-%05d", i)), Weight: 1})
	}
	h, parts, err := bundle.Build(bundle.Draft{Content: c, Approvers: approvers()})
	assert.NilError(b.t, err)
	h.AddSignature(bundle.Sign(approver, &h.Manifest))
	for _, d := range parts.Digests() {
		part, _ := parts.Part(d)
		b.platform.Put(configservice.KeyBundleParts+d.String(), part)
	}
	r := &bundle.SignedRoll{Roll: bundle.Roll{Format: bundle.Format, Sequence: 1, Target: h.Ref(), Stage: bundle.StageAll}, Target: *h}
	r.AddSignature(bundle.SignRoll(approver, &r.Roll))
	b.platform.Put(configservice.KeyRoll, r.Encode())
}

// startEntry starts the entry.
func (b *loopbackEnv) startEntry() {
	s, err := settings.Parse[entry.Settings]("entry.yaml", []byte(`
instance: entry-1
zone: hall-a
callers: {listen: "127.0.0.1:0"}
peers: {listen: "127.0.0.1:0"}
feed: {listen: "127.0.0.1:0"}
stop: {grace: 1ms, timeout: 10s}
`))
	assert.NilError(b.t, err)
	b.entry, err = entry.New(s, slog.New(slog.DiscardHandler))
	assert.NilError(b.t, err)
	assert.NilError(b.t, b.entry.Listen())
	b.run(b.entry.Serve)
}

// startAgent starts the agent.
func (b *loopbackEnv) startAgent() {
	s, err := settings.Parse[Settings]("agent.yaml", []byte(fmt.Sprintf(`
instance: entry-1
zone: hall-a
entry: {feed: %q}
peers: {listen: "127.0.0.1:0"}
platform: {urls: [%q]}
stop: {grace: 10ms}
approvers: {epoch: 1, quorum: 1, keys: [{name: ada, key: %s}]}
`, b.entry.FeedAddress(), b.url, approvers().Keys[0].Key)))
	assert.NilError(b.t, err)
	a, err := New(s, Options{Log: slog.New(slog.DiscardHandler), Seed: 1})
	assert.NilError(b.t, err)
	assert.NilError(b.t, a.Listen())
	b.run(a.Serve)
}

// run calls serve in the background until the test ends.
func (b *loopbackEnv) run(serve func(context.Context) error) {
	ctx, cancel := context.WithCancel(context.Background())
	var done sync.WaitGroup
	done.Go(func() { assert.Check(b.t, serve(ctx)) })
	b.t.Cleanup(func() {
		cancel()
		done.Wait()
	})
}

// TestRealEntry checks with a real entry on real sockets that a completion is
// answered by what the agent fed, including a bundle that exceeds the frame size
// between peers.
func TestRealEntry(t *testing.T) {
	ignore := goleak.IgnoreCurrent()
	t.Cleanup(func() {
		http.DefaultClient.CloseIdleConnections()
		goleak.VerifyNone(t, ignore)
	})
	b := &loopbackEnv{t: t, platform: standin.New(standin.Config{})}
	t.Cleanup(b.platform.Close)
	l := b.listen()
	b.url = "http://" + l.Addr().String()
	b.serve(l, b.platform.Handler())
	b.engine("pf-1", config.RolePrefill)
	b.engine("dc-1", config.RoleDecode)
	b.put(configservice.KeyInstances, configservice.Instances{Instances: []configservice.Instance{
		{ID: "entry-1", Zone: "hall-a", PeerAddress: "127.0.0.1:1", AgentAddress: "127.0.0.1:1", State: configservice.StateLive},
	}})
	b.put(configservice.KeyUpstreams, configservice.Upstreams{Upstreams: b.upstreams})
	b.publish()
	b.startEntry()
	b.startAgent()
	url := "http://" + b.entry.CallerAddress()
	assert.Assert(t, eventually(func() bool {
		resp, err := http.Get(url + "/readyz")
		if err != nil {
			return false
		}
		defer resp.Body.Close()
		_, _ = io.Copy(io.Discard, resp.Body)
		return resp.StatusCode == http.StatusOK
	}), "the entry is ready")
	assert.Assert(t, eventually(func() bool { return completes(t, url) }), "a completion is answered completely")
}

// completes sends a completion request and reports whether the answer was
// complete.
func completes(t *testing.T, url string) bool {
	body := strings.NewReader(`{"model":"reader","prompt":"a b c d e","max_tokens":4}`)
	resp, err := http.Post(url+"/v1/completions", "application/json", body)
	assert.NilError(t, err)
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	assert.NilError(t, err)
	t.Logf("%d %s", resp.StatusCode, text)
	return resp.Header.Get(api.HeaderOutcome) == string(api.Complete)
}

// eventually waits for a condition on real processes; the limit only bounds the
// duration of a failing test.
func eventually(holds func() bool) bool {
	for deadline := time.Now().Add(60 * time.Second); time.Now().Before(deadline); {
		if holds() {
			return true
		}
		time.Sleep(20 * time.Millisecond)
	}
	return false
}
