// Package peer carries calls between wardspool's own processes: JSON-RPC 2.0
// over TCP, optionally inside TLS, with a bounded frame codec.
//
// A Server answers calls by typed handlers registered with Handle. A Pool keeps
// one connection for each peer address; Call and Notify use it. The first
// message of a connection is a hello that names the caller; peers that the
// Allow function of the Config does not know are refused.
//
// Every error of Call is a *CallError. Its Delivery says whether the remote
// handler can have run, which is what lets a caller answer "not-run" honestly.
// docs/protocols/peer.md describes the wire format.
package peer
