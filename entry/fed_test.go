package entry_test

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"strings"
	"sync"
	"testing"

	"go.uber.org/goleak"
	"gotest.tools/v3/assert"

	"github.com/wardspool/wardspool/api"
	"github.com/wardspool/wardspool/bundle"
	"github.com/wardspool/wardspool/config"
	"github.com/wardspool/wardspool/entry"
	"github.com/wardspool/wardspool/feed"
	"github.com/wardspool/wardspool/ident"
	"github.com/wardspool/wardspool/kernel"
	"github.com/wardspool/wardspool/peer"
	"github.com/wardspool/wardspool/settings"
	"github.com/wardspool/wardspool/standin/control"
	"github.com/wardspool/wardspool/standin/engine"
	"github.com/wardspool/wardspool/standin/judge"
)

// testFleet is two entries whose agents are simulated by the test.
type testFleet struct {
	*testbed
	entries   []*entry.Entry
	pools     []*peer.Pool
	stopFuncs []func()
	// versions are the software versions that the view states.
	versions map[ident.UpstreamID]string
}

// fleetSettings is the settings file of one entry of a fleet.
const fleetSettings = `
instance: entry-%d
zone: hall-a
callers: {listen: "127.0.0.1:0"}
peers: {listen: "127.0.0.1:0"}
feed: {listen: "127.0.0.1:0"}
operators: {listen: "127.0.0.1:0", names: [ops-1]}
stop: {grace: 1ms, timeout: 10s}
tickets: {keys: [{id: k1, secret: "MDEyMzQ1Njc4OWFiY2RlZjAxMjM0NTY3ODlhYmNkZWY="}]}
`

// newTestFleet starts two entries and their upstreams. No bundle is in force yet.
func newTestFleet(t *testing.T) *testFleet {
	t.Helper()
	ignore := goleak.IgnoreCurrent()
	f := &testFleet{testbed: &testbed{t: t, http: http.DefaultClient, engines: map[ident.UpstreamID]*engine.Engine{}, addresses: map[ident.UpstreamID]string{}}}
	t.Cleanup(func() {
		http.DefaultClient.CloseIdleConnections()
		goleak.VerifyNone(t, ignore)
	})
	for _, u := range []entry.StaticUpstream{f.startEngine("pf-1", config.RolePrefill), f.startEngine("dc-1", config.RoleDecode), f.startService("desk-1")} {
		f.addresses[u.ID] = u.Address
	}
	for i := range 2 {
		f.addEntry(i)
	}
	return f
}

// addEntry starts entry number i.
func (f *testFleet) addEntry(i int) {
	f.t.Helper()
	s, err := settings.Parse[entry.Settings]("fed.yaml", []byte(fmt.Sprintf(fleetSettings, i)))
	assert.NilError(f.t, err)
	e, err := entry.New(s, slog.New(slog.NewTextHandler(testWriter{f.t}, nil)))
	assert.NilError(f.t, err)
	assert.NilError(f.t, e.Listen())
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- e.Serve(ctx) }()
	pool := peer.NewPool(peer.Config{
		Self:   peer.Identity{Instance: s.Instance, Incarnation: 1, Zone: "hall-a"},
		Allow:  func(peer.Identity) bool { return true },
		Limits: peer.Limits{Frame: 32 << 20, QueueBytes: 64 << 20},
	})
	f.entries = append(f.entries, e)
	f.pools = append(f.pools, pool)
	stop := sync.OnceFunc(func() {
		cancel()
		assert.Check(f.t, <-done)
		pool.Close()
	})
	f.stopFuncs = append(f.stopFuncs, stop)
	f.t.Cleanup(stop)
}

// sendUpdate sends an update to entry number i, as its agent would, and returns the reply.
func (f *testFleet) sendUpdate(i int, u feed.Update) feed.Reply {
	f.t.Helper()
	r, err := peer.Call[feed.Reply](f.t.Context(), f.pools[i], f.entries[i].FeedAddress(), feed.MethodUpdate, u)
	assert.NilError(f.t, err)
	return r
}

// content returns the content of testBundle.
func (f *testFleet) content() *config.Content {
	f.t.Helper()
	c, findings := bundle.ParseSource("test.yaml", []byte(testBundle))
	assert.NilError(f.t, findings.Err())
	return c
}

