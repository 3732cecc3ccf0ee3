package main

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"time"

	"github.com/samber/oops"

	"github.com/wardspool/wardspool/ident"
	"github.com/wardspool/wardspool/load/overhead"
)

// overheadCmd compares wardspool with direct calls.
type overheadCmd struct {
	Target    string        `help:"Address of the entry instance." required:"" placeholder:"IP:PORT"`
	Prefill   string        `help:"Address of the instance's only prefill engine for the model." required:"" placeholder:"IP:PORT"`
	Decode    string        `help:"Address of the instance's only decode engine for the model." required:"" placeholder:"IP:PORT"`
	Model     string        `help:"Model." required:""`
	Workspace string        `help:"Workspace." default:"default"`
	Kind      string        `help:"Kind of request." required:""`
	Prompt    int           `help:"Prompt length in tokens." default:"100"`
	Output    int           `help:"Output length in tokens." default:"50"`
	Streams   int           `help:"Completions in flight at any time." default:"1000"`
	Warmup    time.Duration `help:"Time before the measured one." default:"5s"`
	Duration  time.Duration `help:"Measured time." default:"30s"`
	Seed      uint64        `help:"Seed of the mix." default:"1"`
	Out       string        `help:"Directory of the CSV." default:"out"`
}

// OverheadFailedError reports completions that failed, so that the figures are
// not to be trusted.
type OverheadFailedError struct {
	Failed int
	First  error
}

// Error implements error.
func (e *OverheadFailedError) Error() string {
	return fmt.Sprintf("%d completions failed; the first: %v", e.Failed, e.First)
}

// Unwrap returns the first failure.
func (e *OverheadFailedError) Unwrap() error { return e.First }

// Run implements the subcommand.
func (c *overheadCmd) Run(ctx context.Context) error {
	r := overhead.Run(ctx, overhead.Options{
		Target: c.Target, Prefill: c.Prefill, Decode: c.Decode,
		Model: c.Model, Workspace: ident.Workspace(c.Workspace), Kind: c.Kind,
		PromptTokens: c.Prompt, OutputTokens: c.Output, Streams: c.Streams,
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
	for _, m := range []*overhead.Measure{r.Direct, r.Wardspool} {
		if m.Failed > 0 {
			return &OverheadFailedError{Failed: m.Failed, First: m.FirstError}
		}
	}
	return nil
}
