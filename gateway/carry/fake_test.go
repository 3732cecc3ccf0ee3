package carry

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"strconv"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/wardspool/wardspool/adapter"
	"github.com/wardspool/wardspool/gateway/admission"
	"github.com/wardspool/wardspool/gateway/dialect"
	"github.com/wardspool/wardspool/gateway/fleet"
	"github.com/wardspool/wardspool/gateway/origin"
	"github.com/wardspool/wardspool/gateway/quarantine"
	"github.com/wardspool/wardspool/gateway/relay"
	"github.com/wardspool/wardspool/gateway/routing"
	"github.com/wardspool/wardspool/gateway/schedule"
	"github.com/wardspool/wardspool/ident"
	"github.com/wardspool/wardspool/internal/pause"
	"github.com/wardspool/wardspool/kernel"
)

// reply describes how a fake upstream answers one request.
type reply struct {
	verdict dialect.Verdict
	status  int
	body    string
	// stream is used as the response body instead of body.
	stream io.ReadCloser
	// breaks ends the body with an error instead of EOF.
	breaks bool
	// unframed means that the body has neither a length nor chunks and ends with its connection.
	unframed bool
	err      error
	// hangs blocks until the context ends, then fails with err if that is set.
	hangs bool
	// delay is the time until the head of the response is sent.
	delay time.Duration
}

// fakeDialect answers requests according to its scripts and records all calls.
type fakeDialect struct {
	mu sync.Mutex
	// do holds the replies of each upstream, in order; the last one repeats.
	do map[ident.UpstreamID][]reply
	// prefill and reserve hold the errors of prefills and reservations in the same way.
	prefill map[ident.UpstreamID][]error
	reserve map[string][]error
	// migrate holds the errors of copying ("copy") and of stopping ("stop") in the same way.
	// stopped is called when a stream was stopped.
	migrate map[string][]error
	// prefillTime is how long the prefills of an engine take, in order; the last one repeats.
	prefillTime map[ident.UpstreamID][]time.Duration
	// cached holds the cache lists of engines.
	cached map[ident.UpstreamID]map[string]int
	// silent engines do not answer requests for a report.
	silent map[ident.UpstreamID]bool
	// checkTime is how long a liveness check of a silent upstream takes.
	checkTime time.Duration
	// busy engines reject requests for a report.
	busy bool
	// crashed upstreams refuse connections.
	crashed map[ident.UpstreamID]bool
	// incarnations are the incarnations that engines report.
	incarnations map[ident.UpstreamID]ident.Incarnation

	// onDo is called during each request of a caller.
	onDo func()
	// prefilled is called after each prefill, copying during each copy of a running stream.
	prefilled func()
	copying   func()

	stopped func()
	// stopTime is how long stopping a stream at an engine takes.
	stopTime map[ident.UpstreamID]time.Duration
	calls    []string
	sends    []dialect.Send
}

func (f *fakeDialect) record(format string, args ...any) {
	f.calls = append(f.calls, fmt.Sprintf(format, args...))
}

// next returns the next entry of a script; the last one repeats.
func next[K comparable, V any](script map[K][]V, key K) (v V, ok bool) {
	list := script[key]
	if len(list) == 0 {
		return v, false
	}
	if len(list) > 1 {
		script[key] = list[1:]
	}
	return list[0], true
}

func (f *fakeDialect) Do(ctx context.Context, c *dialect.Call, s dialect.Send) (*http.Response, dialect.Verdict, error) {
	f.mu.Lock()
	f.record("do %s", s.To.ID)
	f.sends = append(f.sends, s)
	r, ok := next(f.do, s.To.ID)
	f.mu.Unlock()
	if f.onDo != nil {
		f.onDo()
	}
	if !ok {
		r = reply{verdict: dialect.Success, status: 200, body: string(s.To.ID)}
	}
	if r.delay > 0 && !pause.For(ctx, r.delay) {
		return nil, 0, &adapter.CallError{Evidence: kernel.Ambiguous, Err: ctx.Err()}
	}
	if r.hangs {
		<-ctx.Done()
		if r.err != nil {
			return nil, 0, r.err
		}
		return nil, 0, &adapter.CallError{Evidence: kernel.Ambiguous, Err: ctx.Err()}
	}
	if r.err != nil {
		return nil, 0, r.err
	}
	var body io.Reader = bytes.NewReader([]byte(r.body))
	if r.breaks {
		body = io.MultiReader(body, brokenReader{})
	}
	h := http.Header{"X-From": {string(s.To.ID)}}
	length := int64(0)
	if r.unframed {
		length = -1
	}
	if r.stream != nil {
		// As on a real connection, canceling the attempt ends the read.
		context.AfterFunc(ctx, func() { _ = r.stream.Close() })
		return &http.Response{StatusCode: r.status, Header: h, ContentLength: length, Body: r.stream}, r.verdict, nil
	}
	return &http.Response{StatusCode: r.status, Header: h, ContentLength: length, Body: io.NopCloser(body)}, r.verdict, nil
}

