package experiment

import (
	"github.com/wardspool/wardspool/report"
)

// Timeline shows the outcome of the model requests over time, as the mean of
// runs that differ only in their seed.
type Timeline struct {
	Deployment string
	Policy     PolicyName
	// Parts are consecutive intervals, each TimelineStep long.
	Parts []TimelinePart
}

// TimelinePart summarizes the model requests that arrived in one interval of a
// run.
type TimelinePart struct {
	// Start is in seconds since the end of the warm-up.
	Start float64
	// Offered and Good are in requests per second.
	Offered, Good float64
	// GoodShare and RefusedShare are fractions of the requests offered.
	GoodShare, RefusedShare float64
}

// SurgeTimelines returns a timeline for each deployment and policy that was run
// with a surge, in order of appearance.
func SurgeTimelines(results []*Result) []*Timeline {
	var list []*Timeline
	index := map[group][]*Result{}
	for _, r := range results {
		g := r.Cell.group()
		if r.Cell.Fault != FaultSurge {
			continue
		}
		if index[g] == nil {
			list = append(list, &Timeline{Deployment: g.deployment, Policy: g.policy})
		}
		index[g] = append(index[g], r)
	}
	for _, t := range list {
		for g, runs := range index {
			if g.deployment == t.Deployment && g.policy == t.Policy {
				t.Parts = timelineParts(runs)
			}
		}
	}
	return list
}

// timelineParts combines runs of equal length.
func timelineParts(runs []*Result) []TimelinePart {
	sums := make([]Count, len(runs[0].Timeline))
	for _, r := range runs {
		for i, n := range r.Timeline {
			sums[i].Offered += n.Offered
			sums[i].Good += n.Good
			sums[i].Refused += n.Refused
		}
	}
	seconds := TimelineStep.Seconds() * float64(len(runs))
	var parts []TimelinePart
	for i, n := range sums {
		if n.Offered == 0 {
			continue
		}
		offered := float64(n.Offered)
		parts = append(parts, TimelinePart{
			Start:        float64(i) * TimelineStep.Seconds(),
			Offered:      offered / seconds,
			Good:         float64(n.Good) / seconds,
			GoodShare:    float64(n.Good) / offered,
			RefusedShare: float64(n.Refused) / offered,
		})
	}
	return parts
}

// SurgeTable returns a table with one row for each interval of each timeline.
func SurgeTable(list []*Timeline) (*report.Table, error) {
	t := report.NewTable("deployment", "policy", "arrived_s", "offered_per_s", "goodput_per_s", "goodput_share", "refused_share")
	for _, line := range list {
		for _, p := range line.Parts {
			err := t.Add(line.Deployment, string(line.Policy),
				report.Fixed(p.Start, 0), report.Fixed(p.Offered, 2), report.Fixed(p.Good, 2),
				report.Fixed(p.GoodShare, shareDecimals), report.Fixed(p.RefusedShare, shareDecimals))
			if err != nil {
				return nil, err
			}
		}
	}
	return t, nil
}

// surgePanel plots the timelines of one deployment.
func surgePanel(list []*Timeline, deployment string) report.Panel {
	p := report.Panel{
		Title:  deployment + ": surge from 0.8 to 1.5 and back",
		XLabel: "seconds", YLabel: "model requests a second", LegendLeft: true,
	}
	for _, t := range list {
		if t.Deployment != deployment {
			continue
		}
		if len(p.Lines) == 0 {
			p.Lines = append(p.Lines, report.Line{Name: "offered"})
			for _, part := range t.Parts {
				p.Lines[0].Points = append(p.Lines[0].Points, report.Point{X: part.Start, Y: part.Offered})
			}
		}
		line := report.Line{Name: string(t.Policy)}
		for _, part := range t.Parts {
			line.Points = append(line.Points, report.Point{X: part.Start, Y: part.Good})
		}
		p.Lines = append(p.Lines, line)
	}
	return p
}
