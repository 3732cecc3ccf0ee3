// Package process contains the main function of wardspool's servers and command
// line tools: command line, settings, logs, signals and exit codes. A main package
// defines a Program, or Commands for a tool with subcommands.
package process

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"os"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kong"

	"github.com/wardspool/wardspool/logs"
	"github.com/wardspool/wardspool/settings"
)

// ExitCode is the exit code of a process.
type ExitCode int

// Exit codes that all programs share.
const (
	// ExitOK means that the program stopped normally or, with --check, that the
	// settings are valid.
	ExitOK ExitCode = 0
	// ExitFailed means that a listener or the service failed or, with --check, that
	// the settings are invalid.
	ExitFailed ExitCode = 1
	// ExitSettings means that the program didn't start because its settings are
	// invalid.
	ExitSettings ExitCode = 2
)

// Service is the server that a program runs.
type Service interface {
	// Listen opens the listening sockets.
	Listen() error
	// Serve serves until ctx is cancelled, then shuts down. The error states what
	// failed.
	Serve(ctx context.Context) error
}

// Program is a server program with settings of type S.
type Program[S any] struct {
	// Name and Description are shown at the top of the help text.
	Name, Description string
	// Version is printed by --version.
	Version string
	// LogOptions returns the log options from the settings.
	LogOptions func(*S) logs.Options
	// LogOutput receives the log. If it is nil, the log goes to standard error, and
	// writing may block the program. Writing to LogOutput never blocks: if it is too
	// slow, lines are dropped and counted.
	LogOutput io.Writer
	// New creates the service.
	New func(*S, *slog.Logger) (Service, error)
	// ExitCodeFor returns the exit code for an error of the service. If it is nil, the
	// exit code is ExitFailed.
	ExitCodeFor func(error) ExitCode
}

// commandLine defines the flags of a Program.
type commandLine struct {
	Settings string           `required:"" placeholder:"FILE" help:"Settings file, in YAML."`
	Check    bool             `help:"Check the settings, print what is wrong and exit."`
	Version  kong.VersionFlag `help:"Print the version and exit."`
}

// Main parses the command line, runs the program and exits the process.
func (p Program[S]) Main() {
	hangups := watchHangups()
	var c commandLine
	kong.Parse(&c,
		kong.Name(p.Name),
		kong.Description(p.Description),
		kong.Vars{"version": p.Version},
		kong.UsageOnError(),
	)
	if c.Check {
		os.Exit(int(p.check(c.Settings, os.Stdout)))
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	os.Exit(int(p.run(ctx, c.Settings, hangups, os.Stderr)))
}

// check validates a settings file and prints the result to out.
func (p Program[S]) check(file string, out io.Writer) ExitCode {
	if _, err := settings.Load[S](file); err != nil {
		fmt.Fprintln(out, err)
		return ExitFailed
	}
	fmt.Fprintln(out, file+": good")
	return ExitOK
}

// run serves until ctx is cancelled and reloads the settings on each value from hangups. Errors
// in the initial settings are printed to errOut, as is the log if p.LogOutput is nil.
func (p Program[S]) run(ctx context.Context, file string, hangups <-chan os.Signal, errOut io.Writer) ExitCode {
	data, s, err := settings.Read[S](file)
	if err != nil {
		fmt.Fprintln(errOut, err)
		return ExitSettings
	}
	logOutput := errOut
	if p.LogOutput != nil {
		writer := logs.NewNonBlockingWriter(p.LogOutput)
		defer writer.Close()
		logOutput = writer
	}
	log, err := logs.New(logOutput, p.LogOptions(s))
	if err != nil {
		fmt.Fprintln(errOut, err)
		return ExitSettings
	}
	source := settingsSource{file: file, last: data, hangups: hangups}
	if err := p.serve(ctx, source, s, log); err != nil {
		log.Error("stopped", "error", err)
		return p.exitCode(err)
	}
	return ExitOK
}

// serve creates and runs the service, and reloads its settings if it is a Reloader.
func (p Program[S]) serve(ctx context.Context, source settingsSource, s *S, log *slog.Logger) error {
	service, err := p.New(s, log)
	if err != nil {
		return err
	}
	if err := service.Listen(); err != nil {
		return err
	}
	if r, ok := service.(Reloader[S]); ok {
		ctx, stop := context.WithCancel(ctx)
		defer stop()
		go watchSettings(ctx, source, r, log)
	}
	return service.Serve(ctx)
}

// exitCode returns the exit code for an error of the service.
func (p Program[S]) exitCode(err error) ExitCode {
	if p.ExitCodeFor == nil {
		return ExitFailed
	}
	return p.ExitCodeFor(err)
}