type brokenReader struct{}

func (brokenReader) Read([]byte) (int, error) { return 0, io.ErrUnexpectedEOF }

func (f *fakeDialect) Prefill(ctx context.Context, _ *dialect.Call, s dialect.Send) (dialect.Handle, error) {
	f.mu.Lock()
	f.record("prefill %s", s.To.ID)
	takes, _ := next(f.prefillTime, s.To.ID)
	f.mu.Unlock()
	if takes > 0 && !pause.For(ctx, takes) {
		return dialect.Handle{}, &adapter.CallError{Evidence: kernel.Ambiguous, Err: ctx.Err()}
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.prefilled != nil {
		defer f.prefilled()
	}
	if err, _ := next(f.prefill, s.To.ID); err != nil {
		return dialect.Handle{}, err
	}
	return dialect.Handle{Engine: s.To.Address, ID: "h" + strconv.Itoa(len(f.calls))}, nil
}

func (f *fakeDialect) Reserve(_ context.Context, u dialect.Upstream, tokens int, _ time.Duration) (string, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.record("hold %s", u.Address)
	if err, _ := next(f.reserve, u.Address); err != nil {
		return "", err
	}
	return "r", nil
}

func (f *fakeDialect) ReleaseHandle(context.Context, dialect.Upstream, dialect.Handle) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.record("free")
	return nil
}

func (f *fakeDialect) Release(_ context.Context, u dialect.Upstream, _ string) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.record("release %s", u.Address)
	return nil
}

func (f *fakeDialect) OnNotice(func(dialect.Notice))        {}
func (f *fakeDialect) OnDial(func(dialect.Upstream, error)) {}

