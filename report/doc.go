// Package report turns measurements into aligned text tables, CSV files, plots
// and latency histograms. It is shared by the load generator and the
// experiment.
package report
