package main

import (
	"context"
	"log/slog"
	"time"

	"github.com/wardspool/wardspool/ident"
	"github.com/wardspool/wardspool/standin/service"
)

// serviceCmd is the subcommand "service".
type serviceCmd struct {
	Listen        string        `required:"" placeholder:"IP:PORT" help:"Address to serve on."`
	ID            string        `required:"" name:"id" help:"Upstream ID."`
	Service       string        `required:"" help:"Name of the service."`
	Delay         time.Duration `default:"20ms" help:"How long a call runs."`
	Concurrency   int           `default:"0" help:"Calls that may run at once; 0 is no limit."`
	Deduplicates  bool          `help:"Run each idempotency key once."`
	ChecksFencing bool          `help:"Refuse a fencing token lower than one seen before."`
	Seed          uint64        `default:"1" help:"Seed of the choice of failing calls."`
	JudgeCap      int           `default:"200000" help:"Correlation IDs, and keys, that the judge keeps."`
}

// Help returns the text that "service --help" adds.
func (serviceCmd) Help() string {
	return `Takes any method and path but /judge, /control/ and /healthz. A run goes on if
its caller leaves, and is counted when it begins. Failures are set by
PUT /control/faults, for example
  curl -X PUT -d '{"die_after_run":true}' http://127.0.0.1:7301/control/faults`
}

// Run serves the service's HTTP API until ctx is done.
func (c *serviceCmd) Run(ctx context.Context, log *slog.Logger) error {
	l, err := listen(c.Listen)
	if err != nil {
		return err
	}
	s := service.New(service.Config{
		ID:            ident.UpstreamID(c.ID),
		Service:       c.Service,
		Delay:         c.Delay,
		Concurrency:   c.Concurrency,
		Deduplicates:  c.Deduplicates,
		ChecksFencing: c.ChecksFencing,
		Seed:          c.Seed,
		JudgeCap:      c.JudgeCap,
	})
	defer s.Close()
	return serve(ctx, log.With("standin", "service", "id", c.ID), l, s.Handler())
}
