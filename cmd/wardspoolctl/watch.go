package main

import (
	"context"
	"fmt"
	"os"
	"time"

	"github.com/wardspool/wardspool/entry/console"
)

// watchCmd is the subcommand "watch".
type watchCmd struct {
	queryFlags
	Every time.Duration `default:"2s" help:"Time between two looks."`
	Count int           `default:"0" help:"Looks to take; 0 is without end."`
	JSON  bool          `name:"json" help:"Print one JSON object a look in place of a table."`
}

// Help returns the text that "watch --help" adds.
func (watchCmd) Help() string {
	return `Shows what each bundle version does on the instances asked, live: goodput (whole
answers within the kind's targets for first output and pace), wasted prefill,
and what was given up, by reason.

  wardspoolctl watch --instances 127.0.0.1:9301,127.0.0.1:9302
  wardspoolctl watch --instances 127.0.0.1:9301 --count 1 --json

Counts begin with the life of each instance; those of instances replaced while
you watch are kept. Exit codes: 0, or 2 if an instance gave no answer at the
last look.`
}

// clearScreen is the escape sequence that moves the cursor to the top left corner
// and clears the terminal.
const clearScreen = "\x1b[H\x1b[2J"

// Run queries the instances until the count is reached or the user interrupts it.
func (c *watchCmd) Run(ctx context.Context) error {
	pool, err := c.pool()
	if err != nil {
		return err
	}
	defer pool.Close()
	w := console.NewWatcher(pool, c.Instances)
	for n := 1; ; n++ {
		s, err := c.poll(ctx, w)
		if err != nil {
			return err
		}
		if n == c.Count || ctx.Err() != nil {
			return watchExit(s)
		}
		select {
		case <-time.After(c.Every):
		case <-ctx.Done():
			return nil
		}
	}
}

// poll queries all instances once and prints the result.
func (c *watchCmd) poll(ctx context.Context, w *console.Watcher) (console.Snapshot, error) {
	ctx, cancel := context.WithTimeout(ctx, c.Timeout)
	defer cancel()
	s := w.Query(ctx, time.Now())
	if !c.JSON && c.Count != 1 {
		fmt.Fprint(os.Stdout, clearScreen)
	}
	return s, printReport(&s, c.JSON)
}

// watchExit returns the error that sets the exit code if an instance did not
// respond.
func watchExit(s console.Snapshot) error {
	if len(s.Unreachable) > 0 {
		return &exitCodeError{Code: exitUnreachable}
	}
	return nil
}
