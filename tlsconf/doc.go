// Package tlsconf reads the TLS keys and certificates that operators provide as
// files and reads them again when they change, without a restart. When new files
// are broken the ones in force stay, and the error names the file.
//
// A Reloader gives the settings for connections between the system's processes
// (it implements peer.TLS) and for callers' HTTPS.
package tlsconf
