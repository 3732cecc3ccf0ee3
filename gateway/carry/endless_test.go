package carry

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"runtime"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/wardspool/wardspool/gateway/dialect"
	"github.com/wardspool/wardspool/gateway/memory"
	"github.com/wardspool/wardspool/gateway/relay"
	"github.com/wardspool/wardspool/ident"
	"github.com/wardspool/wardspool/internal/bubble"
)

// endlessBody is a body that begins with head and then repeats piece, one each pause or as fast as possible, until
// it is closed.
type endlessBody struct {
	head, piece string
	pause       time.Duration
	// max is the number of bytes after which nothing more comes, 0 for no limit.
	max int

	closing sync.Once
	closed  chan struct{}
	sent    int
}

func newEndlessBody(head, piece string, pause time.Duration) *endlessBody {
	return &endlessBody{head: head, piece: piece, pause: pause, closed: make(chan struct{})}
}

// Read implements io.Reader.
func (b *endlessBody) Read(p []byte) (int, error) {
	pause := time.NewTimer(b.pause)
	defer pause.Stop()
	if b.max > 0 && b.sent >= b.max {
		pause.Stop()
	}
	select {
	case <-b.closed:
		return 0, http.ErrBodyReadAfterClose
	case <-pause.C:
	}
	text := b.piece
	switch {
	case b.sent == 0 && b.head != "":
		text = b.head
	case b.pause == 0:
		text = strings.Repeat(b.piece, 1+len(p)/len(b.piece))
	}
	n := copy(p, text)
	b.sent += n
	return n, nil
}

// Close implements io.Closer.
func (b *endlessBody) Close() error {
	b.closing.Do(func() { close(b.closed) })
	return nil
}

func (b *endlessBody) isClosed() bool {
	select {
	case <-b.closed:
		return true
	default:
		return false
	}
}

// noEvents are pieces of a stream of which none is an event.
var noEvents = map[string]string{
	"comments":         ": still here\n\n",
	"comment":          ":\n",
	"blank lines":      "\r\n",
	"one line":         "x",
	"lines":            "data: x\n",
	"unknown fields":   "garbage\n\n",
	"incomplete event": "id: 9\n",
}

// TestEndlessStreamWithoutEventsGoesOnElsewhere guards against a stream that is read without end, delivered, or taken
// for whole though no event comes.
func TestEndlessStreamWithoutEventsGoesOnElsewhere(t *testing.T) {
	for name, piece := range noEvents {
		for _, head := range []string{"", events(1, 2)} {
			t.Run(name+"/"+head, func(t *testing.T) {
				bubble.Test(t, func(t *testing.T) {
					env := newTestEnv(t, ampleBudget, engineUps([]string{"p1"}, []string{"d1", "d2"})...)
					body := newEndlessBody(head, piece, 0)
					from := 1
					if head != "" {
						from = 3
					}
					env.d.do["d1"] = []reply{{verdict: dialect.Success, status: 200, stream: body}}
					env.d.do["d2"] = []reply{{verdict: dialect.Success, status: 200, body: events(from, 4)}}
					env.d.reserve["d2"] = []error{&dialect.NoCapacityError{}, nil}
					got := &streamRecorder{}
					_, err := env.Stream(t.Context(), job(resumable), got)
					assert.NilError(t, err)
					assert.Equal(t, got.body.String(), events(1, 4))
					assert.Assert(t, body.isClosed())
					assert.Assert(t, body.sent < 2*maxEventBytes, "%d bytes", body.sent)
				})
			})
		}
	}
}

// TestTricklingStreamWithoutEventsIsAnsweredInTime guards against a caller that gets the head of a stream, or nothing,
// when no event comes until its deadline.
func TestTricklingStreamWithoutEventsIsAnsweredInTime(t *testing.T) {
	for name, piece := range noEvents {
		t.Run(name, func(t *testing.T) {
			bubble.Test(t, func(t *testing.T) {
				env := newTestEnv(t, ampleBudget, engineUps([]string{"p1"}, []string{"d1"})...)
				body := newEndlessBody("", piece, 100*time.Millisecond)
				env.d.do["d1"] = []reply{{verdict: dialect.Success, status: 200, stream: body}}
				j := job(resumable)
				j.Deadline = j.Arrived.Add(5 * time.Second)
				got := &streamRecorder{}
				ctx, cancel := context.WithDeadline(t.Context(), j.Deadline)
				defer cancel()
				_, err := env.Stream(ctx, j, got)
				assert.Assert(t, outcomeOf(t, err) != NotRun, "%v", err)
				assert.Assert(t, time.Now().Before(j.Deadline), "after %v", time.Since(j.Arrived))
				assert.Equal(t, got.heads, 0)
				assert.Assert(t, body.isClosed())
			})
		})
	}
}

