package experiment

import (
	"math"
	"strconv"
	"time"

	"github.com/wardspool/wardspool/report"
)

// group identifies runs that differ only in their seed.
type group struct {
	deployment string
	policy     PolicyName
	load       float64
	fault      Fault
}

// label returns the deployment's name, with the number of instances appended if
// it is not the default.
func (c Cell) label() string {
	if c.Instances == defaultInstances {
		return c.Deployment
	}
	return c.Deployment + "-" + strconv.Itoa(c.Instances)
}

func (c Cell) group() group {
	return group{deployment: c.label(), policy: c.Policy, load: c.Load, fault: c.Fault}
}

// Summary holds the means and spreads of one group of runs over their seeds.
type Summary struct {
	Deployment string
	Policy     PolicyName
	Load       float64
	Fault      Fault
	Seeds      int
	Offered    float64
	// Goodput, GoodputResent, Refused and Unknown are fractions of the model
	// requests offered. GoodputResent measures the targets of a request from its
	// latest submission.
	Goodput, GoodputResent, Refused, Unknown Spread
	// Waste is the fraction of the computed prompt tokens that were discarded.
	Waste                 Spread
	FirstOutputP95Seconds Spread
	PaceP95Seconds        Spread
	// DecodeBusy and PrefillBusy are the fractions of decode slots or memory and
	// of prefill engines in use.
	DecodeBusy, PrefillBusy Spread
	// Duplicates, Leaked and Violations are totals over the seeds.
	Duplicates, Leaked, Violations int
}

// Spread is a mean with its minimum and maximum.
type Spread struct {
	Mean, Min, Max float64
	n              int
}

func (s *Spread) add(v float64) {
	if s.n == 0 {
		s.Min, s.Max = v, v
	}
	s.n++
	s.Mean += (v - s.Mean) / float64(s.n)
	s.Min = math.Min(s.Min, v)
	s.Max = math.Max(s.Max, v)
}

// Summarize groups results that differ only in their seed, in order of
// appearance.
func Summarize(results []*Result) []*Summary {
	var list []*Summary
	index := map[group]*Summary{}
	for _, r := range results {
		g := r.Cell.group()
		s := index[g]
		if s == nil {
			s = &Summary{Deployment: g.deployment, Policy: g.policy, Load: g.load, Fault: g.fault}
			index[g] = s
			list = append(list, s)
		}
		s.add(r)
	}
	return list
}

func (s *Summary) add(r *Result) {
	m := r.Models
	offered := math.Max(float64(m.Offered), 1)
	s.Seeds++
	s.Offered += (float64(m.Offered) - s.Offered) / float64(s.Seeds)
	s.Goodput.add(float64(m.Good) / offered)
	s.GoodputResent.add(float64(m.GoodResent) / offered)
	s.Refused.add(float64(m.Refused) / offered)
	s.Unknown.add(float64(m.Unknown) / offered)
	s.Waste.add(float64(r.PromptWasted) / math.Max(float64(r.PromptComputed), 1))
	s.FirstOutputP95Seconds.add(r.FirstOutputP95.Seconds())
	s.PaceP95Seconds.add(r.PaceP95.Seconds())
	s.DecodeBusy.add(r.DecodeBusy)
	s.PrefillBusy.add(r.PrefillBusy)
	s.Duplicates += r.Duplicates()
	s.Leaked += r.Leaks()
	for _, n := range r.ViolationCounts {
		s.Violations += n
	}
}

// Decimal places in the tables.
const (
	shareDecimals  = 4
	offeredDigits  = 1
	millisDecimals = 1
)

func millis(seconds float64) string {
	return report.Fixed(seconds*float64(time.Second/time.Millisecond), millisDecimals)
}

// Table returns a table of the summaries' means, one row each.
func Table(list []*Summary) (*report.Table, error) {
	t := report.NewTable("deployment", "policy", "load", "fault", "offered", "goodput_share",
		"wasted_prefill_share", "refused_share", "unknown_share", "first_output_p95_ms",
		"pace_p95_ms", "duplicates", "leaked")
	for _, s := range list {
		err := t.Add(s.Deployment, string(s.Policy), report.Fixed(s.Load, 1), string(s.Fault),
			report.Fixed(s.Offered, offeredDigits),
			report.Fixed(s.Goodput.Mean, shareDecimals),
			report.Fixed(s.Waste.Mean, shareDecimals),
			report.Fixed(s.Refused.Mean, shareDecimals),
			report.Fixed(s.Unknown.Mean, shareDecimals),
			millis(s.FirstOutputP95Seconds.Mean),
			millis(s.PaceP95Seconds.Mean),
			strconv.Itoa(s.Duplicates), strconv.Itoa(s.Leaked))
		if err != nil {
			return nil, err
		}
	}
	return t, nil
}

// SpreadTable returns a table of the minima and maxima over the seeds.
func SpreadTable(list []*Summary) (*report.Table, error) {
	t := report.NewTable("deployment", "policy", "load", "fault", "seeds",
		"goodput_share_min", "goodput_share_max",
		"goodput_resent_share", "goodput_resent_share_min", "goodput_resent_share_max", "wasted_prefill_share_min", "wasted_prefill_share_max",
		"refused_share_min", "refused_share_max", "unknown_share_min", "unknown_share_max",
		"first_output_p95_ms_min", "first_output_p95_ms_max", "pace_p95_ms_min", "pace_p95_ms_max",
		"decode_busy", "prefill_busy", "violations")
	for _, s := range list {
		row := []string{s.Deployment, string(s.Policy), report.Fixed(s.Load, 1), string(s.Fault), strconv.Itoa(s.Seeds)}
		shares := func(list ...float64) {
			for _, v := range list {
				row = append(row, report.Fixed(v, shareDecimals))
			}
		}
		shares(s.Goodput.Min, s.Goodput.Max)
		shares(s.GoodputResent.Mean, s.GoodputResent.Min, s.GoodputResent.Max)
		for _, v := range []Spread{s.Waste, s.Refused, s.Unknown} {
			shares(v.Min, v.Max)
		}
		for _, v := range []Spread{s.FirstOutputP95Seconds, s.PaceP95Seconds} {
			row = append(row, millis(v.Min), millis(v.Max))
		}
		shares(s.DecodeBusy.Mean, s.PrefillBusy.Mean)
		if err := t.Add(append(row, strconv.Itoa(s.Violations))...); err != nil {
			return nil, err
		}
	}
	return t, nil
}

// KindTable returns a table with one row for each kind of request in each run.
func KindTable(results []*Result) (*report.Table, error) {
	t := report.NewTable("deployment", "policy", "load", "fault", "seed", "kind",
		"offered", "good", "complete", "refused", "unknown", "cancelled")
	for _, r := range results {
		for _, kind := range sortedKeys(r.ByKind) {
			n := r.ByKind[kind]
			row := []string{r.Cell.label(), string(r.Cell.Policy), report.Fixed(r.Cell.Load, 1),
				string(r.Cell.Fault), strconv.FormatUint(r.Cell.Seed, 10), kind}
			for _, v := range []int{n.Offered, n.Good, n.Complete, n.Refused, n.Unknown, n.Cancelled} {
				row = append(row, strconv.Itoa(v))
			}
			if err := t.Add(row...); err != nil {
				return nil, err
			}
		}
	}
	return t, nil
}
