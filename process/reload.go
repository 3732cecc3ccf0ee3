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

// reloadInterval is how often the settings file is checked for changes that are not
// announced by SIGHUP.
const reloadInterval = time.Second

// Reloader is a Service that can apply changed settings while it runs.
type Reloader[S any] interface{ Reload(s *S) }

// watchHangups returns a channel that receives SIGHUP from now on. It must be called first in
// Main: before that, and in programs that never call it, SIGHUP terminates the process and aborts
// all answers in progress.
func watchHangups() <-chan os.Signal {
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	return hangups
}

// settingsSource holds the sources of settings changes: the settings file and SIGHUP.
type settingsSource struct {
	file string
	// last is the file content that the running service was started with.
	last    []byte
	hangups <-chan os.Signal
}

// watchSettings reloads the settings file on SIGHUP and when its content changes, until ctx is
// cancelled.
func watchSettings[S any](ctx context.Context, source settingsSource, r Reloader[S], log *slog.Logger) {
	ticker := time.NewTicker(reloadInterval)
	defer ticker.Stop()
	last := source.last
	for {
		signalled := false
		select {
		case <-ctx.Done():
			return
		case <-source.hangups:
			signalled = true
		case <-ticker.C:
		}
		last = reload(source.file, last, signalled, r, log)
	}
}

// reload reads the settings file and applies the settings if its content differs from last. It
// returns the content that was read, also if it is invalid, so that the same error is logged only
// once. If the file can't be read, it returns last.
func reload[S any](file string, last []byte, signalled bool, r Reloader[S], log *slog.Logger) []byte {
	data, err := os.ReadFile(file)
	if err != nil {
		log.Warn("settings file could not be read, keeping the current settings", "file", file, "error", err)
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
