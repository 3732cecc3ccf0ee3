// Package e2e tests wardspool's guarantees with separate processes under
// failures: instances that are killed, frozen or cut off by a network partition,
// engine crashes, stalled KV transfers, callers that disconnect, and a platform
// that is down, stale or flapping. What ran and what is still held is taken from
// the counts of the stand-ins, never from counters of the router. docs/proofs.md
// lists which test covers which guarantee.
package e2e
