package experiment

import (
	"fmt"
	"io"
	"slices"
	"strings"
	"time"

	"github.com/wardspool/wardspool/report"
)

// pivot describes a table with one cell for each pair of a row and a column.
type pivot struct {
	title string
	// row and column return the labels under which a summary appears; an empty
	// row label leaves it out.
	row    func(*Summary) string
	column func(*Summary) string
	cell   func(*Summary) string
}

// WriteDigest writes the tables of docs/measurements.md in Markdown. Errors are
// those of the writer or of type *report.RowError.
func WriteDigest(w io.Writer, list []*Summary, surges []*Timeline) error {
	for _, p := range pivots {
		if _, err := fmt.Fprintf(w, "### %s\n\n", p.title); err != nil {
			return err
		}
		table, err := p.table(list)
		if err != nil {
			return err
		}
		if err := table.WriteMarkdown(w); err != nil {
			return err
		}
		if _, err := fmt.Fprintln(w); err != nil {
			return err
		}
	}
	return writeSurgeDigest(w, surges)
}

// pivots lists the tables of the digest.
var pivots = []pivot{
	{
		title:  "Goodput by load, as a share of the model requests offered (least to greatest over the seeds)",
		row:    loadRow,
		column: func(s *Summary) string { return report.Fixed(s.Load, 1) },
		cell: func(s *Summary) string {
			return fmt.Sprintf("%.3f (%.3f to %.3f)", s.Goodput.Mean, s.Goodput.Min, s.Goodput.Max)
		},
	},
	{
		title:  "Goodput by load, targets counted from the latest sending",
		row:    loadRow,
		column: func(s *Summary) string { return report.Fixed(s.Load, 1) },
		cell:   func(s *Summary) string { return report.Fixed(s.GoodputResent.Mean, 3) },
	},
	{
		title:  "Wasted prefill by load, as a share of the prompt tokens computed",
		row:    loadRow,
		column: func(s *Summary) string { return report.Fixed(s.Load, 1) },
		cell:   func(s *Summary) string { return percent(s.Waste.Mean) },
	},
	{
		title:  "Faults at load 1.0: goodput, wasted prefill, unknown; duplicates and leaks over all seeds",
		row:    faultRow,
		column: func(s *Summary) string { return string(s.Policy) },
		cell: func(s *Summary) string {
			text := fmt.Sprintf("%.3f, %s, %s", s.Goodput.Mean, percent(s.Waste.Mean), percent(s.Unknown.Mean))
			if s.Duplicates+s.Leaked > 0 {
				text += fmt.Sprintf("; **%d duplicates, %d leaks**", s.Duplicates, s.Leaked)
			}
			return text
		},
	},
	{
		title:  "Slot policies at load 1.0 by number of instances: goodput, wasted prefill",
		row:    slotRow,
		column: func(s *Summary) string { return string(s.Fault) },
		cell: func(s *Summary) string {
			return fmt.Sprintf("%.3f, %s", s.Goodput.Mean, percent(s.Waste.Mean))
		},
	},
}

func loadRow(s *Summary) string {
	if s.Fault != FaultNone || strings.HasPrefix(string(s.Policy), PolicySlots) {
		return ""
	}
	return s.Deployment + " " + string(s.Policy)
}

func faultRow(s *Summary) string {
	isSlots := strings.HasPrefix(string(s.Policy), PolicySlots)
	if s.Fault == FaultSurge || isSlots || s.Load != 1.0 {
		return ""
	}
	return s.Deployment + " " + string(s.Fault)
}

func slotRow(s *Summary) string {
	if !strings.HasPrefix(string(s.Policy), PolicySlots) || s.Load != 1.0 {
		return ""
	}
	return s.Deployment + " " + string(s.Policy)
}

func percent(share float64) string { return report.Fixed(share*100, 2) + "%" }

// table fills the pivot; rows and columns are in order of appearance.
func (p pivot) table(list []*Summary) (*report.Table, error) {
	var rows, columns []string
	cells := map[[2]string]string{}
	for _, s := range list {
		row, column := p.row(s), p.column(s)
		if row == "" {
			continue
		}
		if !slices.Contains(rows, row) {
			rows = append(rows, row)
		}
		if !slices.Contains(columns, column) {
			columns = append(columns, column)
		}
		cells[[2]string{row, column}] = p.cell(s)
	}
	t := report.NewTable(append([]string{""}, columns...)...)
	for _, row := range rows {
		line := []string{row}
		for _, column := range columns {
			line = append(line, cells[[2]string{row, column}])
		}
		if err := t.Add(line...); err != nil {
			return nil, err
		}
	}
	return t, nil
}

// Phases of a run with a surge, in seconds since the end of the warm-up.
const (
	surgeStarts = float64(matrixDuration/3) / float64(time.Second)
	surgeEnds   = surgeStarts + float64(surgeLength)/float64(time.Second)
	surgeAfter  = surgeEnds + 15
)

// writeSurgeDigest writes the goodput before, during and after a surge.
func writeSurgeDigest(w io.Writer, surges []*Timeline) error {
	if len(surges) == 0 {
		return nil
	}
	t := report.NewTable("", "before", "surge", "15 s after", "later")
	for _, line := range surges {
		row := []string{line.Deployment + " " + string(line.Policy)}
		for _, part := range [][2]float64{{0, surgeStarts}, {surgeStarts, surgeEnds}, {surgeEnds, surgeAfter}, {surgeAfter, matrixDuration.Seconds()}} {
			row = append(row, line.between(part[0], part[1]))
		}
		if err := t.Add(row...); err != nil {
			return err
		}
	}
	_, err := fmt.Fprint(w, "### Surge from 0.8 to 1.5 for 30 s: goodput a second, and as a share of what was offered\n\n")
	if err != nil {
		return err
	}
	return t.WriteMarkdown(w)
}

// between summarizes the intervals that start within a range of seconds.
func (t *Timeline) between(from, to float64) string {
	var offered, good, n float64
	for _, p := range t.Parts {
		if p.Start >= from && p.Start < to {
			offered += p.Offered
			good += p.Good
			n++
		}
	}
	if n == 0 {
		return ""
	}
	return fmt.Sprintf("%.2f, %s", good/n, report.Share(good, offered))
}
