package main

import (
	"context"
	"log/slog"
	"time"

	"github.com/wardspool/wardspool/config"
	"github.com/wardspool/wardspool/ident"
	"github.com/wardspool/wardspool/standin/engine"
	"github.com/wardspool/wardspool/standin/perf"
)

// engineCmd is the subcommand "engine".
type engineCmd struct {
	Listen  string   `required:"" placeholder:"IP:PORT" help:"Address to serve on."`
	ID      string   `required:"" name:"id" help:"Upstream ID."`
	Role    string   `enum:"prefill,decode" default:"decode" help:"Role at start: prefill or decode."`
	Models  []string `name:"model" required:"" help:"Model loaded at start; may be repeated."`
	Adapter []string `help:"Adapter loaded at start; may be repeated."`
	Weights string   `default:"v1" help:"Version of the models loaded at start."`

	Perf perfFlags `embed:"" group:"Performance model"`

	QueueLimit    int           `default:"64" help:"Prefills that may wait; more are refused."`
	LoadLag       time.Duration `default:"500ms" help:"Age of the report at GET /load."`
	CacheDelay    time.Duration `default:"500ms" help:"How late cache events are published."`
	CacheLoss     float64       `default:"0" help:"Share of cache event batches never published, 0 to 1."`
	Seed          uint64        `default:"1" help:"Seed of the choice of lost batches."`
	LoadTime      time.Duration `default:"2s" help:"Time to carry out an order."`
	ChecksFencing bool          `help:"Refuse orders with an old fencing number."`
	Retention     time.Duration `default:"30s" help:"How long a finished stream can be resumed."`
	JudgeCap      int           `default:"200000" help:"Correlation IDs that the judge keeps records of."`
}

// perfFlags holds the flags that set the parameters of the performance model.
type perfFlags struct {
	Slots                  int           `default:"20" help:"Requests that a decode engine holds at once."`
	Pieces                 int           `default:"200" help:"KV memory, in pieces."`
	PieceTokens            int           `default:"2000" help:"Size of a piece, in tokens."`
	PrefillTokensPerSecond float64       `default:"10000" help:"Rate of prefill."`
	PrefillChunk           int           `default:"500" help:"Most prompt tokens computed in one step."`
	KVBytesPerToken        int64         `name:"kv-bytes-per-token" default:"131072" help:"Size of one token's KV cache."`
	LinkBytesPerSecond     float64       `default:"5e9" help:"Rate of the outgoing KV link, shared by its transfers."`
	DecodeStep             time.Duration `default:"25ms" help:"Time per token with one request in the batch."`
	DecodeStepPerRequest   time.Duration `default:"500us" help:"Time added by each further request."`
	KVLifetime             time.Duration `name:"kv-lifetime" default:"900ms" help:"How long a prefill result is kept."`
	CachePieces            int           `default:"100" help:"Capacity of the prefix cache, in pieces."`
}

// Help returns the text that "engine --help" adds.
func (engineCmd) Help() string {
	return `A prefill engine computes prompts and keeps each result for --kv-lifetime; a
decode engine pulls the result over the prefill engine's link and streams the
answer, one token a step. The answer is a function of the prompt, so a caller
can check that it got the whole of its own.

Failures are set by PUT /control/faults, for example
  curl -X PUT -d '{"stall_transfers":true}' http://127.0.0.1:7101/control/faults
and POST /control/crash plays a killed process whose judge survives.`
}

// Run serves the engine's HTTP API until ctx is done.
func (c *engineCmd) Run(ctx context.Context, log *slog.Logger) error {
	if err := c.Perf.params().Validate(); err != nil {
		return err
	}
	l, err := listen(c.Listen)
	if err != nil {
		return err
	}
	e := engine.New(engine.Config{
		ID:            ident.UpstreamID(c.ID),
		Role:          config.Role(c.Role),
		Models:        c.Models,
		Adapters:      c.Adapter,
		Version:       c.Weights,
		Address:       l.Addr().String(),
		Perf:          c.Perf.params(),
		QueueLimit:    c.QueueLimit,
		LoadLag:       c.LoadLag,
		CacheDelay:    c.CacheDelay,
		CacheLoss:     c.CacheLoss,
		Seed:          c.Seed,
		LoadWeights:   c.LoadTime,
		ChecksFencing: c.ChecksFencing,
		Retention:     c.Retention,
		JudgeCap:      c.JudgeCap,
	})
	defer e.Close()
	return serve(ctx, log.With("standin", "engine", "id", c.ID), l, e.Handler())
}

// params converts the flags to the parameters of the performance model.
func (f perfFlags) params() perf.Params {
	return perf.Params{
		Slots:                  f.Slots,
		Pieces:                 f.Pieces,
		PieceTokens:            f.PieceTokens,
		PrefillTokensPerSecond: f.PrefillTokensPerSecond,
		PrefillChunk:           f.PrefillChunk,
		KVBytesPerToken:        f.KVBytesPerToken,
		LinkBytesPerSecond:     f.LinkBytesPerSecond,
		DecodeStep:             f.DecodeStep,
		DecodeStepPerRequest:   f.DecodeStepPerRequest,
		KVLifetime:             f.KVLifetime,
		CachePieces:            f.CachePieces,
	}
}
