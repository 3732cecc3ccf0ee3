// Package peering connects an entry instance to wardspool's other processes over
// jsonrpc2: the entries of other instances, the agent on the same host and operators'
// tools. Each of the three has its own listener and list of accepted identities.
package peering
