package main

import (
	"context"
	"fmt"
	"os"
	"time"

	"github.com/wardspool/wardspool/agent/console"
	"github.com/wardspool/wardspool/peer"
)

// fleetCmd is the subcommand "fleet".
type fleetCmd struct {
	Agents []string `required:"" placeholder:"IP:PORT" help:"Operators' addresses of the agents to ask (operators.listen in their settings), separated by commas."`
	operatorFlags
	Timeout time.Duration `default:"3s" help:"How long to wait for answers."`
	Watch   bool          `help:"Look again and again."`
	Every   time.Duration `default:"2s" help:"Time between two looks, with --watch."`
	JSON    bool          `name:"json" help:"Print one JSON object a look in place of tables."`
}

// Help returns the text that "fleet --help" adds.
func (fleetCmd) Help() string {
	return `Shows, for each agent asked: the bundle version in force on it and on its entry,
the newest roll it knows, alarms with the step to take, whom it sees and whom it
doubts, and what it costs.

  wardspoolctl fleet --agents 127.0.0.1:9401,127.0.0.1:9402
  wardspoolctl fleet --agents 127.0.0.1:9401 --watch
  wardspoolctl fleet --agents 127.0.0.1:9401 --json | jq .agents[0].bundle

Exit codes: 0; 1 if an alarm stands; 2 if an agent gave no answer at the last
look. docs/operators/agent.md explains the columns.`
}

// Exit codes of fleet.
const (
	exitAlarm     = 1
	exitNoAnswers = 2
)

// Run queries the agents once or, with --watch, until the user interrupts it.
func (c *fleetCmd) Run(ctx context.Context) error {
	pool, err := c.pool()
	if err != nil {
		return err
	}
	defer pool.Close()
	for {
		f, err := c.poll(ctx, pool)
		if err != nil {
			return err
		}
		if !c.Watch {
			return fleetExit(f)
		}
		select {
		case <-time.After(c.Every):
		case <-ctx.Done():
			return fleetExit(f)
		}
	}
}

// poll queries all agents once and prints the result.
func (c *fleetCmd) poll(ctx context.Context, pool *peer.Pool) (*console.Fleet, error) {
	ctx, cancel := context.WithTimeout(ctx, c.Timeout)
	defer cancel()
	f := console.QueryFleet(ctx, pool, c.Agents)
	if c.Watch && !c.JSON {
		fmt.Fprint(os.Stdout, clearScreen)
	}
	return f, printReport(f, c.JSON)
}

// fleetExit returns the error that sets the exit code for a result.
func fleetExit(f *console.Fleet) error {
	if len(f.Unreachable) > 0 {
		return &exitCodeError{Code: exitNoAnswers}
	}
	for _, s := range f.Agents {
		if len(s.Alarms) > 0 {
			return &exitCodeError{Code: exitAlarm}
		}
	}
	return nil
}
