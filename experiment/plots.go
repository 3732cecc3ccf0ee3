package experiment

import (
	"github.com/wardspool/wardspool/report"
)

// plotColumns is the number of panels in a row.
const plotColumns = 2

// SavePlots plots goodput and wasted prefill over load for each deployment, and
// the surges, and writes base.svg and base.png. Errors are those of
// report.SavePanels.
func SavePlots(base string, list []*Summary, surges []*Timeline) error {
	var deployments []string
	seen := map[string]bool{}
	for _, s := range list {
		if s.Fault == FaultNone && !seen[s.Deployment] && loadCount(list, s.Deployment) > 1 {
			seen[s.Deployment] = true
			deployments = append(deployments, s.Deployment)
		}
	}
	var panels []report.Panel
	for _, d := range deployments {
		panels = append(panels,
			panel(list, d, "goodput", "share of model requests offered", func(s *Summary) float64 { return s.Goodput.Mean }),
			panel(list, d, "wasted prefill", "share of prompt tokens computed", func(s *Summary) float64 { return s.Waste.Mean }))
	}
	surged := map[string]bool{}
	for _, t := range surges {
		if !surged[t.Deployment] {
			surged[t.Deployment] = true
			panels = append(panels, surgePanel(surges, t.Deployment))
		}
	}
	if len(panels) == 0 {
		return nil
	}
	return report.SavePanels(base, plotColumns, panels)
}

// loadCount returns the number of loads at which a deployment was run without
// faults.
func loadCount(list []*Summary, deployment string) int {
	loads := map[float64]bool{}
	for _, s := range list {
		if s.Deployment == deployment && s.Fault == FaultNone {
			loads[s.Load] = true
		}
	}
	return len(loads)
}

// panel plots one value over load, with a line for each policy that was run at
// more than one load.
func panel(list []*Summary, deployment, title, yLabel string, value func(*Summary) float64) report.Panel {
	p := report.Panel{
		Title: deployment + ": " + title, XLabel: "load, as a share of capacity", YLabel: yLabel,
		LegendLeft: true,
	}
	index := map[PolicyName]int{}
	for _, s := range list {
		if s.Deployment != deployment || s.Fault != FaultNone {
			continue
		}
		i, ok := index[s.Policy]
		if !ok {
			i = len(p.Lines)
			index[s.Policy] = i
			p.Lines = append(p.Lines, report.Line{Name: string(s.Policy)})
		}
		p.Lines[i].Points = append(p.Lines[i].Points, report.Point{X: s.Load, Y: value(s)})
	}
	lines := p.Lines[:0]
	for _, l := range p.Lines {
		if len(l.Points) > 1 {
			lines = append(lines, l)
		}
	}
	p.Lines = lines
	return p
}
