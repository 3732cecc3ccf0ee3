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

// recordQueue bounds the decision records that wait to be logged.
const recordQueue = 8192

// recorder implements driver.Observer: it logs and counts what happens.
// Records are formatted and written in a goroutine of their own, so that a slow
// reader of the log holds up no decision; when too many wait, log lines are
// dropped and counted.
type recorder struct {
	log      *slog.Logger
	journal  *journal.Journal
	stats    *stats.Tally
	evidence *evidence.Log
	counters *counters
	lines    chan line
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
		lines:    make(chan line, recordQueue),
	}
	r.done.Go(r.write)
	return r
}

// close writes the records that wait and ends the goroutine. Nothing may be
// recorded afterwards.
func (r *recorder) close() {
	close(r.lines)
	r.done.Wait()
}

// line is one line for the log: a decision record, or what say writes.
type line struct {
	record kernel.Record
	say    func()
}

// write writes lines.
func (r *recorder) write() {
	for l := range r.lines {
		if l.say != nil {
			l.say()
			continue
		}
		logRecord(r.log, &l.record)
	}
}

// add queues a line, or drops and counts it.
func (r *recorder) add(l line) {
	select {
	case r.lines <- l:
	default:
		r.counters.logDropped.Inc(1)
	}
}

// info logs something other than a decision, without waiting for the log.
func (r *recorder) info(text string, args ...any) {
	r.add(line{say: func() { r.log.Info(text, args...) }})
}

// Decided implements driver.Observer.
func (r *recorder) Decided(rec kernel.Record) {
	r.journal.Add(rec)
	r.stats.Decided(&rec)
	r.counters.decided(&rec)
	r.add(line{record: rec})
}

// Presented notes a call that came with a ticket.
func (r *recorder) Presented(p journal.Presentation) {
	r.journal.Present(p)
	r.info("ticket presented", "request", p.Request, "run", p.Run, "executor", p.Executor, "action", p.Action)
}

// Ended implements driver.Observer.
func (r *recorder) Ended(s driver.Summary) {
	r.stats.Ended(s)
	r.counters.ended(&s)
}

// Late implements driver.Observer.
func (r *recorder) Late() { r.counters.late.Inc(1) }

// Contact implements driver.Observer.
func (r *recorder) Contact(upstream ident.UpstreamID, err *adapter.CallError) {
	r.evidence.Contact(upstream, err, time.Now())
	if err != nil {
		r.counters.attemptsFailed.Inc(1)
		return
	}
	r.counters.attemptsDone.Inc(1)
}

// Observed implements driver.Observer.
func (r *recorder) Observed(upstream ident.UpstreamID, o adapter.Observation) {
	r.evidence.Observed(upstream, o, time.Now())
}

// Undelivered implements driver.Observer.
func (r *recorder) Undelivered(to ident.InstanceID, err error) {
	r.counters.undelivered.Inc(1)
	var dial *peer.DialError
	if errors.As(err, &dial) {
		r.evidence.Peer(to, dial.Kind == peer.DialRefused, time.Now())
	}
	r.log.Debug("peer message not delivered", "peer", to, "error", err)
}
