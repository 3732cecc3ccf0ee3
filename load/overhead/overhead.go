// Package overhead measures the latency that wardspool adds to a completion. It
// requests the same completions through an entry instance and directly from the
// engines, concurrently in one run, so that both routes see the same load.
package overhead

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/wardspool/wardspool/ident"
	"github.com/wardspool/wardspool/internal/pause"
	"github.com/wardspool/wardspool/load/client"
	"github.com/wardspool/wardspool/report"
)

// Options describes a run.
type Options struct {
	// Target is an entry instance; Prefill and Decode are the only engines that
	// it has for the model. All are addresses, as IP:port. Direct completions
	// choose their decode engine at random.
	Target, Prefill string
	Decode          []string
	Model           string
	Workspace       ident.Workspace
	Kind            string
	// PromptTokens is the length of every prompt. OutputTokens is the mean output
	// length; outputs have from half to one and a half times as many tokens.
	PromptTokens, OutputTokens int
	// Streams is the number of concurrent completions through the entry, Direct
	// the number of concurrent completions sent directly to the engines.
	Streams, Direct int
	// MaxPause bounds the random pause before each completion; 0 means no pause.
	MaxPause time.Duration
	// Warmup precedes Duration, the measured time. Each stream starts at a random
	// time within the warm-up.
	Warmup, Duration time.Duration
	Seed             uint64
	RunID            string
}

// Route is one of the two paths to the engines.
type Route string

// The routes.
const (
	RouteWardspool Route = "wardspool"
	RouteDirect    Route = "direct"
)

// RouteStats holds the measurements of one route.
type RouteStats struct {
	Route  Route
	Failed int
	// FirstError is the first failure.
	FirstError error
	// First is the time to first output, Pace the mean time between tokens of
	// each completion.
	First, Pace *report.Hist
}

func newRouteStats(r Route) *RouteStats {
	return &RouteStats{Route: r, First: report.NewHist(), Pace: report.NewHist()}
}

// Result is the outcome of a run.
type Result struct{ Wardspool, Direct *RouteStats }

// benchmark holds the state of one run.
type benchmark struct {
	opts        Options
	client      *client.Client
	measureFrom time.Time
	prompt      string

	mu     sync.Mutex
	result Result
}

// Run requests completions until the duration has passed or the context is done.
func Run(ctx context.Context, opts Options) *Result {
	b := &benchmark{
		opts:        opts,
		client:      client.New(),
		measureFrom: time.Now().Add(opts.Warmup),
		prompt:      strings.Repeat("w ", opts.PromptTokens-1),
		result:      Result{Wardspool: newRouteStats(RouteWardspool), Direct: newRouteStats(RouteDirect)},
	}
	defer b.client.Close()
	ctx, cancel := context.WithDeadline(ctx, b.measureFrom.Add(opts.Duration))
	defer cancel()
	var workers sync.WaitGroup
	for n := range opts.Streams + opts.Direct {
		route := RouteWardspool
		if n >= opts.Streams {
			route = RouteDirect
		}
		workers.Go(func() { b.runStream(ctx, n, route) })
	}
	workers.Wait()
	return &b.result
}

// runStream requests completions one after another on one route.
func (b *benchmark) runStream(ctx context.Context, n int, route Route) {
	rng := rand.New(rand.NewPCG(b.opts.Seed, uint64(n)))
	// Streams of one length that start at the same time also end and restart at the
	// same time: the entry would see bursts of arrivals instead of the mean rate.
	randomPause(ctx, rng, b.opts.Warmup)
	for i := 0; ctx.Err() == nil; i++ {
		id := b.opts.RunID + "-" + strconv.Itoa(n) + "-" + strconv.Itoa(i)
		// The ID makes each prompt unique.
		prompt := b.prompt + id
		decode := b.opts.Decode[rng.IntN(len(b.opts.Decode))]
		output := b.outputTokens(rng)
		randomPause(ctx, rng, b.opts.MaxPause)
		started := time.Now()
		got := b.complete(ctx, route, decode, id, prompt, output)
		if ctx.Err() == nil {
			b.record(route, started, got)
		}
	}
}

// DefaultMaxPause is the default of Options.MaxPause.
const DefaultMaxPause = 200 * time.Millisecond

// outputTokens returns a random output length.
func (b *benchmark) outputTokens(rng *rand.Rand) int {
	mean := b.opts.OutputTokens
	return max(1, mean-mean/2+rng.IntN(2*(mean/2)+1))
}

