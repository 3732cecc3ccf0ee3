// Package tlsconf loads TLS keys and certificates from files and reloads them
// without a restart when the files change. If new files are invalid, the current
// certificates stay in use and the error names the file.
//
// A Reloader provides the TLS configuration for connections between instances (it
// implements peer.TLS) and for callers' HTTPS.
package tlsconf
