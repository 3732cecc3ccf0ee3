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

// startReloading reads the settings file again on SIGHUP and when it changes, until
// the returned function is called. Settings at fault are logged, and those in
// force stay.
func startReloading[S any](ctx context.Context, file string, r Reloader[S], log *slog.Logger) (stop func()) {
	hangup := make(chan os.Signal, 1)
	signal.Notify(hangup, syscall.SIGHUP)
	ctx, cancel := context.WithCancel(ctx)
	go func() {
		last, err := os.ReadFile(file)
		if err != nil {
			log.Warn("settings not read", "file", file, "error", err)
		}
		ticker := time.NewTicker(reloadInterval)
		defer ticker.Stop()
		for {
			signalled := false
			select {
			case <-ctx.Done():
				return
			case <-hangup:
				signalled = true
			case <-ticker.C:
			}
			last = reload(file, last, signalled, r, log)
		}
	}()
	return func() {
		signal.Stop(hangup)
		cancel()
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
