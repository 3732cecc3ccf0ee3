// Package client makes single calls as a caller of wardspool does: completions
// streamed by server-sent events, plain service calls and tickets, over real
// HTTP. It checks each answer against what the stand-ins must have answered.
package client
