package experiment

import (
	"time"

	"github.com/wardspool/wardspool/api"
	"github.com/wardspool/wardspool/config"
	"github.com/wardspool/wardspool/report"
)

// Cell is one run of the experiment.
type Cell struct {
	Deployment string
	// Instances is the number of entry instances.
	Instances int
	Policy    PolicyName
	// Load is the rate of requests as a share of Capacity.
	Load  float64
	Fault Fault
	Seed  uint64
	// Warmup is the time before the measured arrivals, Duration theirs.
	Warmup, Duration time.Duration
	// Jitter is the most that is added to a message's delay.
	Jitter time.Duration
	// LoadLag is the age of load reports on arrival.
	LoadLag time.Duration
}

// blind reports whether the cell's callers send again without tickets, and at
// once.
func (c Cell) blind() bool { return c.Policy == PolicyNaive }

// Result is what came of a cell. Requests are counted if they were offered in
// the measured time; one that was sent again counts once.
type Result struct {
	Cell Cell
	// Models counts the model requests, which are those with both targets.
	Models Count
	// ByKind counts the requests of each kind, plain services too.
	ByKind map[string]*Count
	// Timeline counts the model requests by the TimelineStep in which they
	// arrived, from the end of the warm-up on.
	Timeline []Count
	// PromptComputed and PromptWasted are in tokens over the whole run.
	PromptComputed, PromptWasted int
	// WastedCancelled, WastedEvicted and WastedKilled are parts of it; the rest
	// was computed again for a decode that was lost.
	WastedCancelled, WastedEvicted, WastedKilled int
	FirstOutputP95, PaceP95                      time.Duration
	// DecodeBusy is the mean share of decode slots or memory in use, PrefillBusy
	// that of prefill engines that compute, in the measured time.
	DecodeBusy, PrefillBusy float64
	// Sent counts submissions, retries included.
	Sent         int
	PeerMessages int
	// Broken counts violations by kind.
	Broken     map[ViolationKind]int
	Violations []Violation
}

// TimelineStep is the length of a part of Result.Timeline.
const TimelineStep = 5 * time.Second

// Count counts requests by what came of them.
type Count struct {
	Offered int
	// Good counts those answered whole and within their targets from when they
	// first arrived, GoodResent those within their targets from when they were
	// last sent, Complete those answered whole.
	Good, GoodResent, Complete int
	// Refused counts those whose last answer was "not-run", Unknown those of
	// which the caller doesn't know, Cancelled those whose caller left.
	Refused, Unknown, Cancelled int
}

// Duplicates counts the requests that ran twice and must not.
func (r *Result) Duplicates() int { return r.Broken[RanTwice] }

// Leaks counts the attempts whose memory was held for nobody.
func (r *Result) Leaks() int { return r.Broken[Leaked] }

// Run runs one cell of a deployment. Errors are of type *PolicyError or
// *FaultError, or those of kernel.New.
func Run(cell Cell, d *Deployment) (*Result, error) { return run(cell, d, nil) }

// RunTraced is Run; it also passes each event, action and violation to trace.
func RunTraced(cell Cell, d *Deployment, trace func(line string)) (*Result, error) {
	return run(cell, d, trace)
}

func run(cell Cell, d *Deployment, trace func(string)) (*Result, error) {
	w, err := newWorld(cell, d)
	if err != nil {
		return nil, err
	}
	w.judge.trace = trace
	if err := w.run(); err != nil {
		return nil, err
	}
	return w.result(), nil
}

// result sums up a finished run.
func (w *world) result() *Result {
	r := &Result{
		Cell: w.cell, ByKind: map[string]*Count{},
		Timeline:        make([]Count, w.cell.Duration/TimelineStep+1),
		PromptComputed:  w.judge.prompt,
		WastedCancelled: w.judge.byCause[wasteCancelled],
		WastedEvicted:   w.judge.byCause[wasteEvicted],
		WastedKilled:    w.judge.byCause[wasteKilled],
		Sent:            w.callers.sent,
		DecodeBusy:      w.judge.decodeBusy / float64(max(w.judge.samples, 1)),
		PrefillBusy:     w.judge.prefillBusy / float64(max(w.judge.samples, 1)),
		PeerMessages:    w.judge.peerMessages,
		Broken:          w.judge.counts,
		Violations:      w.judge.violations,
	}
	first, pace := report.NewHist(), report.NewHist()
	for _, l := range w.callers.logicals {
		r.PromptWasted += l.computed - l.largestUsed
		if l.at < w.cell.Warmup {
			continue
		}
		r.count(l)
		if l.complete() && l.arrival.Kind.Route() == config.RouteModel {
			first.Record(l.last().first - l.at)
			pace.Record(l.pace())
		}
	}
	r.FirstOutputP95 = first.Quantile(95)
	r.PaceP95 = pace.Quantile(95)
	return r
}

// count adds one measured request.
func (r *Result) count(l *logical) {
	kind := r.ByKind[l.arrival.Kind.Name]
	if kind == nil {
		kind = &Count{}
		r.ByKind[l.arrival.Kind.Name] = kind
	}
	kind.add(l)
	if l.arrival.Kind.Route() == config.RouteModel {
		r.Models.add(l)
		r.Timeline[(l.at-r.Cell.Warmup)/TimelineStep].add(l)
	}
}

// add counts one request.
func (c *Count) add(l *logical) {
	c.Offered++
	switch {
	case l.cancelled:
		c.Cancelled++
	case l.complete():
		c.Complete++
	case l.finished && !l.gone && l.last().outcome == api.NotRun:
		c.Refused++
	default:
		c.Unknown++
	}
	if l.good(l.at) {
		c.Good++
	}
	if l.good(l.last().sentAt) {
		c.GoodResent++
	}
}
