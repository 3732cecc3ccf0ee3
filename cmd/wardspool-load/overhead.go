package main

import (
	"context"
	"os"
	"path/filepath"
	"strconv"
	"time"

	"github.com/samber/oops"

	"github.com/wardspool/wardspool/ident"
	"github.com/wardspool/wardspool/load/overhead"
)

// overheadCmd is the subcommand "overhead". It compares requests through an entry
// instance with direct calls of the engines.
type overheadCmd struct {
	Target    string        `help:"Address of the entry instance." required:"" placeholder:"IP:PORT"`
	Prefill   string        `help:"Address of the instance's only prefill engine for the model." required:"" placeholder:"IP:PORT"`
	Decode    []string      `help:"Addresses of the instance's decode engines for the model: all of them." required:"" placeholder:"IP:PORT"`
	Model     string        `help:"Model." required:""`
	Workspace string        `help:"Workspace." default:"default"`
	Kind      string        `help:"Kind of request." required:""`
	Prompt    int           `help:"Prompt length in tokens." default:"100"`
	Output    int           `help:"Mean output length in tokens; lengths go from half to one and a half of it." default:"50"`
	Streams   int           `help:"Completions in flight at any time through the entry." default:"1000"`
	Direct    int           `help:"Completions in flight at any time directly at the engines." default:"100"`
	Warmup    time.Duration `help:"Time before the measured one." default:"5s"`
	Duration  time.Duration `help:"Measured time." default:"30s"`
	Seed      uint64        `help:"Seed of the mix." default:"1"`
	Out       string        `help:"Directory of the CSV." default:"out"`
}

// Run implements the subcommand.
func (c *overheadCmd) Run(ctx context.Context) error {
	r := overhead.Run(ctx, overhead.Options{
		Target: c.Target, Prefill: c.Prefill, Decode: c.Decode,
		Model: c.Model, Workspace: ident.Workspace(c.Workspace), Kind: c.Kind, MaxPause: overhead.DefaultMaxPause,
		PromptTokens: c.Prompt, OutputTokens: c.Output, Streams: c.Streams, Direct: c.Direct,
		Warmup: c.Warmup, Duration: c.Duration, Seed: c.Seed,
		RunID: "overhead-" + strconv.FormatInt(time.Now().UnixMilli(), 36),
	})
	table, err := r.Table()
	if err != nil {
		return oops.In("overhead").Wrap(err)
	}
	if err := table.WriteText(os.Stdout); err != nil {
		return oops.In("overhead").Wrap(err)
	}
	if err := table.SaveCSV(filepath.Join(c.Out, "overhead.csv")); err != nil {
		return oops.In("overhead").Wrap(err)
	}
	return r.Err()
}
