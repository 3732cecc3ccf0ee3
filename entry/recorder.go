package entry

import (
	"errors"
	"log/slog"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/wardspool/wardspool/adapter"
	"github.com/wardspool/wardspool/entry/driver"
	"github.com/wardspool/wardspool/entry/evidence"
	"github.com/wardspool/wardspool/entry/journal"
	"github.com/wardspool/wardspool/entry/stats"
	"github.com/wardspool/wardspool/ident"
	"github.com/wardspool/wardspool/kernel"
	"github.com/wardspool/wardspool/peer"
)

// logQueueSize is the maximum number of log lines that wait to be written.
const logQueueSize = 8192

// recorder implements driver.Observer: it logs and counts decisions and requests.
// Log lines are formatted and written by a separate goroutine, so that a slow log
// destination does not delay decisions. When the queue is full, log lines are
// dropped and counted.
type recorder struct {
	log      *slog.Logger
	journal  *journal.Journal
	stats    *stats.Collector
	evidence *evidence.Log
	counters *counters
	queue    chan logLine
	done     sync.WaitGroup
}

var _ driver.Observer = (*recorder)(nil)

func newRecorder(log *slog.Logger, scope tally.Scope, records int) *recorder {
	r := &recorder{
		log:      log,
		journal:  journal.New(records),
		stats:    stats.New(),
		evidence: evidence.New(),
		counters: newCounters(scope),
		queue:    make(chan logLine, logQueueSize),
	}
	r.done.Go(r.writeLines)
	return r
}

// close writes the queued lines and ends the goroutine. Nothing may be recorded
// afterwards.
func (r *recorder) close() {
	close(r.queue)
	r.done.Wait()
}

// logLine is one line for the log: a decision record, or what logFunc logs if it is set.
type logLine struct {
	record  kernel.Record
	logFunc func()
}

// writeLines writes queued lines until the queue is closed.
func (r *recorder) writeLines() {
	for l := range r.queue {
		if l.logFunc != nil {
			l.logFunc()
			continue
		}
		logRecord(r.log, &l.record)
	}
}

// enqueue queues a line. If the queue is full, it drops and counts the line.
func (r *recorder) enqueue(l logLine) {
	select {
	case r.queue <- l:
	default:
		r.counters.logDropped.Inc(1)
	}
}

// info logs a message that is not a decision, without waiting for the log.
func (r *recorder) info(text string, args ...any) {
	r.enqueue(logLine{logFunc: func() { r.log.Info(text, args...) }})
}

// Decided implements driver.Observer.
func (r *recorder) Decided(rec kernel.Record) {
	r.journal.Add(rec)
	r.stats.Decided(&rec)
	r.counters.countDecision(&rec)
	r.enqueue(logLine{record: rec})
}

// Presented records and logs a call that carried a ticket.
func (r *recorder) Presented(p journal.Presentation) {
	r.journal.Present(p)
	r.info("ticket presented", "request", p.Request, "run", p.Run, "executor", p.Executor, "action", p.Action)
}

// Ended implements driver.Observer.
func (r *recorder) Ended(s driver.Summary) {
	r.stats.Ended(s)
	r.counters.countRequest(&s)
}

// TokenDropped implements driver.Observer.
func (r *recorder) TokenDropped() { r.counters.lateTokens.Inc(1) }

// AttemptEnded implements driver.Observer.
func (r *recorder) AttemptEnded(upstream ident.UpstreamID, err *adapter.CallError) {
	r.evidence.RecordAttempt(upstream, err, time.Now())
	if err != nil {
		r.counters.attemptsFailed.Inc(1)
		return
	}
	r.counters.attemptsDone.Inc(1)
}

// LoadObserved implements driver.Observer.
func (r *recorder) LoadObserved(upstream ident.UpstreamID, o adapter.Observation) {
	r.evidence.RecordObservation(upstream, o, time.Now())
}

// PeerSendFailed implements driver.Observer.
func (r *recorder) PeerSendFailed(to ident.InstanceID, err error) {
	r.counters.undeliveredMessages.Inc(1)
	var dial *peer.DialError
	if errors.As(err, &dial) {
		r.evidence.RecordPeerFailure(to, dial.Kind == peer.DialRefused, time.Now())
	}
	r.log.Debug("peer message not delivered", "peer", to, "error", err)
}
