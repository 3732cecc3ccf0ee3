package entry

import (
	"strconv"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/wardspool/wardspool/entry/driver"
	"github.com/wardspool/wardspool/kernel"
)

// counters holds the metrics of an entry instance.
type counters struct {
	scope tally.Scope
	lateTokens,
	logDropped,
	attemptsDone,
	attemptsFailed,
	undeliveredMessages,
	tokens,
	prefillTokens,
	wastedTokens,
	pauses tally.Counter

	mu           sync.Mutex
	decisions    map[decisionKey]tally.Counter
	requests     map[requestKey]tally.Counter
	firstOutputs map[string]tally.Histogram
}

// decisionKey holds the label values of the metric "decisions".
type decisionKey struct {
	step   kernel.Step
	reason kernel.Reason
}

// requestKey holds the label values of the metric "requests".
type requestKey struct {
	kind, outcome string
	onTime        bool
}

func newCounters(scope tally.Scope) *counters {
	return &counters{
		scope:               scope,
		lateTokens:          scope.Counter("late_tokens_dropped"),
		logDropped:          scope.Counter("log_lines_dropped"),
		attemptsDone:        scope.Counter("attempts_done"),
		attemptsFailed:      scope.Counter("attempts_failed"),
		undeliveredMessages: scope.Counter("peer_messages_undelivered"),
		tokens:              scope.Counter("output_tokens"),
		prefillTokens:       scope.Counter("prefill_tokens"),
		wastedTokens:        scope.Counter("prefill_tokens_wasted"),
		pauses:              scope.Counter("process_pauses"),
		decisions:           map[decisionKey]tally.Counter{},
		requests:            map[requestKey]tally.Counter{},
		firstOutputs:        map[string]tally.Histogram{},
	}
}

// firstOutputBuckets are the upper bounds of the first_output_seconds histogram.
var firstOutputBuckets = tally.MustMakeExponentialDurationBuckets(10*time.Millisecond, 2, 13)

// countDecision counts a decision by step and reason.
func (c *counters) countDecision(r *kernel.Record) {
	c.mu.Lock()
	defer c.mu.Unlock()
	k := decisionKey{r.Step, r.Reason}
	counter := c.decisions[k]
	if counter == nil {
		tags := map[string]string{"step": string(r.Step), "reason": string(r.Reason)}
		counter = c.scope.Tagged(tags).Counter("decisions")
		c.decisions[k] = counter
	}
	counter.Inc(1)
}

// countRequest counts a request that ended, its tokens and its time to first output.
func (c *counters) countRequest(s *driver.Summary) {
	c.tokens.Inc(int64(s.Tokens))
	c.prefillTokens.Inc(int64(s.PrefillTokens))
	c.wastedTokens.Inc(int64(s.WastedTokens))
	c.mu.Lock()
	defer c.mu.Unlock()
	k := requestKey{s.Kind, string(s.Outcome), s.OnTime}
	counter := c.requests[k]
	if counter == nil {
		tags := map[string]string{
			"kind": s.Kind, "outcome": k.outcome, "on_time": strconv.FormatBool(s.OnTime),
		}
		counter = c.scope.Tagged(tags).Counter("requests")
		c.requests[k] = counter
	}
	counter.Inc(1)
	if s.FirstToken.IsZero() {
		return
	}
	h := c.firstOutputs[s.Kind]
	if h == nil {
		h = c.scope.Tagged(map[string]string{"kind": s.Kind}).Histogram("first_output_seconds", firstOutputBuckets)
		c.firstOutputs[s.Kind] = h
	}
	h.RecordDuration(s.FirstToken.Sub(s.Arrived))
}

// countConnection counts a connection that was closed because of a limit. name is that of the counter.
func (r *recorder) countConnection(name string) { r.counters.scope.Counter(name).Inc(1) }
