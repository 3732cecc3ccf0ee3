// Command wardspool-agent runs beside each entry instance: it watches the
// platform, relays bundles to its peers, maintains the membership and sends the
// current state to the entry.
package main

import (
	"log/slog"
	"runtime"
	"runtime/debug"

	"github.com/wardspool/wardspool/agent"
	"github.com/wardspool/wardspool/logs"
	_ "github.com/wardspool/wardspool/plugins/platform/http" // platform.http
	"github.com/wardspool/wardspool/process"
)

// version is set at build time.
var version = "devel"

// maxProcs is the value of GOMAXPROCS. The agent uses about a hundredth of one
// CPU; with a higher value, each garbage collection would wake more threads.
const maxProcs = 2

// description is the first part of the help text.
const description = `The agent beside an entry instance of wardspool: it reads signed bundles and
lists from the platform or from its peers, feeds the entry, exchanges heartbeats,
releases what dead instances left behind on engines, and gives placement orders.

  wardspool-agent --settings agent.yaml --check    says what is wrong, and where
  wardspool-agent --settings agent.yaml            runs until SIGTERM or SIGINT
  wardspoolctl fleet --agents 127.0.0.1:9400       shows what it sees

On SIGTERM, if its entry stops as well, it tells its peers, waits for the entry to
finish what is in flight, and exits; otherwise it exits at once and the entry goes
on with its last view until the agent is back.

Exit codes: 0 stopped, or the settings are good (--check); 1 a listener failed
(--check: the settings are at fault); 2 the settings are at fault.

See docs/settings.md for the settings and docs/operators/agent.md for operation.`

func main() {
	process.Program[agent.Settings]{
		Name: "wardspool-agent", Description: description, Version: version,
		LogOptions: func(s *agent.Settings) logs.Options { return s.Log },
		New:        newAgent,
	}.Main()
}

// newAgent returns the agent and sets the CPU and memory limits of its process.
func newAgent(s *agent.Settings, log *slog.Logger) (process.Service, error) {
	runtime.GOMAXPROCS(maxProcs)
	// This is a soft limit: near it, garbage is collected more often.
	debug.SetMemoryLimit(int64(s.Memory))
	return agent.New(s, agent.Options{Log: log, Version: version})
}
