// Package process is the start of the programs that serve: command line, settings,
// logs, signals and exit codes. A main package gives it a Program.
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

// ExitCode is what a program ends with.
type ExitCode int

// The exit codes that all programs share.
const (
	// ExitOK: stopped, or the settings are good.
	ExitOK ExitCode = 0
	// ExitFailed: a listener or the service failed; with --check, the settings are
	// at fault.
	ExitFailed ExitCode = 1
	// ExitSettings: the settings are at fault.
	ExitSettings ExitCode = 2
)

// Service is what a program runs.
type Service interface {
	// Listen opens the addresses.
	Listen() error
	// Serve runs until ctx ends and then stops; its error says what failed.
	Serve(ctx context.Context) error
}

// Program is a program with settings of type S.
type Program[S any] struct {
	// Name and Description open the help text.
	Name, Description string
	// Version is printed by --version.
	Version string
	// Log returns the options of the log.
	Log func(*S) logs.Options
	// Output takes the log; nil for standard error, on which it may block. A given
	// one never blocks the program: lines are dropped and counted instead.
	Output io.Writer
	// New makes the service.
	New func(*S, *slog.Logger) (Service, error)
	// Failed returns the exit code for an error of the service; nil for ExitFailed
	// always.
	Failed func(error) ExitCode
}

// commandLine is what all programs take.
type commandLine struct {
	Settings string           `required:"" placeholder:"FILE" help:"Settings file, in YAML."`
	Check    bool             `help:"Check the settings, print what is wrong and exit."`
	Version  kong.VersionFlag `help:"Print the version and exit."`
}

// Main reads the command line, runs the program and exits.
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

// check says on out what is wrong with a settings file.
func (p Program[S]) check(file string, out io.Writer) ExitCode {
	if _, err := settings.Load[S](file); err != nil {
		fmt.Fprintln(out, err)
		return ExitFailed
	}
	fmt.Fprintln(out, file+": good")
	return ExitOK
}

// run serves until ctx ends, and reads the settings again at each hangup; errs takes faults of
// the settings, and the log.
func (p Program[S]) run(ctx context.Context, file string, hangups <-chan os.Signal, errs io.Writer) ExitCode {
	data, s, err := settings.Read[S](file)
	if err != nil {
		fmt.Fprintln(errs, err)
		return ExitSettings
	}
	to := errs
	if p.Output != nil {
		bounded := logs.NewBounded(p.Output)
		defer bounded.Close()
		to = bounded
	}
	log, err := logs.New(to, p.Log(s))
	if err != nil {
		fmt.Fprintln(errs, err)
		return ExitSettings
	}
	watch := reloading{file: file, last: data, hangups: hangups}
	if err := p.serve(ctx, watch, s, log); err != nil {
		log.Error("stopped", "error", err)
		return p.exitCode(err)
	}
	return ExitOK
}

// serve makes and runs the service.
func (p Program[S]) serve(ctx context.Context, watch reloading, s *S, log *slog.Logger) error {
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
		go keepReloading(ctx, watch, r, log)
	}
	return service.Serve(ctx)
}

// exitCode returns the exit code for an error of the service.
func (p Program[S]) exitCode(err error) ExitCode {
	if p.Failed == nil {
		return ExitFailed
	}
	return p.Failed(err)
}
