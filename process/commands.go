package process

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kong"
)

// Commands is a program with subcommands. Their Run methods may take a
// context.Context, which is cancelled on SIGINT or SIGTERM.
type Commands struct {
	// Name and Description are shown at the top of the help text.
	Name, Description string
	// Version is printed by --version.
	Version string
}

// Main parses the command line into grammar, a pointer to a kong struct of
// subcommands, and runs the selected subcommand. Values are passed to its Run
// method. If it fails, the process exits with code 1.
func (p Commands) Main(grammar any, values ...any) {
	parsed := kong.Parse(grammar,
		kong.Name(p.Name),
		kong.Description(p.Description),
		kong.Vars{"version": p.Version},
		kong.UsageOnError(),
	)
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	parsed.BindTo(ctx, (*context.Context)(nil))
	parsed.FatalIfErrorf(parsed.Run(values...))
}
