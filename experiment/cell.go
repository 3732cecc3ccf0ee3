package experiment

import (
	"time"

	"github.com/wardspool/wardspool/api"
	"github.com/wardspool/wardspool/config"
	"github.com/wardspool/wardspool/report"
)

// Cell holds the parameters of one run of the experiment.
type Cell struct {
	Deployment string
	// Instances is the number of entry instances.
	Instances int
	Policy    PolicyName
	// Load is the request rate as a fraction of Capacity.
	Load  float64
	Fault Fault
	Seed  uint64
	// Warmup is the time before measurement starts; Duration is the time for
	// which arrivals are measured.
	Warmup, Duration time.Duration
	// Jitter is the upper bound of the random delay added to a message.
	Jitter time.Duration
	// LoadLag is the age of a load report on arrival.
	LoadLag time.Duration
}

// retriesBlindly reports whether the cell's callers retry immediately and without
// tickets.
func (c Cell) retriesBlindly() bool { return c.Policy == PolicyNaive }

// Result is the outcome of a cell. Requests are counted if they were offered in
// the measured time. A request that was sent again counts once.
type Result struct {
	Cell Cell
	// Models counts the model requests, the only ones that have both latency
	// targets.
	Models Count
	// ByKind counts the requests of each kind, including plain services.
	ByKind map[string]*Count
	// Timeline counts the model requests by the TimelineStep in which they
	// arrived, starting at the end of the warm-up.
	Timeline []Count
	// PromptComputed and PromptWasted are in tokens and cover the whole run.
	PromptComputed, PromptWasted int
	// WastedCancelled, WastedEvicted and WastedKilled break PromptWasted down by
	// cause. The remainder was computed again for a decode that was lost.
	WastedCancelled, WastedEvicted, WastedKilled int
	FirstOutputP95, PaceP95                      time.Duration
	// DecodeBusy is the mean fraction of decode slots or memory in use,
	// PrefillBusy the mean fraction of prefill engines that are computing, both
	// over the measured time.
	DecodeBusy, PrefillBusy float64
	// Sent counts submissions, including retries.
	Sent         int
	PeerMessages int
	// ViolationCounts counts violations by kind.
	ViolationCounts map[ViolationKind]int
	Violations      []Violation
}

// TimelineStep is the length of one interval of Result.Timeline.
const TimelineStep = 5 * time.Second

// Count counts requests by outcome.
type Count struct {
	Offered int
	// Good counts the requests answered completely and within their targets,
	// measured from their first arrival. GoodResent measures the targets from
	// the latest submission instead. Complete counts all complete answers,
	// whether or not within target.
	Good, GoodResent, Complete int
	// Refused counts the requests whose last answer was "not-run", Unknown those
	// whose outcome the caller doesn't know, Cancelled those whose caller
	// cancelled.
	Refused, Unknown, Cancelled int
}

// Duplicates returns the number of requests that ran twice although they are not
// repeatable.
func (r *Result) Duplicates() int { return r.ViolationCounts[RanTwice] }

// Leaks returns the number of attempts whose engine memory was held after nobody
// waited for them.
func (r *Result) Leaks() int { return r.ViolationCounts[Leaked] }

// Run runs one cell of a deployment. Errors are of type *PolicyError or
// *FaultError, or those of kernel.New.
func Run(cell Cell, d *Deployment) (*Result, error) { return run(cell, d, nil) }

// RunTraced runs a cell like Run and passes each event, action and violation to
// trace.
func RunTraced(cell Cell, d *Deployment, trace func(line string)) (*Result, error) {
	return run(cell, d, trace)
}

func run(cell Cell, d *Deployment, trace func(string)) (*Result, error) {
	w, err := newWorld(cell, d)
	if err != nil {
		return nil, err
	}
	w.checker.trace = trace
	if err := w.run(); err != nil {
		return nil, err
	}
	return w.result(), nil
}

// result summarizes a finished run.
func (w *world) result() *Result {
	r := &Result{
		Cell: w.cell, ByKind: map[string]*Count{},
		Timeline:        make([]Count, w.cell.Duration/TimelineStep+1),
		PromptComputed:  w.checker.promptTokens,
		WastedCancelled: w.checker.wastedTokens[wasteCancelled],
		WastedEvicted:   w.checker.wastedTokens[wasteEvicted],
		WastedKilled:    w.checker.wastedTokens[wasteKilled],
		Sent:            w.callers.sent,
		DecodeBusy:      w.checker.decodeBusy / float64(max(w.checker.samples, 1)),
		PrefillBusy:     w.checker.prefillBusy / float64(max(w.checker.samples, 1)),
		PeerMessages:    w.checker.peerMessages,
		ViolationCounts: w.checker.violationCounts,
		Violations:      w.checker.violations,
	}
	first, pace := report.NewHist(), report.NewHist()
	for _, l := range w.callers.logicals {
		r.PromptWasted += l.computedTokens - l.largestUsedTokens
		if l.at < w.cell.Warmup {
			continue
		}
		r.count(l)
		if l.complete() && l.arrival.Kind.Route() == config.RouteModel {
			first.Record(l.last().firstOutputAt - l.at)
			pace.Record(l.pace())
		}
	}
	r.FirstOutputP95 = first.Quantile(95)
	r.PaceP95 = pace.Quantile(95)
	return r
}

// count adds one request of the measured time.
func (r *Result) count(l *logicalRequest) {
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

// add counts one request by its outcome.
func (c *Count) add(l *logicalRequest) {
	c.Offered++
	switch {
	case l.cancelled:
		c.Cancelled++
	case l.complete():
		c.Complete++
	case l.finished && !l.abandoned && l.last().outcome == api.NotRun:
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
