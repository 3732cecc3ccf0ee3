// Package peering connects an entry instance to wardspool's other processes
// over jsonrpc2: the entries of other instances, the agent beside it and
// operators' tools. Each has a listener and a list of those believed there.
package peering
