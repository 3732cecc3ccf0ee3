// Package peer implements remote procedure calls between wardspool processes:
// JSON-RPC 2.0 over TCP, optionally with TLS, in frames of bounded size.
//
// A Server dispatches calls to typed handlers registered with Handle. A Pool
// holds one connection per peer address, which Call and Notify use. The first
// message on a connection is a hello that identifies the caller; peers rejected
// by Config.Allow are refused.
//
// Every error returned by Call is a *CallError. Its Delivery says whether the
// remote handler may have run, so that "not-run" is reported only when it is
// certain. docs/protocols/peer.md describes the wire format.
package peer