// view returns a view with both entries and all upstreams.
func (f *testFleet) view(version uint64) *feed.View {
	v := &feed.View{Version: version, Trusted: true}
	for i, e := range f.entries {
		v.Instances = append(v.Instances, feed.Instance{
			ID: e.Instance(), Zone: "hall-a", Incarnation: ident.Incarnation(i + 1),
			Liveness: kernel.Live, PeerAddress: e.PeerAddress(),
		})
	}
	for id, address := range f.addresses {
		v.Upstreams = append(v.Upstreams, feed.Upstream{ID: id, Zone: "hall-a", Address: address, Incarnation: 1, Liveness: kernel.Live, SoftwareVersion: f.versions[id]})
	}
	return v
}

// makeAllReady sends all entries the bundle and the view and waits until they are ready.
func (f *testFleet) makeAllReady() {
	f.t.Helper()
	for i := range f.entries {
		f.sendUpdate(i, feed.Update{
			Bundle: &feed.Bundle{Version: 3, Content: f.content()},
			View:   f.view(1), Ready: true,
		})
		f.await("bundle in force", func() bool { return f.sendUpdate(i, feed.Update{Ready: true}).BundleVersion == 3 })
	}
}

// directTo makes do send requests to entry number i.
func (f *testFleet) directTo(i int) { f.url = "http://" + f.entries[i].CallerAddress() }

// TestFeed checks that an entry refuses requests until the agent has sent a bundle and a
// view, and that its replies to the agent report evidence from live traffic.
func TestFeed(t *testing.T) {
	f := newTestFleet(t)
	f.directTo(0)
	resp, body := f.do(http.MethodGet, "/services/desk/x", "")
	assert.Equal(t, resp.StatusCode, http.StatusServiceUnavailable)
	assert.Assert(t, strings.Contains(body, string(api.ProblemNotReady)), body)
	f.makeAllReady()
	resp, body = f.do(http.MethodGet, "/services/desk/x", "")
	assert.Equal(t, resp.StatusCode, http.StatusOK, body)
	assert.Equal(t, resp.Header.Get(api.HeaderBundleVersion), "3")

	reply := f.sendUpdate(0, feed.Update{Ready: true})
	assert.Assert(t, reply.Incarnation > 0)
	assert.Equal(t, len(reply.Evidence), 1)
	assert.Equal(t, reply.Evidence[0].Kind, feed.EvidenceSucceeded)
	assert.Equal(t, reply.Evidence[0].Upstream, ident.UpstreamID("desk-1"))

	f.setFaults("desk-1", control.ServiceFaults{Draining: true})
	f.do(http.MethodGet, "/services/desk/x", "", api.HeaderDeadlineMS, "200")
	reply = f.sendUpdate(0, feed.Update{Ready: true})
	assert.Equal(t, reply.Evidence[0].Kind, feed.EvidenceDraining)

}

// TestReadiness checks that an entry is not ready before its agent is, and that it stays
// ready while a restarted agent does not yet know what the fleet has accepted.
func TestReadiness(t *testing.T) {
	f := newTestFleet(t)
	f.directTo(0)
	u := feed.Update{Bundle: &feed.Bundle{Version: 3, Content: f.content()}, View: f.view(1)}
	f.sendUpdate(0, u)
	f.await("bundle in force", func() bool { return f.sendUpdate(0, feed.Update{}).BundleVersion == 3 })
	resp, body := f.do(http.MethodGet, "/readyz", "")
	assert.Equal(t, resp.StatusCode, http.StatusServiceUnavailable)
	assert.Equal(t, body, "the agent beside this instance is not ready\n")
	resp, _ = f.do(http.MethodGet, "/services/desk/x", "")
	assert.Equal(t, resp.Header.Get(api.HeaderOutcome), string(api.NotRun))
	f.sendUpdate(0, feed.Update{Ready: true})
	f.sendUpdate(0, feed.Update{Incarnation: 2, Ready: false})
	resp, _ = f.do(http.MethodGet, "/readyz", "")
	assert.Equal(t, resp.StatusCode, http.StatusOK)
}

// TestLargeBundle checks that the feed takes a bundle that exceeds the usual frame limit
// between processes.
func TestLargeBundle(t *testing.T) {
	f := newTestFleet(t)
	c := f.content()
	for i := range 16_000 {
		c.Workspaces = append(c.Workspaces, config.Workspace{Name: ident.Workspace(fmt.Sprintf("workspace-%d", i)), Weight: 1})
	}
	f.sendUpdate(0, feed.Update{Bundle: &feed.Bundle{Version: 4, Content: c}, View: f.view(1), Ready: true})
	f.await("bundle in force", func() bool { return f.sendUpdate(0, feed.Update{}).BundleVersion == 4 })
}

