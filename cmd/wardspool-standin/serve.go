package main

import (
	"context"
	"errors"
	"log/slog"
	"net"
	"net/http"
	"time"

	"github.com/samber/oops"

	"github.com/wardspool/wardspool/internal/connlimit"
)

// Timeouts of the HTTP server.
const (
	// headerTimeout limits the time to read a request's headers.
	headerTimeout = 10 * time.Second
	// idleTimeout is how long an idle connection is kept open.
	idleTimeout = time.Minute
	// shutdownTimeout is how long requests in flight may still run at shutdown.
	shutdownTimeout = time.Second
)

// Limits of the HTTP server.
const (
	maxHeaderBytes = 64 << 10
	maxConnections = 8192
	// connectionBytes bounds the memory of connections and of the heads of their requests.
	connectionBytes = 256 << 20
)

// listen opens the TCP listener of a stand-in.
func listen(address string) (net.Listener, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, oops.With("address", address).Wrapf(err, "listening")
	}
	return l, nil
}

// serve serves HTTP on l until ctx is done. Requests that are still in flight
// after shutdownTimeout are aborted.
func serve(ctx context.Context, log *slog.Logger, l net.Listener, h http.Handler) error {
	server := &http.Server{Handler: h, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes}
	guard := connlimit.NewGuard(connlimit.Limits{Connections: maxConnections, MemoryBytes: connectionBytes}, func(string) {})
	guard.Configure(server)
	log.Info("listening", "address", l.Addr().String())
	failed := make(chan error, 1)
	go func() { failed <- server.Serve(guard.Listener(l)) }()
	select {
	case err := <-failed:
		return oops.Wrapf(err, "serving HTTP")
	case <-ctx.Done():
	}
	log.Info("stopping")
	shutdownCtx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
	defer cancel()
	err := server.Shutdown(shutdownCtx)
	if errors.Is(err, context.DeadlineExceeded) {
		return server.Close()
	}
	return err
}
