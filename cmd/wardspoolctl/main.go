// Command wardspoolctl is the operators' command-line tool: it creates, checks,
// signs and packs bundles and rolls on an operator's machine, and queries the
// state of running instances. It writes nothing to the platform; operators publish
// the packed files with the platform's own tools.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kong"
)

// program defines the command line. Each group of commands has its own file.
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