// randomPause waits for a random time below the limit.
func randomPause(ctx context.Context, rng *rand.Rand, limit time.Duration) {
	if limit <= 0 {
		return
	}
	pause.For(ctx, time.Duration(rng.Int64N(int64(limit))))
}

// complete requests one completion on the given route.
func (b *benchmark) complete(ctx context.Context, route Route, decode, id, prompt string, output int) *client.Result {
	if route == RouteDirect {
		return b.client.CompleteDirect(ctx, &client.Direct{
			Prefill: b.opts.Prefill, Decode: decode, Attempt: id,
			Model: b.opts.Model, Prompt: prompt, MaxTokens: output,
		})
	}
	call := &client.Completion{
		Call: client.Call{
			Target: b.opts.Target, RequestID: id, Workspace: b.opts.Workspace,
			Kind: b.opts.Kind, Repeatable: true,
		},
		Model: b.opts.Model, Prompt: prompt, MaxTokens: output,
	}
	return b.client.Complete(ctx, call, call.Body())
}

// FailedError reports a completion without a complete answer.
type FailedError struct{ Result *client.Result }

// Error implements error.
func (e *FailedError) Error() string {
	if e.Result.Problem != nil {
		return e.Result.Problem.Error()
	}
	return fmt.Sprintf("status %d, outcome %q: %v", e.Result.Status, e.Result.Outcome, e.Result.Err)
}

// record adds a completion to the route's measurements, unless it started during
// the warm-up.
func (b *benchmark) record(route Route, started time.Time, got *client.Result) {
	if started.Before(b.measureFrom) {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	m := b.result.Wardspool
	if route == RouteDirect {
		m = b.result.Direct
	}
	if !got.Complete() {
		m.Failed++
		if m.FirstError == nil {
			m.FirstError = &FailedError{Result: got}
		}
		return
	}
	m.First.Record(got.First.Sub(started))
	if got.Tokens > 1 {
		m.Pace.Record(got.Done.Sub(got.First) / time.Duration(got.Tokens-1))
	}
}

// IncompleteError reports that completions failed, which makes the measurements
// unreliable.
type IncompleteError struct {
	Route  Route
	Failed int
	First  error
}

// Error implements error.
func (e *IncompleteError) Error() string {
	return fmt.Sprintf("%s: %d completions failed; the first: %v", e.Route, e.Failed, e.First)
}

// Unwrap returns the first failure.
func (e *IncompleteError) Unwrap() error { return e.First }

// Err returns an *IncompleteError if any completion failed.
func (r *Result) Err() error {
	for _, m := range []*RouteStats{r.Direct, r.Wardspool} {
		if m.Failed > 0 {
			return &IncompleteError{Route: m.Route, Failed: m.Failed, First: m.FirstError}
		}
	}
	return nil
}

// Quantiles of the table, in percent.
const (
	median = 50
	p99    = 99
)

// Table lists both routes and their difference, in milliseconds.
func (r *Result) Table() (*report.Table, error) {
	t := report.NewTable("route", "completions", "failed", "first_p50_ms", "first_p99_ms",
		"first_mean_ms", "pace_p50_ms", "pace_p99_ms", "pace_mean_ms")
	for _, m := range []*RouteStats{r.Direct, r.Wardspool} {
		row := []string{string(m.Route), strconv.FormatInt(m.First.Count(), 10), strconv.Itoa(m.Failed)}
		for _, d := range m.values() {
			row = append(row, formatMillis(d))
		}
		if err := t.Add(row...); err != nil {
			return nil, err
		}
	}
	added := []string{"added", "", ""}
	direct := r.Direct.values()
	for i, d := range r.Wardspool.values() {
		added = append(added, formatMillis(d-direct[i]))
	}
	return t, t.Add(added...)
}

// values lists a route's statistics in the order of the table's columns.
func (m *RouteStats) values() []time.Duration {
	return []time.Duration{
		m.First.Quantile(median), m.First.Quantile(p99), m.First.Mean(),
		m.Pace.Quantile(median), m.Pace.Quantile(p99), m.Pace.Mean(),
	}
}

// formatMillis formats a duration as milliseconds with three decimals.
func formatMillis(d time.Duration) string {
	return report.Fixed(float64(d)/float64(time.Millisecond), 3)
}
