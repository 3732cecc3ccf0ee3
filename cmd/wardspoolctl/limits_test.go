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

	"github.com/wardspool/wardspool/gateway/limit"
	"github.com/wardspool/wardspool/gateway/routing"
)

// serveLimits starts a server that returns the given limits and returns its address.
func serveLimits(t *testing.T, statuses ...limit.Status) string {
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		assert.Check(t, r.URL.Path == "/limits")
		assert.Check(t, json.NewEncoder(w).Encode(statuses))
	}))
	t.Cleanup(s.Close)
	return strings.TrimPrefix(s.URL, "http://")
}

// TestLimitsOfAFleet checks that use is summed over all instances and levels over those that hold
// the account, and that the workspace with most refusals comes first.
func TestLimitsOfAFleet(t *testing.T) {
	a := limit.Status{Workspace: "a", Rate: 100, Burst: 50, Unit: routing.Tokens, Use: limit.Use{Granted: 10, Refused: 1}, Owns: true, Level: 20}
	b := limit.Status{Workspace: "b", Rate: 7, Unit: routing.Requests, Use: limit.Use{Granted: 3, Refused: 9, Returned: 2}}
	more := a
	more.Owns, more.Level = false, 99
	c := limitsCmd{instanceFlags{Instances: []string{serveLimits(t, a, b), serveLimits(t, more, b), serveLimits(t, a)}, Timeout: time.Minute}}
	got := c.collect(t.Context())
	got.Unreachable = []string{"x: gone"}
	var text bytes.Buffer
	assert.NilError(t, got.Write(&text))
	want := "WORKSPACE  UNIT      RATE/S  BURST  LEFT  ACCOUNTS  GRANTED  REFUSED  RETURNED\n" +
		"b          requests  7       0      0     0         6        18       4\n" +
		"a          tokens    100     50     40    2         30       3        0\n" +
		"no answer: x: gone\n"
	assert.Equal(t, text.String(), want)
}

// TestLimitsNameWhoDidNotAnswer checks that the exit code indicates that an instance did not
// respond.
func TestLimitsNameWhoDidNotAnswer(t *testing.T) {
	s := httptest.NewServer(http.NotFoundHandler())
	defer s.Close()
	c := limitsCmd{instanceFlags{Instances: []string{strings.TrimPrefix(s.URL, "http://")}, Timeout: time.Minute, JSON: true}}
	var exit *exitCodeError
	assert.Assert(t, errors.As(c.Run(t.Context()), &exit))
	assert.Equal(t, exit.Code, exitUnreachable)
}