func (f *fakeDialect) Read(*http.Request) (*dialect.Call, error)  { return nil, nil }
func (f *fakeDialect) Order(context.Context, dialect.Order) error { return nil }
func (f *fakeDialect) Report(_ context.Context, u dialect.Upstream) (dialect.Report, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.record("report %s", u.ID)
	if f.crashed[u.ID] {
		return dialect.Report{}, errConnectionRefused
	}
	if f.silent[u.ID] {
		return dialect.Report{}, errNotSent
	}
	if f.busy {
		return dialect.Report{}, &dialect.StatusError{Op: "report", Status: http.StatusServiceUnavailable}
	}
	return dialect.Report{Incarnation: f.incarnations[u.ID]}, nil
}
func (f *fakeDialect) CheckReachable(ctx context.Context, u dialect.Upstream) error {
	f.mu.Lock()
	f.record("reach %s", u.ID)
	if f.silent[u.ID] && f.checkTime > 0 {
		f.mu.Unlock()
		pause.For(ctx, f.checkTime)
		f.mu.Lock()
	}
	defer f.mu.Unlock()
	if f.crashed[u.ID] {
		return errConnectionRefused
	}
	if f.silent[u.ID] {
		return errNotSent
	}
	return nil
}
func (f *fakeDialect) Migrate(ctx context.Context, m dialect.Migration) (dialect.Handle, error) {
	if takes := f.stopTime[m.From.ID]; m.Stop && takes > 0 && !pause.For(ctx, takes) {
		return dialect.Handle{}, &adapter.CallError{Evidence: kernel.Ambiguous, Err: ctx.Err()}
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	kind := "copy"
	if m.Stop {
		kind = "stop"
	}
	f.record("%s %s %s", kind, m.From.ID, m.To.ID)
	if f.copying != nil && !m.Stop {
		f.copying()
	}
	if err, _ := next(f.migrate, kind); err != nil {
		return dialect.Handle{}, err
	}
	if m.Stop && f.stopped != nil {
		f.stopped()
	}
	return dialect.Handle{Engine: m.From.Address, ID: "moved"}, nil
}

func (f *fakeDialect) CachedPromptParts(_ context.Context, u dialect.Upstream) (map[string]int, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.record("kept %s", u.ID)
	return f.cached[u.ID], nil
}

func (f *fakeDialect) CacheLog(context.Context, dialect.Upstream, int64) (dialect.CacheLog, error) {
	return dialect.CacheLog{}, nil
}

func (f *fakeDialect) Activity(context.Context, dialect.Upstream) (dialect.Activity, error) {
	return dialect.Activity{}, nil
}

func (f *fakeDialect) WriteResponseHeaders(http.Header, *dialect.Call) {}

func (f *fakeDialect) NameWorkspace(*dialect.Call, string, int) {}

func (f *fakeDialect) Challenge(http.Header) {}
func (f *fakeDialect) Close()                {}

// count returns the number of recorded calls that are equal to call.
func (f *fakeDialect) count(call string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := 0
	for _, c := range f.calls {
		if c == call {
			n++
		}
	}
	return n
}

// countKind returns the number of recorded calls of a kind, their first word.
func (f *fakeDialect) countKind(kind string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := 0
	for _, c := range f.calls {
		if word, _, _ := bytes.Cut([]byte(c), []byte(" ")); string(word) == kind {
			n++
		}
	}
	return n
}

// testEnv is a Forwarder with fake dependencies.
type testEnv struct {
	*Forwarder
	d    *fakeDialect
	view *fleet.Snapshot
	// stopDeadline is the time at which the instance terminates, zero unless it is shutting down.
	stopDeadline time.Time
	// relayed holds the requests sent to peers, relayTo answers them. Without it there is no peer.
	relayed []relay.Request
	relayTo func(relay.Request) (*http.Response, error)
	// peersHang means that peers take requests and do not answer.
	peersHang bool
	// disconnected means that no upstream can be connected to.
	disconnected bool
	// pathBroken means the same before the instance has noticed it.
	pathBroken bool
	// origins holds the software versions that began streams, by attempt. soleVersion is set while only one
	// version serves.
	origins map[string]string
	// promptVersions holds the results of PromptVersion by prompt part.
	promptVersions map[string]string
	soleVersion    *string
	// disconnectedFrom is the time from which no upstream can be connected to, if it is set.
	disconnectedFrom time.Time
	// suspected means that several upstreams in a row could not be connected to.
	suspected bool
}

// Close waits for all releases.
func (env *testEnv) Close() { env.Forwarder.Close(context.Background()) }

// ampleBudget is the retry budget of tests that do not depend on it.
const ampleBudget = 1000

// newTestEnv returns a test environment for a service s with the given upstreams. slack is the
// number of retries that the budget allows beyond its share of the requests.
func newTestEnv(t *testing.T, slack float64, ups ...dialect.Upstream) *testEnv {
	t.Helper()
	d := &fakeDialect{do: map[ident.UpstreamID][]reply{}, prefill: map[ident.UpstreamID][]error{}, reserve: map[string][]error{}, migrate: map[string][]error{}}
	view := &fleet.Snapshot{Upstreams: map[string][]dialect.Upstream{"s": ups}, AsOf: time.Now()}
	env := &testEnv{d: d, view: view, soleVersion: new(string)}
	env.Forwarder = New(Options{
		Dialect: d, Scheduler: schedule.NewScheduler("a", 1),
		Budget: schedule.NewBudget(time.Now(), schedule.BudgetOptions{Window: time.Hour, Slack: slack}, func() int { return 1 }),
		View:   func() *fleet.Snapshot { return env.view },
		Log:    slog.New(slog.DiscardHandler), Count: func(string) {},
		Register: quarantine.NewRegister(), Trials: localTrials{quarantine.NewTrials()}, NotifyPeers: func() {},
		AwaitInformed: func(context.Context, bool) {},
		Admission:     admission.New(1),
		ObserveStay:   func(admission.Stay) {},
		Relay:         env,
		Origins:       env,
		PathWorks:     func(dialect.Upstream) bool { return !env.disconnected && !env.pathBroken },
		StopDeadline:  func() (time.Time, bool) { return env.stopDeadline, !env.stopDeadline.IsZero() },
	})
	t.Cleanup(env.Close)
	return env
}

// localTrials grants trials for a single instance.
type localTrials struct{ *quarantine.Trials }

func (l localTrials) Begin(_ context.Context, c quarantine.Subject, lasts time.Duration) (func(), bool) {
	ok := l.Trials.Begin(time.Now(), c, "self", lasts)
	return func() { l.End(c, "self") }, ok
}

// plainUps returns upstreams of the plain service s, in zone a.
func plainUps(ids ...string) []dialect.Upstream {
	var out []dialect.Upstream
	for _, id := range ids {
		out = append(out, dialect.Upstream{ID: ident.UpstreamID(id), Service: "s", Address: id, Zone: "a"})
	}
	return out
}

// engineUps returns the engines of the service s, in zone a.
func engineUps(prefill, decode []string) []dialect.Upstream {
	out := append(plainUps(prefill...), plainUps(decode...)...)
	for i := range out {
		out[i].Stage = dialect.StageDecode
		if i < len(prefill) {
			out[i].Stage = dialect.StagePrefill
		}
	}
	return out
}

// job returns a job for a route.
func job(r routing.Route) *Job {
	now := time.Now()
	r.Name = "r"
	if r.Objective == 0 {
		r.Objective = time.Minute
	}
	j := &Job{
		Call:  &dialect.Call{ID: "q", PromptTokens: 1000, OutputEstimate: 100},
		Route: &r, Service: routing.Service{Name: "s"}, Arrived: now, Deadline: now.Add(time.Minute),
	}
	if r.Kind == routing.Stream {
		j.Service.Engine = &routing.Engine{Slots: 8, KVTokens: 10000, TokensPerEvent: 64, HandleTTL: time.Minute, ReservationTTL: time.Second}
	}
	return j
}

// errConnectionRefused, errNotSent and errInterrupted are errors with different evidence on
// whether the request ran. refusal attests that nothing ran.
var (
	errConnectionRefused = &adapter.CallError{Evidence: kernel.NotSent, Code: kernel.FailureConnect, Err: syscall.ECONNREFUSED}
	errNotSent           = &adapter.CallError{Evidence: kernel.NotSent, Code: kernel.FailureConnect, Err: io.EOF}
	errInterrupted       = &adapter.CallError{Evidence: kernel.Ambiguous, Code: kernel.FailureBroken, Err: io.ErrUnexpectedEOF}
	refusal              = reply{verdict: dialect.Refused, status: 503}
)

// streamRecorder is a caller that records the stream it receives.
type streamRecorder struct {
	heads int
	from  string
	body  bytes.Buffer
}

func (s *streamRecorder) Head(_ int, h http.Header) {
	s.heads++
	s.from = h.Get("X-From")
}

func (s *streamRecorder) Write(events []byte) error {
	_, err := s.body.Write(events)
	return err
}

// events returns the events with IDs from to to.
func events(from, to int) string {
	text := ""
	for i := from; i <= to; i++ {
		text += fmt.Sprintf("id: %d\ndata: x\n\n", i)
	}
	return text
}

// Needed implements Relay.
func (env *testEnv) Needed(string) bool {
	return env.disconnected || !env.disconnectedFrom.IsZero() && !time.Now().Before(env.disconnectedFrom)
}

// Suspected implements Relay.
func (env *testEnv) Suspected(string) bool { return env.suspected || env.Needed("") }

// Send implements Relay.
func (env *testEnv) Send(ctx context.Context, q relay.Request, _ []byte, _ time.Time, _ routing.Regions) (*http.Response, error) {
	env.relayed = append(env.relayed, q)
	if env.peersHang {
		<-ctx.Done()
		return nil, &relay.LostError{Peer: "i", Err: ctx.Err()}
	}
	if env.relayTo == nil {
		return nil, &relay.NoPeerError{}
	}
	return env.relayTo(q)
}

// StreamBegan implements Origins.
func (env *testEnv) StreamBegan(_ string, o origin.Origin) {
	env.d.mu.Lock()
	defer env.d.mu.Unlock()
	if env.origins == nil {
		env.origins = map[string]string{}
	}
	env.origins[o.Attempt] = o.Version
}

// PromptVersion implements Origins.
func (env *testEnv) PromptVersion(_ context.Context, _ string, q origin.Query) (string, bool) {
	env.d.mu.Lock()
	defer env.d.mu.Unlock()
	version, ok := env.promptVersions[q.Part]
	return version, ok
}

// StreamVersion implements Origins.
func (env *testEnv) StreamVersion(_ context.Context, _ string, q origin.Query) (string, origin.Source) {
	env.d.mu.Lock()
	defer env.d.mu.Unlock()
	if env.soleVersion != nil {
		return *env.soleVersion, origin.SoleVersion
	}
	if version, ok := env.origins[q.Attempt]; ok {
		return version, origin.OwnRecord
	}
	return "", origin.Unknown
}
