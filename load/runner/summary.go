package runner

import (
	"sort"
	"strconv"
	"time"

	"github.com/wardspool/wardspool/api"
	"github.com/wardspool/wardspool/load/workload"
	"github.com/wardspool/wardspool/report"
)

// KindSummary aggregates the requests of one kind.
type KindSummary struct {
	Kind string
	// Offered counts requests, Complete those answered completely, Good those
	// answered completely and within their latency targets.
	Offered, Good, Complete int
	// Refused counts those that did not run: each sending was answered "not-run" or
	// its connection could not be established. Unknown counts those that ended in
	// "unknown" or without an answer, Cancelled those cancelled by their caller,
	// Wrong those with an answer that belonged to another request or was incomplete.
	Refused, Unknown, Cancelled, Wrong int
	// Sendings counts all sendings of these requests.
	Sendings int
	// First, Pace and Done are over complete answers.
	First, Pace, Done *report.Hist
}

func newKindSummary(kind string) *KindSummary {
	return &KindSummary{Kind: kind, First: report.NewHist(), Pace: report.NewHist(), Done: report.NewHist()}
}

// TotalKind is the name of the summary over all kinds.
const TotalKind = "total"

// Summarize aggregates records by kind, in alphabetical order, followed by the total.
func Summarize(spec *workload.Spec, records []Record) []*KindSummary {
	kinds := map[string]*workload.Kind{}
	for i := range spec.Kinds {
		kinds[spec.Kinds[i].Name] = &spec.Kinds[i]
	}
	byKind := map[string]*KindSummary{}
	total := newKindSummary(TotalKind)
	for i := range records {
		r := &records[i]
		s := byKind[r.Kind]
		if s == nil {
			s = newKindSummary(r.Kind)
			byKind[r.Kind] = s
		}
		good := r.Good(kinds[r.Kind])
		s.add(r, good)
		total.add(r, good)
	}
	var list []*KindSummary
	for _, s := range byKind {
		list = append(list, s)
	}
	sort.Slice(list, func(i, j int) bool { return list[i].Kind < list[j].Kind })
	return append(list, total)
}

// add counts one request.
func (s *KindSummary) add(r *Record, good bool) {
	s.Offered++
	s.Sendings += r.Sendings
	if good {
		s.Good++
	}
	if r.InvalidAnswer {
		s.Wrong++
	}
	switch {
	case r.Outcome == api.Complete && !r.InvalidAnswer:
		s.Complete++
		s.record(r)
	case r.Cancelled:
		s.Cancelled++
	case r.NotRun || r.Sendings == r.FailedConnections:
		s.Refused++
	default:
		s.Unknown++
	}
}

// record adds the times of a complete answer.
func (s *KindSummary) record(r *Record) {
	s.First.Record(fromMilliseconds(r.FirstMS))
	s.Done.Record(fromMilliseconds(r.DoneMS))
	if r.Model {
		s.Pace.Record(fromMilliseconds(r.PaceMS))
	}
}

func fromMilliseconds(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }

// Quantiles of the tables, in percent.
const (
	median = 50
	p95    = 95
	p99    = 99
)

// Table lists summaries, one row each. Goodput is in requests per second over the
// duration of the run and as a share of the offered requests.
func Table(list []*KindSummary, duration time.Duration) (*report.Table, error) {
	t := report.NewTable("kind", "offered", "goodput_per_s", "goodput_share", "complete", "refused", "unknown",
		"cancelled", "wrong", "sendings", "first_p50_ms", "first_p95_ms", "first_p99_ms",
		"pace_p50_ms", "pace_p95_ms", "done_p95_ms")
	for _, s := range list {
		row := []string{s.Kind, strconv.Itoa(s.Offered),
			report.Fixed(float64(s.Good)/duration.Seconds(), 2),
			report.Share(float64(s.Good), float64(s.Offered))}
		for _, n := range []int{s.Complete, s.Refused, s.Unknown, s.Cancelled, s.Wrong, s.Sendings} {
			row = append(row, strconv.Itoa(n))
		}
		for _, d := range []time.Duration{
			s.First.Quantile(median), s.First.Quantile(p95), s.First.Quantile(p99),
			s.Pace.Quantile(median), s.Pace.Quantile(p95), s.Done.Quantile(p95),
		} {
			row = append(row, report.Millis(d))
		}
		if err := t.Add(row...); err != nil {
			return nil, err
		}
	}
	return t, nil
}
