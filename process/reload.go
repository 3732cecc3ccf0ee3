package process

import (
	"bytes"
	"context"
	"log/slog"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/wardspool/wardspool/settings"
)

// reloadInterval is the time between two looks at the settings file, which may
// change without a signal.
const reloadInterval = time.Second

// Reloader is a Service that takes in changed settings while it runs.
type Reloader[S any] interface{ Reload(s *S) }

// watchHangups returns the SIGHUPs from now on. It must come first: until then, and for programs
// that don't watch at all, the signal ends the process, and with it all answers under way.
func watchHangups() <-chan os.Signal {
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	return hangups
}

// reloading is what is watched for changed settings.
type reloading struct {
	file string
	// last is the content that is in force.
	last    []byte
	hangups <-chan os.Signal
}

// keepReloading reads the settings file again on SIGHUP and when it changes, until ctx ends.
func keepReloading[S any](ctx context.Context, watch reloading, r Reloader[S], log *slog.Logger) {
	ticker := time.NewTicker(reloadInterval)
	defer ticker.Stop()
	last := watch.last
	for {
		signalled := false
		select {
		case <-ctx.Done():
			return
		case <-watch.hangups:
			signalled = true
		case <-ticker.C:
		}
		last = reload(watch.file, last, signalled, r, log)
	}
}

// reload reads the file, has changed settings taken in, and returns its content.
func reload[S any](file string, last []byte, signalled bool, r Reloader[S], log *slog.Logger) []byte {
	data, err := os.ReadFile(file)
	if err != nil {
		log.Warn("settings not read", "file", file, "error", err)
		return last
	}
	if bytes.Equal(data, last) {
		if signalled {
			log.Info("settings unchanged", "file", file)
		}
		return last
	}
	s, err := settings.Parse[S](file, data)
	if err != nil {
		log.Error("settings at fault, those in force stay", "file", file, "error", err)
		return data
	}
	r.Reload(s)
	return data
}
