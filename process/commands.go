package process

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kong"
)

// Commands is a program made of subcommands, whose Run methods may take a
// context.Context that ends with SIGINT or SIGTERM.
type Commands struct {
	// Name and Description open the help text.
	Name, Description string
	// Version is printed by --version.
	Version string
}

// Main reads the command line into grammar, a pointer to kong's struct of
// subcommands, runs the one that was named with further values, and exits with 1 if
// it failed.
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
