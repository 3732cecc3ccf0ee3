package entry_test

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"runtime"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/wardspool/wardspool/entry"
	"github.com/wardspool/wardspool/settings"
)

// The benchmarks in this file compare a client that calls the engines itself with one
// that calls the router. Engines, router and clients share one process, so that the
// difference between the two results is the cost of the router.

// instantEngine returns an engine that computes nothing: a prefill returns at once, and a
// decode streams tokens with an interval of pace. The text of each token is the time at
// which it was written, in Unix nanoseconds.
func instantEngine(tokens int, pace time.Duration) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		if bytes.Contains(body, []byte(`"do_remote_decode":true`)) {
			_, _ = io.WriteString(w, `{"kv_transfer_params":{"do_remote_prefill":true}}`)
			return
		}
		attempt := r.Header.Get("X-Request-Id")
		rc := http.NewResponseController(w)
		var buf []byte
		for i := range tokens {
			finish := "null"
			if i == tokens-1 {
				finish = `"length"`
			}
			buf = fmt.Appendf(buf[:0], "id: %s:%d\ndata: {\"id\":%q,\"object\":\"text_completion\",\"created\":1,\"model\":\"reader\",\"choices\":[{\"index\":0,\"text\":\"%d \",\"finish_reason\":%s}]}\n\n",
				attempt, i, attempt, time.Now().UnixNano(), finish)
			if _, err := w.Write(buf); err != nil || rc.Flush() != nil {
				return
			}
			if pace > 0 {
				time.Sleep(pace)
			}
		}
		_, _ = io.WriteString(w, "data: [DONE]\n\n")
	})
}

// overheadSetup is a prefill engine, a decode engine and a router in front of them.
type overheadSetup struct {
	prefill, decode, router string
	client                  *http.Client
}

// unboundedBundle is testBundle with limits that 1,000 concurrent streams do not reach.
var unboundedBundle = strings.NewReplacer("slots: 20,", "slots: 5000,", "queue_limit: 100", "queue_limit: 5000",
	"deadline: 20s", "deadline: 120s", "first_output: 5s", "first_output: 60s").Replace(testBundle)

func newOverheadSetup(b *testing.B, tokens int, pace time.Duration) *overheadSetup {
	b.Helper()
	serve := func(h http.Handler) string {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		assert.NilError(b, err)
		srv := &http.Server{Handler: h}
		go func() { _ = srv.Serve(l) }()
		b.Cleanup(func() { _ = srv.Close() })
		return l.Addr().String()
	}
	r := &overheadSetup{
		prefill: serve(instantEngine(tokens, pace)),
		decode:  serve(instantEngine(tokens, pace)),
		client:  &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 2000, ReadBufferSize: 2048, WriteBufferSize: 2048}},
	}
	file := filepath.Join(b.TempDir(), "bundle.yaml")
	assert.NilError(b, os.WriteFile(file, []byte(unboundedBundle), 0o600))
	s, err := settings.Parse[entry.Settings]("bench.yaml", []byte(fmt.Sprintf(`
instance: entry-1
zone: hall-a
callers: {listen: "127.0.0.1:0"}
stop: {grace: 1ms, timeout: 10s}
static:
  bundle: %q
  upstreams:
    - {id: pf-1, zone: hall-a, address: %q}
    - {id: dc-1, zone: hall-a, address: %q}
`, file, r.prefill, r.decode)))
	assert.NilError(b, err)
	e, err := entry.New(s, slog.New(slog.NewJSONHandler(io.Discard, nil)))
	assert.NilError(b, err)
	assert.NilError(b, e.Listen())
	r.router = e.CallerAddress()
	ctx, stop := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- e.Serve(ctx) }()
	b.Cleanup(func() {
		stop()
		assert.Check(b, <-done)
		r.client.CloseIdleConnections()
	})
	for !r.ready() {
		time.Sleep(time.Millisecond)
	}
	return r
}

func (r *overheadSetup) ready() bool {
	resp, err := r.client.Get("http://" + r.router + "/readyz")
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	_, _ = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode == http.StatusOK
}

const (
	streamBody  = `{"model":"reader","prompt":"one two three four","max_tokens":%d,"stream":true}`
	prefillBody = `{"model":"reader","prompt":"one two three four","max_tokens":1,"kv_transfer_params":{"do_remote_decode":true}}`
)

// post sends a request and returns the body of the response.
func (r *overheadSetup) post(address, body string) (io.ReadCloser, error) {
	resp, err := r.client.Post("http://"+address+"/v1/completions", "application/json", strings.NewReader(body))
	if err != nil {
		return nil, err
	}
	return resp.Body, nil
}

