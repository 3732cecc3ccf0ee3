package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"runtime/debug"

	"github.com/alecthomas/kong"
)

// Exit codes of all commands. Commands that query instances have additional ones,
// listed in their help.
const (
	// exitRefused means that an input was refused or could not be read.
	exitRefused = 1
	// exitUsage means that the command line is invalid.
	exitUsage = 2
)

// streams are the program's standard streams.
type streams struct {
	In       io.Reader
	Out, Err io.Writer
}

// description is the first part of the help text.
const description = `Make, check, sign, roll and pack wardspool's configuration bundles, and ask
running instances what they do.

A first bundle, from nothing to files to publish:

  wardspoolctl key new ada > ada.key
  wardspoolctl key approvers --quorum 1 ada.key > approvers.yaml
  wardspoolctl bundle lint bundle.yaml
  wardspoolctl bundle new --approvers approvers.yaml bundle.yaml draft
  wardspoolctl bundle sign --key ada.key draft
  wardspoolctl bundle pack --approvers approvers.yaml draft publish
  wardspoolctl roll new --target draft --stage all > roll.json
  wardspoolctl roll sign --key ada.key roll.json
  wardspoolctl roll pack --approvers approvers.yaml roll.json publish

Exit codes: 0 done, 1 findings or refused, 2 wrong usage; commands that ask
instances have their own. docs/operators/bundles.md is the long form.`

// parserExit is the value of the panic that ends the parser after --help or --version;
// kong expects its exit function not to return.
type parserExit struct{ code int }

// run parses the command line, runs the command and returns the exit code.
func run(ctx context.Context, args []string, s streams) (code int) {
	defer func() {
		if e, ok := recover().(parserExit); ok {
			code = e.code
		}
	}()
	var p program
	parser, err := kong.New(&p,
		kong.Name("wardspoolctl"),
		kong.Description(description),
		kong.Vars{"version": version()},
		kong.Writers(s.Out, s.Err),
		kong.Exit(func(code int) { panic(parserExit{code: code}) }),
		kong.ConfigureHelp(kong.HelpOptions{Compact: true, WrapUpperBound: 100}),
		kong.BindTo(ctx, (*context.Context)(nil)),
		kong.Bind(s),
	)
	if err != nil {
		panic(err)
	}
	command, err := parser.Parse(args)
	if err != nil {
		fmt.Fprintf(s.Err, "wardspoolctl: %v; see wardspoolctl --help\n", err)
		return exitUsage
	}
	return reportError(command.Run(), s)
}

// reportError prints a command's error and returns the exit code.
func reportError(err error, s streams) int {
	var silent *exitCodeError
	var coded kong.ExitCoder
	switch {
	case err == nil:
		return 0
	case errors.As(err, &silent):
		return silent.Code
	case errors.As(err, &coded):
		fmt.Fprintf(s.Err, "wardspoolctl: %v\n", err)
		return coded.ExitCode()
	}
	fmt.Fprintf(s.Err, "wardspoolctl: %v\n", err)
	return exitRefused
}

// version returns the module version in the build information.
func version() string {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return "unknown"
	}
	return info.Main.Version
}
