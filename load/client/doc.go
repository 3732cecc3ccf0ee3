// Package client makes single calls as a caller of wardspool does: completions
// streamed as server-sent events, plain service calls and ticket requests, over
// HTTP. It checks each answer against the one that the stand-ins must give.
package client
