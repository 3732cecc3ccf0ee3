package main

import (
	"bytes"
	"encoding/json"
	"errors"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/wardspool/wardspool/gateway/quarantine"
	"github.com/wardspool/wardspool/ident"
)

// serveQuarantine starts a server that returns the given contents and returns its address.
func serveQuarantine(t *testing.T, contents ...quarantine.ContentStatus) string {
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		assert.Check(t, r.URL.Path == "/quarantine")
		assert.Check(t, json.NewEncoder(w).Encode(contents))
	}))
	t.Cleanup(s.Close)
	return strings.TrimPrefix(s.URL, "http://")
}

// TestQuarantineOfAFleet checks that a content or part is listed once, with the status of the instance that
// counted most crashes.
func TestQuarantineOfAFleet(t *testing.T) {
	known := quarantine.ContentStatus{Content: "ab", Standing: "quarantined", Crashes: 2, Early: 2, RemainingSeconds: 90, Upstreams: []ident.UpstreamID{"i-1", "i-2"}}
	less := quarantine.ContentStatus{Content: "ab", Standing: "suspect", Crashes: 1, Early: 1, Upstreams: []ident.UpstreamID{"i-1"}}
	part := quarantine.ContentStatus{Content: "cd", Part: true, Standing: "quarantined", Crashes: 3, Early: 3, RemainingSeconds: 600, Upstreams: []ident.UpstreamID{"i-3"}}
	c := quarantineCmd{instanceFlags{Instances: []string{serveQuarantine(t, less), serveQuarantine(t, known, part), serveQuarantine(t)}, Timeout: time.Minute}}
	a := &quarantineReport{Asked: 3, Contents: []quarantinedContent{{ContentStatus: part, KnownBy: 1}, {ContentStatus: known, KnownBy: 2}}, Unreachable: []string{"x: gone"}}
	got := c.collect(t.Context())
	assert.DeepEqual(t, got.Contents, a.Contents)
	var text bytes.Buffer
	assert.NilError(t, a.Write(&text))
	want := "KIND     HASH  STANDING     CRASHES  EARLY  LEFT   KNOWN BY  UPSTREAMS\n" +
		"part     cd    quarantined  3        3      10m0s  1 of 3    i-3\n" +
		"content  ab    quarantined  2        2      1m30s  2 of 3    i-1 i-2\n" +
		"no answer: x: gone\n"
	assert.Equal(t, text.String(), want)
}

// TestQuarantineNamesWhoDidNotAnswer checks that an instance that did not respond is listed with
// the reason and sets the exit code.
func TestQuarantineNamesWhoDidNotAnswer(t *testing.T) {
	s := httptest.NewServer(http.NotFoundHandler())
	defer s.Close()
	c := quarantineCmd{instanceFlags{Instances: []string{strings.TrimPrefix(s.URL, "http://")}, Timeout: time.Minute, JSON: true}}
	got := c.collect(t.Context())
	assert.Equal(t, len(got.Unreachable), 1)
	assert.Assert(t, strings.Contains(got.Unreachable[0], "status 404"))
	var exit *exitCodeError
	assert.Assert(t, errors.As(c.Run(t.Context()), &exit))
	assert.Equal(t, exit.Code, exitUnreachable)
}
