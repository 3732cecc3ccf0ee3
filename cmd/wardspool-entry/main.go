// Command wardspool-entry is an entry instance: it accepts callers' requests,
// chooses upstreams for each and forwards it to them.
package main

import (
	"errors"
	"log/slog"

	"github.com/wardspool/wardspool/entry"
	"github.com/wardspool/wardspool/logs"
	_ "github.com/wardspool/wardspool/plugins/standard"
	"github.com/wardspool/wardspool/process"
)

// version is set at build time.
var version = "devel"

// exitRequestsAborted is the exit code of a shutdown that aborted requests in
// flight.
const exitRequestsAborted process.ExitCode = 3

// description is the first part of the help text.
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

func main() {
	process.Program[entry.Settings]{
		Name: "wardspool-entry", Description: description, Version: version,
		LogOptions:  func(s *entry.Settings) logs.Options { return s.Log },
		New:         func(s *entry.Settings, log *slog.Logger) (process.Service, error) { return entry.New(s, log) },
		ExitCodeFor: exitCode,
	}.Main()
}

// exitCode returns the exit code for an error of the service:
// exitRequestsAborted if the shutdown aborted requests.
func exitCode(err error) process.ExitCode {
	if stopErr := (*entry.StopError)(nil); errors.As(err, &stopErr) {
		return exitRequestsAborted
	}
	return process.ExitFailed
}
