package entry

import (
	"bytes"
	"encoding/json"
	"io"
	"log/slog"
	"testing"
	"time"

	"github.com/uber-go/tally/v4"
	"gotest.tools/v3/assert"

	"github.com/wardspool/wardspool/ident"
	"github.com/wardspool/wardspool/kernel"
)

// fullRecord returns the record of a placement with every field set.
func fullRecord() kernel.Record {
	return kernel.Record{
		Time: time.Now(), Request: "01M8VJH29SG2WFKSRETDMRA0S9", Workspace: "head-office", Kind: "review",
		Step: kernel.StepPlaced, Reason: kernel.ReasonBest,
		Attempt: ident.AttemptID{Instance: "e-1", Incarnation: 1, Sequence: 9, Deadline: time.UnixMilli(1)},
		Prefill: "hall-a-prefill-1", Decode: "hall-a-decode-2", Cost: 0.25,
		RunnersUp: []kernel.Alternative{
			{Prefill: "hall-b-prefill-1", Decode: "hall-a-decode-2", Cost: 0.3},
			{Prefill: "hall-b-prefill-1", Decode: "hall-b-decode-1", Cost: 0.4},
		},
		PredictedFirstOutput: time.Second, Waited: time.Millisecond, ViewAge: time.Millisecond,
		QueueLength: 2, BundleVersion: 7, Outcome: "not-run", Offset: 3, RetryAfter: time.Second,
	}
}

// TestLogLine checks that the log line of a decision has an attribute for every field of
// the record.
func TestLogLine(t *testing.T) {
	var out bytes.Buffer
	r := fullRecord()
	logRecord(slog.New(slog.NewJSONHandler(&out, nil)), &r)
	var line map[string]any
	assert.NilError(t, json.Unmarshal(out.Bytes(), &line))
	for _, name := range []string{
		"request", "workspace", "kind", "step", "reason", "attempt", "prefill", "decode", "cost", "runners_up",
		"predicted_first_output", "waited", "view_age", "queue_length", "bundle_version", "outcome", "offset", "retry_after",
	} {
		assert.Check(t, line[name] != nil, "attribute %s is missing in %s", name, out.String())
	}
}

// blockedWriter blocks writes until release is closed, like a log that nobody reads.
type blockedWriter struct{ release chan struct{} }

func (w blockedWriter) Write(p []byte) (int, error) {
	<-w.release
	return len(p), nil
}

// TestUnreadLogHoldsUpNoDecision checks that decisions are not delayed when the log is
// blocked: lines that do not fit in the queue are dropped and counted.
func TestUnreadLogHoldsUpNoDecision(t *testing.T) {
	scope := tally.NewTestScope("", nil)
	w := blockedWriter{release: make(chan struct{})}
	r := newRecorder(slog.New(slog.NewJSONHandler(w, nil)), scope, 10)
	const overflow = 50
	// The writer's goroutine may already have taken one record from the queue.
	for range logQueueSize + 1 + overflow {
		r.Decided(fullRecord())
	}
	dropped := scope.Snapshot().Counters()["log_lines_dropped+"].Value()
	assert.Assert(t, dropped >= overflow && dropped <= overflow+1, "%d", dropped)
	assert.Equal(t, len(r.journal.Find(fullRecord().Request)), 10)
	close(w.release)
	r.close()
}

// BenchmarkLogLine measures formatting one decision's log line as JSON.
func BenchmarkLogLine(b *testing.B) {
	log := slog.New(slog.NewJSONHandler(io.Discard, nil))
	r := fullRecord()
	b.ReportAllocs()
	for b.Loop() {
		logRecord(log, &r)
	}
}

// BenchmarkDecided measures the cost of recording a decision in the driver's goroutine:
// the journal, the counters and the queue to the log.
func BenchmarkDecided(b *testing.B) {
	r := newRecorder(slog.New(slog.DiscardHandler), tally.NoopScope, 0)
	defer r.close()
	rec := fullRecord()
	b.ReportAllocs()
	for b.Loop() {
		r.Decided(rec)
	}
}
