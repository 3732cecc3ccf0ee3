// Package program implements the wardspool-gateway command. A main package links the plug-ins of
// its deployments with blank imports.
package program

import (
	"log/slog"
	"os"
	"runtime/debug"
	"time"

	"github.com/wardspool/wardspool/gateway"
	"github.com/wardspool/wardspool/gateway/dialect"
	"github.com/wardspool/wardspool/logs"
	"github.com/wardspool/wardspool/process"
)

// description opens the help text.
const description = `The gateway of wardspool: it routes callers' requests by host and path to plain
services, and streams through separate prefill and decode engines. It reads
routes, services and upstreams from the deployment's store and never writes to it.

  wardspool-gateway --settings gateway.yaml --check    reports errors and where they are
  wardspool-gateway --settings gateway.yaml            runs until SIGTERM or SIGINT

The settings file is read again on SIGHUP and when it changes. On SIGTERM the
gateway reports that it is not ready, finishes requests in flight, and exits.

Exit codes: 0 stopped, or the settings are valid (--check); 1 a listener failed
(--check: the settings are invalid); 2 the settings are invalid.`

// dialTimeout bounds the opening of a connection to an upstream or the store. Links have a
// latency of a few ms, but a lost SYN packet is sent again only after a second.
const dialTimeout = 400 * time.Millisecond

// memoryShare is the fraction of the process's memory that is set as the soft memory limit. Above
// it the garbage collector runs more often.
const memoryShare = 0.7

// New returns the program with the given version.
func New(version string) process.Program[gateway.Settings] {
	return process.Program[gateway.Settings]{
		Name: "wardspool-gateway", Description: description, Version: version,
		LogOptions: func(s *gateway.Settings) logs.Options { return s.Log },
		LogOutput:  os.Stdout,
		New:        newService,
	}
}

// newService loads the deployment's plug-in and returns the gateway service. Errors are those of
// dialect.Load.
func newService(s *gateway.Settings, log *slog.Logger) (process.Service, error) {
	debug.SetMemoryLimit(int64(memoryShare * float64(s.MemoryMB<<20)))
	deployment, err := dialect.Load(s.Deployment)
	if err != nil {
		return nil, err
	}
	d, source := deployment.Open(dialect.Options{StoreAddress: s.Store.Address, DialTimeout: dialTimeout, Log: log})
	return gateway.New(s, d, source, log), nil
}
