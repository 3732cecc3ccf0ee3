// Package metrics serves tally metrics in the Prometheus text format. tally's
// own Prometheus reporter is not used because it depends on the whole Prometheus
// client library, while the text format takes a few lines.
package metrics

import (
	"fmt"
	"io"
	"maps"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"
)

// Interval is the reporting interval of a scope, and so the maximum age of
// served values.
const Interval = time.Second

// separator joins the parts of a metric name.
const separator = "_"

// ContentType is the media type of the text format.
const ContentType = "text/plain; version=0.0.4; charset=utf-8"

// kind is the type of a metric in the text format.
type kind string

const (
	kindCounter   kind = "counter"
	kindGauge     kind = "gauge"
	kindSummary   kind = "summary"
	kindHistogram kind = "histogram"
)

// series is the time series of one metric and one set of labels.
type series struct {
	labels string
	// value is the value of a counter or gauge, and the sum of a summary or
	// histogram.
	value float64
	// count is the number of samples of a summary or histogram.
	count int64
	// buckets holds the number of samples of a histogram by upper bound.
	buckets map[float64]int64
}

// family holds all time series of one metric.
type family struct {
	kind   kind
	series map[string]*series
}

// Reporter is a tally.StatsReporter that stores the reported values and serves
// them over HTTP. It is safe for concurrent use.
type Reporter struct {
	mu       sync.Mutex
	families map[string]*family
}

var _ tally.StatsReporter = (*Reporter)(nil)

// NewReporter returns an empty reporter.
func NewReporter() *Reporter { return &Reporter{families: map[string]*family{}} }

// NewScope returns a root scope that reports to r every Interval. Closing it
// stops its goroutine.
func NewScope(r *Reporter, prefix string) (tally.Scope, io.Closer) {
	return newScope(r, prefix, Interval)
}

// newScope returns a root scope that reports at the given interval.
func newScope(r *Reporter, prefix string, interval time.Duration) (tally.Scope, io.Closer) {
	return tally.NewRootScope(tally.ScopeOptions{
		Prefix:                 prefix,
		Reporter:               r,
		Separator:              separator,
		OmitCardinalityMetrics: true,
	}, interval)
}

// getOrCreate returns the series with the given name and tags, and creates it if
// necessary. The caller must hold mu.
func (r *Reporter) getOrCreate(name string, tags map[string]string, k kind) *series {
	f := r.families[name]
	if f == nil {
		f = &family{kind: k, series: map[string]*series{}}
		r.families[name] = f
	}
	labels := formatLabels(tags)
	s := f.series[labels]
	if s == nil {
		s = &series{labels: labels}
		f.series[labels] = s
	}
	return s
}

// formatLabels formats tags as Prometheus labels, `a="x",b="y"`, sorted by name.
func formatLabels(tags map[string]string) string {
	parts := make([]string, 0, len(tags))
	for _, name := range slices.Sorted(maps.Keys(tags)) {
		parts = append(parts, name+"="+strconv.Quote(tags[name]))
	}
	return strings.Join(parts, ",")
}

// ReportCounter implements tally.StatsReporter.
func (r *Reporter) ReportCounter(name string, tags map[string]string, value int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.getOrCreate(name, tags, kindCounter).value += float64(value)
}

// ReportGauge implements tally.StatsReporter.
func (r *Reporter) ReportGauge(name string, tags map[string]string, value float64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.getOrCreate(name, tags, kindGauge).value = value
}

// ReportTimer implements tally.StatsReporter.
func (r *Reporter) ReportTimer(name string, tags map[string]string, interval time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.getOrCreate(name, tags, kindSummary)
	s.value += interval.Seconds()
	s.count++
}

// ReportHistogramValueSamples implements tally.StatsReporter.
func (r *Reporter) ReportHistogramValueSamples(name string, tags map[string]string, _ tally.Buckets, lower, upper float64, samples int64) {
	r.addSamples(name, tags, lower, upper, samples)
}

// ReportHistogramDurationSamples implements tally.StatsReporter.
func (r *Reporter) ReportHistogramDurationSamples(name string, tags map[string]string, _ tally.Buckets, lower, upper time.Duration, samples int64) {
	r.addSamples(name, tags, lower.Seconds(), upper.Seconds(), samples)
}

// addSamples adds samples to a histogram bucket. tally does not report the sum of
// the samples, so each counts with its bucket's lower bound, at least 0.
func (r *Reporter) addSamples(name string, tags map[string]string, lower, upper float64, samples int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.getOrCreate(name, tags, kindHistogram)
	if s.buckets == nil {
		s.buckets = map[float64]int64{}
	}
	s.buckets[upper] += samples
	s.count += samples
	s.value += max(lower, 0) * float64(samples)
}

// Capabilities implements tally.StatsReporter.
func (r *Reporter) Capabilities() tally.Capabilities { return capabilities{} }

// Flush implements tally.StatsReporter.
func (r *Reporter) Flush() {}

// capabilities declares that the reporter supports reporting and tagging.
type capabilities struct{}

// Reporting implements tally.Capabilities.
func (capabilities) Reporting() bool { return true }

// Tagging implements tally.Capabilities.
func (capabilities) Tagging() bool { return true }

// ServeHTTP implements http.Handler. It writes all metrics.
func (r *Reporter) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", ContentType)
	// The write error of a client that has disconnected is ignored.
	_, _ = io.WriteString(w, r.Text())
}

// Text returns all metrics in the Prometheus text format, sorted by name and
// labels. They include some metrics of the Go runtime.
func (r *Reporter) Text() string {
	r.updateRuntimeGauges()
	r.mu.Lock()
	defer r.mu.Unlock()
	var b strings.Builder
	for _, name := range slices.Sorted(maps.Keys(r.families)) {
		f := r.families[name]
		fmt.Fprintf(&b, "# TYPE %s %s\n", name, f.kind)
		for _, labels := range slices.Sorted(maps.Keys(f.series)) {
			f.series[labels].write(&b, name, f.kind)
		}
	}
	return b.String()
}

// write writes the lines of one series in the text format.
func (s *series) write(b *strings.Builder, name string, k kind) {
	switch k {
	case kindHistogram:
		s.writeBuckets(b, name)
		fallthrough
	case kindSummary:
		writeSample(b, name+"_sum", s.labels, s.value)
		writeSample(b, name+"_count", s.labels, float64(s.count))
	default:
		writeSample(b, name, s.labels, s.value)
	}
}

// writeBuckets writes the buckets of a histogram with cumulative counts, as the
// text format requires, and the +Inf bucket.
func (s *series) writeBuckets(b *strings.Builder, name string) {
	total := int64(0)
	for _, bound := range slices.Sorted(maps.Keys(s.buckets)) {
		total += s.buckets[bound]
		writeSample(b, name+"_bucket", appendLabel(s.labels, "le="+strconv.Quote(formatValue(bound))), float64(total))
	}
	writeSample(b, name+"_bucket", appendLabel(s.labels, `le="+Inf"`), float64(s.count))
}

// appendLabel appends a label to formatted labels.
func appendLabel(labels, further string) string {
	if labels == "" {
		return further
	}
	return labels + "," + further
}

// writeSample writes one sample line.
func writeSample(b *strings.Builder, name, labels string, value float64) {
	b.WriteString(name)
	if labels != "" {
		b.WriteString("{" + labels + "}")
	}
	b.WriteString(" " + formatValue(value) + "\n")
}

// formatValue formats a value in the shortest form that parses back to it.
func formatValue(v float64) string { return strconv.FormatFloat(v, 'g', -1, 64) }