// TestOldBundleIsIgnored checks that a bundle with a lower version than the one in force
// is ignored, whoever sends it.
func TestOldBundleIsIgnored(t *testing.T) {
	f := newTestFleet(t)
	f.makeAllReady()
	f.sendUpdate(0, feed.Update{Bundle: &feed.Bundle{Version: 2, Content: f.content()}, Ready: true})
	assert.Equal(t, f.sendUpdate(0, feed.Update{Ready: true}).BundleVersion, uint64(3))
}

// TestStrangersCannotFeed checks that the feed rejects another instance's agent.
func TestStrangersCannotFeed(t *testing.T) {
	f := newTestFleet(t)
	_, err := peer.Call[feed.Reply](t.Context(), f.pools[1], f.entries[0].FeedAddress(), feed.MethodUpdate, feed.Update{})
	var refused *peer.NotAllowedError
	assert.Assert(t, errorAs(err, &refused), "%v", err)
}

// issueTicket requests a ticket from entry number i.
func (f *testFleet) issueTicket(i int) string {
	f.t.Helper()
	f.directTo(i)
	resp, body := f.do(http.MethodPost, "/v1/tickets", "")
	assert.Equal(f.t, resp.StatusCode, http.StatusCreated, body)
	var got struct{ Ticket string }
	assert.NilError(f.t, json.Unmarshal([]byte(body), &got))
	assert.Equal(f.t, resp.Header.Get(api.HeaderTicket), got.Ticket)
	return got.Ticket
}

// sendOrder sends an order with a ticket to entry number i.
func (f *testFleet) sendOrder(i int, ticket, body string, headers ...string) (*http.Response, string) {
	f.t.Helper()
	f.directTo(i)
	headers = append([]string{api.HeaderTicket, ticket, api.HeaderKind, "order", "Content-Type", "application/json"}, headers...)
	return f.do(http.MethodPost, "/services/desk/orders?x=1", body, headers...)
}

// serviceRuns returns the number of calls that the service ran.
func (f *testFleet) serviceRuns() int { return readReport[judge.Service](f.testbed, "desk-1").Runs }

// TestTicketRunsOnce checks that a call runs once when its ticket is presented to both
// instances concurrently and again later, and that reuse of the ticket with another body
// is refused.
func TestTicketRunsOnce(t *testing.T) {
	f := newTestFleet(t)
	f.makeAllReady()
	f.setFaults("desk-1", control.ServiceFaults{DelayMS: 30})
	text := f.issueTicket(0)
	var callers sync.WaitGroup
	for i := range 6 {
		callers.Go(func() {
			req, err := http.NewRequest(http.MethodPost, "http://"+f.entries[i%2].CallerAddress()+"/services/desk/orders?x=1", strings.NewReader(`{"n":1}`))
			assert.Check(t, err)
			req.Header.Set(api.HeaderTicket, text)
			req.Header.Set(api.HeaderKind, "order")
			resp, err := http.DefaultClient.Do(req)
			assert.Check(t, err)
			defer resp.Body.Close()
			body, _ := io.ReadAll(resp.Body)
			assert.Check(t, resp.StatusCode == http.StatusOK, "%s", body)
			assert.Check(t, strings.Contains(string(body), `"run_number":1`), "%s", body)
		})
	}
	callers.Wait()
	resp, body := f.sendOrder(1, text, `{"n":1}`)
	assert.Equal(t, resp.Header.Get(api.HeaderOutcome), string(api.Complete), body)
	assert.Assert(t, resp.Header.Get(api.HeaderBundleVersion) != "", "the header with the bundle version of the decision is missing")
	assert.Equal(t, f.serviceRuns(), 1)

	resp, body = f.sendOrder(1, text, `{"n":2}`)
	assert.Equal(t, resp.StatusCode, http.StatusConflict, body)
	assert.Equal(t, resp.Header.Get(api.HeaderOutcome), string(api.NotRun))
	assert.Equal(t, f.serviceRuns(), 1)
}

// TestTicketOfGoneInstance checks that a call with a ticket does not run again after its
// executor has shut down, and that the outcome is unknown: another instance cannot know
// that nothing ran.
func TestTicketOfGoneInstance(t *testing.T) {
	f := newTestFleet(t)
	f.makeAllReady()
	text := f.issueTicket(0)
	resp, body := f.sendOrder(1, text, "{}")
	assert.Equal(t, resp.StatusCode, http.StatusOK, body)
	f.stopFuncs[0]()
	resp, body = f.sendOrder(1, text, "{}")
	assert.Equal(t, resp.StatusCode, http.StatusBadGateway, body)
	assert.Equal(t, resp.Header.Get(api.HeaderOutcome), string(api.Unknown))
	assert.Assert(t, resp.Header.Get("Retry-After") != "")
	assert.Equal(t, f.serviceRuns(), 1)
}

