// Command wardspoolctl is the operators' tool: it makes, checks, signs and packs
// bundles and rolls on an operator's machine, and asks running instances what
// they do. It writes nothing to the platform; operators publish what it packs
// with the platform's own tools.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kong"
)

// program is the command line. Each group of commands has a file of its own.
type program struct {
	documentCommands
	instanceCommands
	Version kong.VersionFlag `help:"Print the version and exit."`
}

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	code := run(ctx, os.Args[1:], streams{In: os.Stdin, Out: os.Stdout, Err: os.Stderr})
	stop()
	os.Exit(code)
}
