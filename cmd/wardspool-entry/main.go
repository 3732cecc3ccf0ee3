// Command wardspool-entry is an entry instance: it takes callers' requests,
// decides where each goes and carries it there.
package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kong"

	"github.com/wardspool/wardspool/entry"
	"github.com/wardspool/wardspool/logs"
	_ "github.com/wardspool/wardspool/plugins/standard"
	"github.com/wardspool/wardspool/settings"
)

// version is set by the build.
var version = "devel"

// Exit codes.
const (
	exitOK       = 0
	exitFailed   = 1 // a listener or the service failed
	exitSettings = 2 // the settings are at fault
	exitCutOff   = 3 // the shutdown cut off requests in flight
)

// description opens the help text.
const description = `An entry instance of wardspool: it takes callers' requests over HTTP, chooses a
prefill and a decode engine or a plain service for each, and answers with the
whole answer or with a problem that says whether the request ran.

  wardspool-entry --settings entry.yaml --check    says what is wrong, and where
  wardspool-entry --settings entry.yaml            runs until SIGTERM or SIGINT
  curl http://127.0.0.1:8080/readyz                is it ready?

On SIGTERM it is not ready at once, refuses new requests after the settings'
stop.grace, finishes all in flight and exits.

Exit codes: 0 stopped with nothing cut off, or the settings are good (--check);
1 a listener or the service failed (--check: the settings are at fault);
2 the settings are at fault; 3 the shutdown timed out with requests in flight.

See docs/settings.md for the settings and docs/callers.md for the callers' API.`

// cli is the command line.
type cli struct {
	Settings string           `required:"" placeholder:"FILE" help:"Settings file, in YAML."`
	Check    bool             `help:"Check the settings, print what is wrong and exit."`
	Version  kong.VersionFlag `help:"Print the version and exit."`
}

func main() {
	var c cli
	kong.Parse(&c,
		kong.Name("wardspool-entry"),
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
	if _, err := settings.Load[entry.Settings](file); err != nil {
		fmt.Println(err)
		return exitFailed
	}
	fmt.Println(file + ": good")
	return exitOK
}

// run serves until a signal comes and returns the exit code.
func run(file string) int {
	s, err := settings.Load[entry.Settings](file)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitSettings
	}
	log, err := logs.New(os.Stderr, s.Log)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitSettings
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	e, err := entry.New(s, log)
	if err == nil {
		err = e.Listen()
	}
	if err == nil {
		err = e.Serve(ctx)
	}
	if err == nil {
		return exitOK
	}
	log.Error("stopped", "error", err)
	if cut := (*entry.StopError)(nil); errors.As(err, &cut) {
		return exitCutOff
	}
	return exitFailed
}
