// Package e2e shows what wardspool promises with separate processes under
// failures: instances killed, frozen and cut off, engines that crash, transfers
// that stall, callers that leave, and a platform that is down, stale or
// flapping. The stand-ins' own counts decide what really ran and what is still
// held; no counter of the router's is asked. docs/proofs.md lists which test
// shows which promise.
package e2e
