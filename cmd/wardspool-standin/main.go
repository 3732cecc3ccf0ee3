// Command wardspool-standin simulates the external systems for tests and
// measurements: a model engine, a plain service or the platform's configuration
// service, each as one process. It records which requests were executed, to check
// the router's outcomes against.
package main

import (
	"log/slog"
	"os"

	"github.com/alecthomas/kong"

	"github.com/wardspool/wardspool/process"
)

// version is set at build time.
var version = "devel"

// description is the first part of the help text.
const description = `Stand-ins for the systems around wardspool, for tests, demos and measurements.

Each subcommand serves HTTP on --listen until SIGINT or SIGTERM, and writes the
log line "listening" with its address when it is ready. With port 0 the system
picks a port. Every stand-in reports at GET /judge what really ran, was wasted
and is still held; the failures it can show are set under /control/.

  wardspool-standin platform --listen 127.0.0.1:7000 --seed-dir ./seed
  wardspool-standin engine --listen 127.0.0.1:7101 --id pf-1 --role prefill --model m
  wardspool-standin engine --listen 127.0.0.1:7201 --id dc-1 --role decode --model m
  wardspool-standin service --listen 127.0.0.1:7301 --id sv-1 --service billing

Protocols: docs/protocols/engine.md, service.md and platform.md.`

// cli is the command line.
type cli struct {
	Engine   engineCmd        `cmd:"" help:"A model engine: prefill, KV transfer and decode by a performance model."`
	Service  serviceCmd       `cmd:"" help:"A plain service: answers any call after a delay, and counts the runs."`
	Platform platformCmd      `cmd:"" help:"The configuration service: keys that can be read and watched."`
	Version  kong.VersionFlag `help:"Print the version and exit."`
}

func main() {
	log := slog.New(slog.NewTextHandler(os.Stderr, nil))
	process.Commands{Name: "wardspool-standin", Description: description, Version: version}.Main(&cli{}, log)
}