// openStream opens a stream, either through the router or by calling the engines directly.
func (r *overheadSetup) openStream(router bool, tokens int) (io.ReadCloser, error) {
	if router {
		return r.post(r.router, fmt.Sprintf(streamBody, tokens))
	}
	prefill, err := r.post(r.prefill, prefillBody)
	if err != nil {
		return nil, err
	}
	_, _ = io.Copy(io.Discard, prefill)
	_ = prefill.Close()
	return r.post(r.decode, fmt.Sprintf(streamBody, tokens))
}

// readStream reads a stream to its end. It returns the delay of each token from the time at
// which the engine wrote it to its arrival, and the arrival time of the first token.
func readStream(body io.ReadCloser) (delays []time.Duration, first time.Time, err error) {
	defer body.Close()
	lines := bufio.NewScanner(body)
	lines.Buffer(make([]byte, 0, 1024), 64<<10)
	for lines.Scan() {
		_, after, ok := strings.Cut(lines.Text(), `"text":"`)
		if !ok {
			continue
		}
		now := time.Now()
		if first.IsZero() {
			first = now
		}
		stamp, _, _ := strings.Cut(after, " ")
		n, err := strconv.ParseInt(stamp, 10, 64)
		if err != nil {
			return nil, first, err
		}
		delays = append(delays, now.Sub(time.Unix(0, n)))
	}
	return delays, first, lines.Err()
}

var accessPaths = []struct {
	name   string
	router bool
}{{"direct", false}, {"router", true}}

// BenchmarkStream runs streams of 100 tokens one after the other, with no interval
// between tokens. It measures the processor time and the allocations of a request.
func BenchmarkStream(b *testing.B) {
	const tokens = 100
	for _, path := range accessPaths {
		b.Run(path.name, func(b *testing.B) {
			r := newOverheadSetup(b, tokens, 0)
			b.ReportAllocs()
			b.ResetTimer()
			for range b.N {
				body, err := r.openStream(path.router, tokens)
				assert.NilError(b, err)
				delays, _, err := readStream(body)
				assert.NilError(b, err)
				assert.Equal(b, len(delays), tokens)
			}
		})
	}
}

// BenchmarkThousandStreams opens 1,000 streams with the target interval of 54 ms between
// tokens. It reports the delay of tokens, the time to first output, and the memory in
// use while all streams are open.
func BenchmarkThousandStreams(b *testing.B) {
	const (
		streams = 1000
		tokens  = 60
		pace    = 54 * time.Millisecond
	)
	for _, path := range accessPaths {
		b.Run(path.name, func(b *testing.B) {
			r := newOverheadSetup(b, tokens, pace)
			for range b.N {
				before := memoryInUse()
				var tokenDelays, firstOutputs durations
				var open sync.WaitGroup
				for range streams {
					open.Go(func() { r.measure(b, path.router, tokens, &tokenDelays, &firstOutputs) })
					time.Sleep(time.Millisecond)
				}
				time.Sleep(tokens * pace / 3)
				perStream := float64(memoryInUse()-before) / streams
				open.Wait()
				b.ReportMetric(perStream, "B/stream")
				tokenDelays.report(b, "token")
				firstOutputs.report(b, "first")
				b.ReportMetric(0, "ns/op")
			}
		})
	}
}

// measure reads one stream and records its delays and its time to first output.
func (r *overheadSetup) measure(b *testing.B, router bool, tokens int, tokenDelays, firstOutputs *durations) {
	begin := time.Now()
	body, err := r.openStream(router, tokens)
	if !assert.Check(b, err) {
		return
	}
	delays, first, err := readStream(body)
	assert.Check(b, err)
	assert.Check(b, len(delays) == tokens, "%d tokens", len(delays))
	// The last token is left out: the router holds it back until the request has ended,
	// which is one interval after the token was written.
	tokenDelays.add(delays[:len(delays)-1]...)
	firstOutputs.add(first.Sub(begin))
}

// memoryInUse returns the bytes of heap objects and stacks in use.
func memoryInUse() int64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc + m.StackInuse)
}

// durations holds durations of many streams. It is safe for concurrent use.
type durations struct {
	mu     sync.Mutex
	values []time.Duration
}

func (c *durations) add(d ...time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.values = append(c.values, d...)
}

// report reports the median and the 99th percentile, in microseconds.
func (c *durations) report(b *testing.B, name string) {
	slices.Sort(c.values)
	at := func(q float64) float64 {
		return float64(c.values[int(q*float64(len(c.values)-1))].Nanoseconds()) / 1e3
	}
	b.ReportMetric(at(0.50), name+"-p50-µs")
	b.ReportMetric(at(0.99), name+"-p99-µs")
}
