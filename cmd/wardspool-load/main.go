// Command wardspool-load generates load and measures the results: over HTTP
// against running processes, or in virtual time against the decision kernel
// alone.
package main

import (
	"github.com/alecthomas/kong"

	"github.com/wardspool/wardspool/process"
)

// version is set at build time.
var version = "devel"

// description is the first part of the help text.
const description = `Load generator and experiments.

  wardspool-load run --workload examples/coastline/workload.yaml \
    --targets 127.0.0.1:8001,127.0.0.1:8002 --rate 20 --duration 30s \
    --judge 127.0.0.1:7101,127.0.0.1:7201
  wardspool-load experiment --quick
  wardspool-load experiment --out out/ --seeds 3 --workers 6

docs/measurements.md explains the figures.`

// cli is the command line.
type cli struct {
	Run        runCmd           `cmd:"" help:"Offer a workload over HTTP to running instances and judge the answers."`
	Overhead   overheadCmd      `cmd:"" help:"Measure what wardspool adds to direct calls of the engines, in one run."`
	Experiment experimentCmd    `cmd:"" help:"Run the policies in virtual time: a table, CSV files and plots."`
	Version    kong.VersionFlag `help:"Print the version and exit."`
}

func main() {
	process.Commands{Name: "wardspool-load", Description: description, Version: version}.Main(&cli{})
}