// TestTicketRefusals checks the status and the outcome of calls whose ticket is forged or
// missing, whose body is too large or whose answer is to be streamed, and of a request
// for a ticket of an unknown workspace.
func TestTicketRefusals(t *testing.T) {
	f := newTestFleet(t)
	f.makeAllReady()
	f.directTo(0)
	resp, body := f.do(http.MethodPost, "/services/desk/x", "", api.HeaderTicket, "1.k1.forged", api.HeaderKind, "order")
	assert.Equal(t, resp.StatusCode, http.StatusBadRequest, body)
	assert.Equal(t, resp.Header.Get(api.HeaderOutcome), string(api.Unknown))

	resp, body = f.do(http.MethodPost, "/services/desk/x", "", api.HeaderKind, "order", api.HeaderIdempotencyKey, "k")
	assert.Equal(t, resp.StatusCode, http.StatusPreconditionRequired, body)
	assert.Equal(t, resp.Header.Get(api.HeaderOutcome), string(api.NotRun))
	offered := resp.Header.Get(api.HeaderTicket)
	assert.Assert(t, offered != "")
	resp, body = f.sendOrder(1, offered, "{}")
	assert.Equal(t, resp.StatusCode, http.StatusOK, body)

	// The executor may have run the call before, so a refusal by another instance must
	// not claim that nothing ran.
	resp, body = f.sendOrder(1, f.issueTicket(0), strings.Repeat("x", 9<<20))
	assert.Equal(t, resp.StatusCode, http.StatusRequestEntityTooLarge, body)
	assert.Equal(t, resp.Header.Get(api.HeaderOutcome), string(api.Unknown))

	resp, body = f.sendOrder(0, f.issueTicket(0), strings.Repeat("x", 1<<20))
	assert.Equal(t, resp.StatusCode, http.StatusRequestEntityTooLarge, body)
	// The largest body that can be forwarded is accepted. The long deadline keeps a slow
	// machine from failing the test; TestForwardEndsWithTheDeadline checks how deadlines
	// end forwarded calls.
	resp, body = f.sendOrder(1, f.issueTicket(0), strings.Repeat("x", 500<<10), api.HeaderDeadlineMS, "60000")
	assert.Equal(t, resp.StatusCode, http.StatusOK, body)

	resp, body = f.do(http.MethodPost, "/v1/tickets", "", api.HeaderWorkspace, "nonesuch")
	assert.Equal(t, resp.StatusCode, http.StatusForbidden, body)

	resp, body = f.do(http.MethodPost, "/v1/completions", completion(3, true), api.HeaderTicket, f.issueTicket(0))
	assert.Equal(t, resp.StatusCode, http.StatusBadRequest, body)
	resp, body = f.do(http.MethodPost, "/v1/completions", completion(3, false), api.HeaderTicket, f.issueTicket(0))
	assert.Equal(t, resp.StatusCode, http.StatusOK, body)
}

// TestRejected checks that an entry that lacks a plug-in of a bundle version reports the
// rejection to its agent and keeps using the previous version, and that it stops reporting the
// rejection once a higher version is in force.
func TestRejected(t *testing.T) {
	f := newTestFleet(t)
	f.makeAllReady()
	c := f.content()
	c.Policy.Order = "order.of_tomorrow"
	f.sendUpdate(0, feed.Update{Bundle: &feed.Bundle{Version: 4, Content: c}, Ready: true})
	f.await("the rejection", func() bool { return f.sendUpdate(0, feed.Update{Ready: true}).Rejected != nil })
	r := f.sendUpdate(0, feed.Update{Ready: true})
	assert.Equal(t, r.Rejected.Version, uint64(4))
	assert.Assert(t, strings.Contains(r.Rejected.Reason, "order.of_tomorrow"), r.Rejected.Reason)
	assert.Equal(t, r.BundleVersion, uint64(3))
	f.sendUpdate(0, feed.Update{Bundle: &feed.Bundle{Version: 5, Content: f.content()}, Ready: true})
	f.await("version 5", func() bool { return f.sendUpdate(0, feed.Update{Ready: true}).BundleVersion == 5 })
	assert.Assert(t, f.sendUpdate(0, feed.Update{Ready: true}).Rejected == nil)
}