// TestBytesWithoutEventsAreNoProgress guards against an engine whose bytes, none of which completes an event, count
// as a sign of life, so that its stream does not go on elsewhere.
func TestBytesWithoutEventsAreNoProgress(t *testing.T) {
	for name, piece := range noEvents {
		for _, head := range []string{"", events(1, 2)} {
			t.Run(name+"/"+head, func(t *testing.T) {
				bubble.Test(t, func(t *testing.T) {
					env := newTestEnv(t, ampleBudget, engineUps([]string{"p1"}, []string{"d1", "d2"})...)
					body := newEndlessBody(head, piece, 100*time.Millisecond)
					from := 1
					if head != "" {
						from = 3
					}
					env.d.silent = map[ident.UpstreamID]bool{"d1": true}
					env.d.do["d1"] = []reply{{verdict: dialect.Success, status: 200, stream: body}}
					env.d.do["d2"] = []reply{{verdict: dialect.Success, status: 200, body: events(from, 4)}}
					env.d.reserve["d2"] = []error{&dialect.NoCapacityError{}, nil}
					r := resumable
					r.PaceObjective = 300 * time.Millisecond
					got := &streamRecorder{}
					start := time.Now()
					_, err := env.Stream(t.Context(), job(r), got)
					assert.NilError(t, err)
					assert.Equal(t, got.body.String(), events(1, 4))
					assert.Assert(t, time.Since(start) < 2*time.Second, "%v", time.Since(start))
					assert.Assert(t, body.isClosed())
				})
			})
		}
	}
}

// TestEndlessStreamsTakeLittleMemory guards against streams without events that together take more than the budget.
func TestEndlessStreamsTakeLittleMemory(t *testing.T) {
	const streams = 100
	const limit = 24 << 20
	budget := memory.NewBudget(8 << 20)
	var held, done sync.WaitGroup
	before := heapBytes()
	bodies := make([]*endlessBody, streams)
	errs := make([]error, streams)
	for i := range bodies {
		b := newEndlessBody("", "x", 0)
		b.max = maxEventBytes - readBytes
		bodies[i] = b
		held.Add(1)
		done.Go(func() {
			reached := sync.OnceFunc(held.Done)
			defer reached()
			account := budget.Open("caller")
			defer account.Close()
			_, errs[i] = readTestEvents(readerFunc(func(p []byte) (int, error) {
				if b.sent >= b.max {
					reached()
				}
				return b.Read(p)
			}), account)
		})
	}
	held.Wait()
	used := heapBytes() - before
	for _, b := range bodies {
		_ = b.Close()
	}
	done.Wait()
	t.Logf("%d KiB", used>>10)
	assert.Assert(t, used < limit, "%d bytes", used)
	for _, err := range errs {
		assert.Assert(t, err != nil)
	}
	assert.Equal(t, budget.Used(), int64(0))
}

// readerFunc is an io.Reader.
type readerFunc func(p []byte) (int, error)

// Read implements io.Reader.
func (f readerFunc) Read(p []byte) (int, error) { return f(p) }

func heapBytes() int64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}

// TestEndlessBodyOfARefusalIsNotWaitedFor guards against a refused request that waits for the rest of a body that
// nobody needs, until it is too late for another upstream.
func TestEndlessBodyOfARefusalIsNotWaitedFor(t *testing.T) {
	for _, pause := range []time.Duration{0, 100 * time.Millisecond} {
		for _, v := range []dialect.Verdict{dialect.Refused, dialect.WrongUpstream} {
			bubble.Test(t, func(t *testing.T) {
				env := newTestEnv(t, ampleBudget, plainUps("x", "y")...)
				body := newEndlessBody("", "x", pause)
				refused := reply{verdict: v, status: 503, stream: body}
				answer := reply{verdict: dialect.Success, status: 200, body: "ok"}
				env.d.do["x"], env.d.do["y"] = []reply{refused, answer}, []reply{answer}
				env.d.reserve["x"] = nil
				start := time.Now()
				for !body.isClosed() {
					a, err := env.Plain(t.Context(), job(atMostOnce))
					assert.NilError(t, err)
					assert.Equal(t, string(a.Body), "ok")
				}
				assert.Assert(t, time.Since(start) < time.Second, "%v", time.Since(start))
				assert.Assert(t, body.sent < 1<<20, "%d bytes", body.sent)
			})
		}
	}
}

