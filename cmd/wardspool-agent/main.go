// Command wardspool-agent is the process beside each entry instance: it watches
// the platform, relays bundles, keeps the membership and feeds the entry.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"syscall"

	"github.com/alecthomas/kong"

	"github.com/wardspool/wardspool/agent"
	"github.com/wardspool/wardspool/logs"
	"github.com/wardspool/wardspool/settings"
)

// version is set by the build.
var version = "devel"

// Exit codes.
const (
	exitOK       = 0
	exitFailed   = 1 // a listener failed
	exitSettings = 2 // the settings are at fault
)

// processors is how many threads run Go code at once. The agent needs a hundredth
// of one; more would only have the collector wake them all.
const processors = 2

// description opens the help text.
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

// cli is the command line.
type cli struct {
	Settings string           `required:"" placeholder:"FILE" help:"Settings file, in YAML."`
	Check    bool             `help:"Check the settings, print what is wrong and exit."`
	Version  kong.VersionFlag `help:"Print the version and exit."`
}

func main() {
	var c cli
	kong.Parse(&c,
		kong.Name("wardspool-agent"),
		kong.Description(description),
		kong.Vars{"version": version},
		kong.UsageOnError(),
	)
	if c.Check {
		os.Exit(check(c.Settings))
	}
	os.Exit(run(c.Settings))
}

// check validates a settings file and returns the exit code.
func check(file string) int {
	if _, err := settings.Load[agent.Settings](file); err != nil {
		fmt.Println(err)
		return exitFailed
	}
	fmt.Println(file + ": good")
	return exitOK
}

// run serves until a signal comes and returns the exit code.
func run(file string) int {
	s, err := settings.Load[agent.Settings](file)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitSettings
	}
	log, err := logs.New(os.Stderr, s.Log)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitSettings
	}
	runtime.GOMAXPROCS(processors)
	// The collector works harder near the limit; it is no hard bound.
	debug.SetMemoryLimit(int64(s.Memory))
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	a, err := agent.New(s, agent.Options{Log: log, Version: version})
	if err == nil {
		err = a.Listen()
	}
	if err == nil {
		err = a.Serve(ctx)
	}
	if err != nil {
		log.Error("stopped", "error", err)
		return exitFailed
	}
	return exitOK
}
