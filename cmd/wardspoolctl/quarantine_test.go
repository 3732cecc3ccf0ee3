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

// holding starts a server that returns the given contents and returns its address.
func holding(t *testing.T, held ...quarantine.ContentStatus) string {
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		assert.Check(t, r.URL.Path == "/quarantine")
		assert.Check(t, json.NewEncoder(w).Encode(held))
	}))
	t.Cleanup(s.Close)
	return strings.TrimPrefix(s.URL, "http://")
}

// TestQuarantineOfAFleet checks that a content is listed once, with the status of the instance that
// counted most crashes.
func TestQuarantineOfAFleet(t *testing.T) {
	known := quarantine.ContentStatus{Content: "ab", Standing: "quarantined", Crashes: 2, Early: 2, RemainingSeconds: 90, Upstreams: []ident.UpstreamID{"i-1", "i-2"}}
	less := quarantine.ContentStatus{Content: "ab", Standing: "suspect", Crashes: 1, Early: 1, Upstreams: []ident.UpstreamID{"i-1"}}
	c := quarantineCmd{instanceArgs{Instances: []string{holding(t, less), holding(t, known), holding(t)}, Timeout: time.Minute}}
	a := &heldAnswer{Asked: 3, Contents: []heldContent{{ContentStatus: known, KnownBy: 2}}, Unreached: []string{"x: gone"}}
	got := c.collect(t.Context())
	assert.DeepEqual(t, got.Contents, a.Contents)
	var text bytes.Buffer
	assert.NilError(t, a.Write(&text))
	want := "CONTENT  STANDING     CRASHES  EARLY  LEFT   KNOWN BY  UPSTREAMS\n" +
		"ab       quarantined  2        2      1m30s  2 of 3    i-1 i-2\n" +
		"no answer: x: gone\n"
	assert.Equal(t, text.String(), want)
}

// TestQuarantineNamesWhoDidNotAnswer checks that an instance that did not respond is listed with the
// reason and sets the exit code.
func TestQuarantineNamesWhoDidNotAnswer(t *testing.T) {
	s := httptest.NewServer(http.NotFoundHandler())
	defer s.Close()
	c := quarantineCmd{instanceArgs{Instances: []string{strings.TrimPrefix(s.URL, "http://")}, Timeout: time.Minute, JSON: true}}
	got := c.collect(t.Context())
	assert.Equal(t, len(got.Unreached), 1)
	assert.Assert(t, strings.Contains(got.Unreached[0], "status 404"))
	var exit *askExit
	assert.Assert(t, errors.As(c.Run(t.Context()), &exit))
	assert.Equal(t, exit.Code, exitUnreached)
}
