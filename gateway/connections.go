package gateway

import (
	"net"
	"net/http"
	"syscall"

	"github.com/wardspool/wardspool/internal/connlimit"
	"github.com/wardspool/wardspool/peer"
)

// maxOwnHeaderBytes bounds the headers at the listeners for relayed requests, readiness checks and metrics, whose clients
// are instances and the platform.
const maxOwnHeaderBytes = 8 << 10

// defaultFiles is the assumed number of descriptors if the operating system does not tell its limit.
const defaultFiles = 1024

// listenerShare is the share of the process that the connections of a listener may take. What is left of the descriptors
// is for connections to upstreams, peers and the store, and for files.
type listenerShare struct{ files, memory float64 }

var (
	callerShare = listenerShare{files: 0.4, memory: 0.25}
	relayShare  = listenerShare{files: 0.1, memory: 0.08}
	// ownShare is that of the listeners for readiness checks and for metrics.
	ownShare = listenerShare{files: 0.02, memory: 0.02}
)

// peerFilesShare is the share of the descriptors for connections that peers open.
const peerFilesShare = 0.25

// peerConnections returns the maximum number of connections that peers may have open.
func (s *Settings) peerConnections() int {
	return min(peer.DefaultConnections, int(peerFilesShare*float64(s.files())))
}

// files returns the number of descriptors that the process may have open.
func (s *Settings) files() int {
	if s.MaxFiles > 0 {
		return s.MaxFiles
	}
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil || limit.Cur == 0 {
		return defaultFiles
	}
	return int(min(limit.Cur, 1<<20))
}

// guard returns the guard of a listener with the given share.
func (g *Service) guard(share listenerShare) *connlimit.Guard {
	return connlimit.NewGuard(connlimit.Limits{
		Connections: int(share.files * float64(g.settings.files())),
		MemoryBytes: int64(share.memory * float64(g.settings.MemoryMB<<20)),
	}, g.metrics.count)
}

// serveGuarded runs an HTTP server until it is closed, with at most the given share of the process. what names the server in
// logs.
func (g *Service) serveGuarded(s *http.Server, l net.Listener, share listenerShare, what string) {
	guard := g.guard(share)
	guard.Configure(s)
	g.serve(s, guard.Listener(l), what)
}
