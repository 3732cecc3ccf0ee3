// Package report formats measurements as text tables, CSV files, plots and
// latency histograms. The load generator and the experiment use it.
package report
