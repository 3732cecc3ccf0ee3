package runner

import (
	"encoding/json"
	"os"
	"path/filepath"
	"time"

	"github.com/wardspool/wardspool/api"
	"github.com/wardspool/wardspool/load/workload"
	"github.com/wardspool/wardspool/report"
)

// maxSavedRecords bounds the number of records written to a file.
const maxSavedRecords = 100_000

// SavedRecords is the content of the records file.
type SavedRecords struct {
	// Omitted counts the records beyond maxSavedRecords, which are not written.
	Omitted int      `json:"omitted"`
	Records []Record `json:"records"`
}

// SaveRecords writes up to maxSavedRecords records as JSON. Errors are those of
// package os or of the encoder.
func SaveRecords(path string, records []Record) (err error) {
	saved := SavedRecords{Records: records}
	if len(records) > maxSavedRecords {
		saved = SavedRecords{Records: records[:maxSavedRecords], Omitted: len(records) - maxSavedRecords}
	}
	if err := os.MkdirAll(filepath.Dir(path), 0o755); err != nil {
		return err
	}
	f, err := os.Create(path)
	if err != nil {
		return err
	}
	defer func() {
		if closeErr := f.Close(); err == nil {
			err = closeErr
		}
	}()
	return json.NewEncoder(f).Encode(saved)
}

// plotBinWidth is the width of the plots' bins.
const plotBinWidth = time.Second

// SavePlot plots offered load, goodput and time to first output by the second in
// which requests were due, and writes base.svg and base.png. Errors are those of
// report.SavePanels.
func SavePlot(base string, spec *workload.Spec, records []Record, duration time.Duration) error {
	kinds := map[string]*workload.Kind{}
	for i := range spec.Kinds {
		kinds[spec.Kinds[i].Name] = &spec.Kinds[i]
	}
	bins := int(duration/plotBinWidth) + 1
	offered, good := make([]float64, bins), make([]float64, bins)
	first := make([]*report.Hist, bins)
	for i := range records {
		r := &records[i]
		bin := min(int(fromMilliseconds(r.DueMS)/plotBinWidth), bins-1)
		offered[bin]++
		if r.Good(kinds[r.Kind]) {
			good[bin]++
		}
		if !r.Model || r.Outcome != api.Complete {
			continue
		}
		if first[bin] == nil {
			first[bin] = report.NewHist()
		}
		first[bin].Record(fromMilliseconds(r.FirstMS))
	}
	return report.SavePanels(base, 2, []report.Panel{
		{
			Title: "requests by the second they were due", XLabel: "seconds", YLabel: "requests a second",
			Lines: []report.Line{{Name: "offered", Points: points(offered)}, {Name: "goodput", Points: points(good)}},
		},
		{
			Title: "time to first output, model requests", XLabel: "seconds", YLabel: "ms",
			Lines: []report.Line{{Name: "p50", Points: quantiles(first, median)}, {Name: "p95", Points: quantiles(first, p95)}},
		},
	})
}

func points(values []float64) []report.Point {
	list := make([]report.Point, len(values))
	for i, v := range values {
		list[i] = report.Point{X: float64(i), Y: v}
	}
	return list
}

func quantiles(hists []*report.Hist, percent float64) []report.Point {
	var list []report.Point
	for i, h := range hists {
		if h != nil {
			list = append(list, report.Point{X: float64(i), Y: milliseconds(h.Quantile(percent))})
		}
	}
	return list
}
