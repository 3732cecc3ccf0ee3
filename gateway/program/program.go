// Package program makes the gateway's program; a main package picks the plug-ins of its
// deployments by blank imports.
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
services, and streams through separate prefill and decode engines. Routes,
services and upstreams come from the deployment's store, which is only read.

  wardspool-gateway --settings gateway.yaml --check    says what is wrong, and where
  wardspool-gateway --settings gateway.yaml            runs until SIGTERM or SIGINT

On SIGHUP, and when the settings file changes, it is read again. On SIGTERM the
gateway says that it is not ready, finishes what is in flight, and exits.

Exit codes: 0 stopped, or the settings are good (--check); 1 a listener failed
(--check: the settings are at fault); 2 the settings are at fault.`

// dialTimeout bounds the opening of a connection to an upstream or the store:
// links take a few ms, and a lost opening packet is sent again after a second.
const dialTimeout = 400 * time.Millisecond

// memoryShare is the share of the process's memory at which the collector begins
// to work harder.
const memoryShare = 0.7

// New returns the program of a version.
func New(version string) process.Program[gateway.Settings] {
	return process.Program[gateway.Settings]{
		Name: "wardspool-gateway", Description: description, Version: version,
		Log:    func(s *gateway.Settings) logs.Options { return s.Log },
		Output: os.Stdout,
		New:    newService,
	}
}

// newService makes the gateway.
func newService(s *gateway.Settings, log *slog.Logger) (process.Service, error) {
	debug.SetMemoryLimit(int64(memoryShare * float64(s.MemoryMB<<20)))
	deployment, err := dialect.Load(s.Deployment)
	if err != nil {
		return nil, err
	}
	d, source := deployment.Open(dialect.Options{StoreAddress: s.Store.Address, DialTimeout: dialTimeout, Log: log})
	return gateway.New(s, d, source, log), nil
}
