// Package target parses the targets of HTTP requests (RFC 9112, section 3.2) for a proxy that forwards
// them as they were sent.
package target

import (
	"fmt"
	"net/http"
	"strings"
)

// Target is the target of a request in origin form, path and query, with the bytes that the caller sent.
// Nothing is decoded, so that what is decided by a target is decided by what the upstream gets.
type Target string

// Path returns the path as the caller sent it.
func (t Target) Path() string {
	path, _, _ := strings.Cut(string(t), "?")
	return path
}

// Reason is why a target cannot be forwarded.
type Reason string

// The reasons.
const (
	ReasonAsterisk  Reason = "the target is an asterisk, which no route matches"
	ReasonNoPath    Reason = "the target has no path"
	ReasonForm      Reason = "the target is in neither origin form nor absolute form"
	ReasonScheme    Reason = "the scheme of the target is neither http nor https"
	ReasonAuthority Reason = "the authority of the target is empty, or not a host with an optional port"
	ReasonBytes     Reason = "the target has a blank or a control character"
)

// UnsupportedError reports a target that cannot be forwarded as it was sent.
type UnsupportedError struct {
	Target string
	Reason Reason
}

// maxQuoted bounds how much of a target is quoted in an error, in bytes.
const maxQuoted = 200

// Error implements error.
func (e *UnsupportedError) Error() string {
	return fmt.Sprintf("request target %.*q: %s", maxQuoted, e.Target, e.Reason)
}

// Read returns the target of a request that a server has read. The error is an *UnsupportedError.
func Read(r *http.Request) (Target, error) {
	t, authority, err := Parse(r.RequestURI)
	if err != nil {
		return "", err
	}
	// The server has decoded the authority.
	if authority != "" && authority != r.Host {
		return "", &UnsupportedError{r.RequestURI, ReasonAuthority}
	}
	return t, nil
}

// Parse parses a target. From absolute form it takes what follows the authority, unchanged, and also
// returns the authority, which is "" for origin form. The error is an *UnsupportedError.
func Parse(raw string) (t Target, authority string, err error) {
	reason := Reason("")
	path := raw
	switch {
	case strings.HasPrefix(raw, "/"):
	case raw == "*":
		reason = ReasonAsterisk
	case raw == "", raw[0] == '?':
		reason = ReasonNoPath
	default:
		authority, path, reason = splitAbsolute(raw)
	}
	if reason == "" && hasControl(path) {
		reason = ReasonBytes
	}
	if reason != "" {
		return "", "", &UnsupportedError{raw, reason}
	}
	return Target(path), authority, nil
}

// splitAbsolute splits a target in absolute form into its authority and what follows it.
func splitAbsolute(raw string) (authority, path string, reason Reason) {
	scheme, rest, ok := strings.Cut(raw, "://")
	if !ok || strings.ContainsAny(scheme, "/?#") {
		return "", "", ReasonForm
	}
	if scheme = strings.ToLower(scheme); scheme != "http" && scheme != "https" {
		return "", "", ReasonScheme
	}
	end := strings.IndexAny(rest, "/?#")
	if end < 0 {
		end = len(rest)
	}
	authority, path = rest[:end], rest[end:]
	switch {
	case !validAuthority(authority):
		return "", "", ReasonAuthority
	case !strings.HasPrefix(path, "/"):
		return "", "", ReasonNoPath
	}
	return authority, path, ""
}

// authorityPunctuation are the bytes besides letters and digits of a host, with or without a port, that
// servers accept in a Host header. Escapes are left out, because servers decode those of a target.
const authorityPunctuation = "!$&'()*+,-.:;=[]_~"

// validAuthority reports whether an authority is sent and compared as it is.
func validAuthority(authority string) bool {
	return authority != "" && !strings.ContainsFunc(authority, func(r rune) bool {
		return (r < 'a' || r > 'z') && (r < 'A' || r > 'Z') && (r < '0' || r > '9') && !strings.ContainsRune(authorityPunctuation, r)
	})
}

// hasControl reports whether a string has a blank or a control character, which would end the target in
// the request line.
func hasControl(s string) bool {
	for i := range len(s) {
		if s[i] <= ' ' || s[i] == 0x7f {
			return true
		}
	}
	return false
}