// TestEndlessPlainAnswerIsBrokenOff guards against a plain answer without end that counts as whole or as not run, or
// whose connection stays open.
func TestEndlessPlainAnswerIsBrokenOff(t *testing.T) {
	for _, pause := range []time.Duration{0, 100 * time.Millisecond} {
		for _, v := range []dialect.Verdict{dialect.Success, dialect.Failure, dialect.Invalid} {
			for _, unframed := range []bool{false, true} {
				bubble.Test(t, func(t *testing.T) {
					env := newTestEnv(t, ampleBudget, plainUps("x")...)
					body := newEndlessBody("", "x", pause)
					env.d.do["x"] = []reply{{verdict: v, status: 200, stream: body, unframed: unframed}}
					j := job(atMostOnce)
					j.Deadline = j.Arrived.Add(3 * time.Second)
					budget := memory.NewBudget(64 << 20)
					j.Memory = budget.Open("caller")
					_, err := env.Plain(t.Context(), j)
					j.Memory.Close()
					assert.Assert(t, outcomeOf(t, err) != NotRun)
					assert.Assert(t, time.Now().Before(j.Deadline))
					env.Close()
					assert.Assert(t, body.isClosed())
					assert.Assert(t, body.sent <= maxResponseBytes+64<<10, "%d bytes", body.sent)
					assert.Equal(t, budget.Used(), int64(0))
				})
			}
		}
	}
}

// TestEndlessRelayedStreamIsBrokenOff guards against a peer's stream without events that is read without end.
func TestEndlessRelayedStreamIsBrokenOff(t *testing.T) {
	for name, piece := range noEvents {
		t.Run(name, func(t *testing.T) {
			bubble.Test(t, func(t *testing.T) {
				env := newTestEnv(t, ampleBudget, engineUps([]string{"p1"}, []string{"d1"})...)
				env.disconnected = true
				body := newEndlessBody("", piece, 0)
				env.relayTo = func(relay.Request) (*http.Response, error) {
					return &http.Response{StatusCode: 200, Header: http.Header{}, ContentLength: -1, TransferEncoding: []string{"chunked"}, Body: body}, nil
				}
				got := &streamRecorder{}
				_, err := env.Stream(t.Context(), job(singleRun), got)
				assert.Assert(t, outcomeOf(t, err) != NotRun)
				assert.Equal(t, got.heads, 0)
				assert.Assert(t, body.sent < 2*maxEventBytes)
				assert.Assert(t, body.isClosed())
			})
		})
	}
}

// TestCommentsArriveWithTheNextEvent guards against bytes of a stream that are lost or moved because they are no
// events.
func TestCommentsArriveWithTheNextEvent(t *testing.T) {
	for _, text := range []string{
		": a\n\n" + events(1, 1) + ": b\n\n" + events(2, 2) + ": c\n\n",
		"\n\n\n" + events(1, 2) + "\n\r\n\r",
		"garbage\n\nmore: x\n\n" + events(1, 1) + "unknown: y\n\n",
		"retry: 5\n\n" + "event: e\ndata: x\n\n" + "data:\n\n" + "data\n\n",
	} {
		for size := 1; size <= len(text); size++ {
			env := newTestEnv(t, ampleBudget, engineUps([]string{"p1"}, []string{"d1"})...)
			body := io.NopCloser(&smallReader{r: strings.NewReader(text), size: size})
			env.d.do["d1"] = []reply{{verdict: dialect.Success, status: 200, stream: body}}
			got := &streamRecorder{}
			_, err := env.Stream(t.Context(), job(resumable), got)
			assert.NilError(t, err, "%q by %d", text, size)
			assert.Equal(t, got.body.String(), text, "by %d", size)
		}
	}
}

// smallReader reads a few bytes at a time.
type smallReader struct {
	r    io.Reader
	size int
}

// Read implements io.Reader.
func (s *smallReader) Read(p []byte) (int, error) { return s.r.Read(p[:min(s.size, len(p))]) }

// readTestEvents reads the events of a body.
func readTestEvents(body io.Reader, account *memory.Account) (string, error) {
	var got bytes.Buffer
	_, err := readEvents(body, account, func() {}, func(events []byte) error {
		_, err := got.Write(events)
		return err
	})
	return got.String(), errors.Join(err)
}
