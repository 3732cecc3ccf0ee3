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

	"github.com/wardspool/wardspool/gateway/admission"
)

// serveQueues starts a server that returns the given queues and returns its address.
func serveQueues(t *testing.T, statuses ...admission.Status) string {
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		assert.Check(t, r.URL.Path == "/queues")
		assert.Check(t, json.NewEncoder(w).Encode(statuses))
	}))
	t.Cleanup(s.Close)
	return strings.TrimPrefix(s.URL, "http://")
}

// TestQueuesOfAFleet checks that own queues and promised returns are summed over all instances,
// that of the sums of others the largest recent one counts, and that instances without recent sums
// are counted and do not change the request rate.
func TestQueuesOfAFleet(t *testing.T) {
	first := admission.Status{
		Service: "llm", Own: admission.Queue{Waiting: []int{2, 0, 5}, Returns: [][]int{nil, {1, 0, 2}}},
		Peers: admission.Queue{Waiting: []int{3}}, AgeMS: 450, RequestRate: 80, CorrectionMS: 30,
	}
	second := admission.Status{
		Service: "llm", Own: admission.Queue{Waiting: []int{1}, Returns: [][]int{nil, {0, 4}}},
		Peers: admission.Queue{Waiting: []int{2, 0, 5}}, AgeMS: 300, RequestRate: 60, CorrectionMS: -60,
	}
	cutOff := admission.Status{Service: "llm", Peers: admission.Queue{Waiting: []int{90}}, AgeMS: 60_000, Alone: true, RequestRate: 1}
	calm := admission.Status{Service: "calm", AgeMS: 300, RequestRate: 4}
	started := admission.Status{Service: "new", Own: admission.Queue{Waiting: []int{1}}, Alone: true, RequestRate: 2}
	c := queuesCmd{instanceFlags{Instances: []string{serveQueues(t, first, calm), serveQueues(t, second), serveQueues(t, cutOff, started)}, Timeout: time.Minute}}
	got := c.collect(t.Context())
	got.Unreachable = []string{"x: gone"}
	var text bytes.Buffer
	assert.NilError(t, got.Write(&text))
	want := "SERVICE  PRIORITY  WAITING  OTHERS  AGE    RETURNING  REQUESTS/S  CORRECTION  ALONE\n" +
		"calm     -         0        0       -      0          4.0         0s          0 of 1\n" +
		"llm      0         3        3       450ms  0          70.0        -10ms       1 of 3\n" +
		"llm      1         0        0       -      7          70.0        -10ms       1 of 3\n" +
		"llm      2         5        5       300ms  0          70.0        -10ms       1 of 3\n" +
		"new      0         1        0       -      0          2.0         0s          1 of 1\n" +
		"no answer: x: gone\n"
	assert.Equal(t, text.String(), want)
}

// TestQueuesNameWhoDidNotAnswer checks that the exit code indicates that an instance did not
// respond.
func TestQueuesNameWhoDidNotAnswer(t *testing.T) {
	s := httptest.NewServer(http.NotFoundHandler())
	defer s.Close()
	c := queuesCmd{instanceFlags{Instances: []string{strings.TrimPrefix(s.URL, "http://")}, Timeout: time.Minute, JSON: true}}
	got := c.collect(t.Context())
	assert.Equal(t, len(got.Unreachable), 1)
	var exit *exitCodeError
	assert.Assert(t, errors.As(c.Run(t.Context()), &exit))
	assert.Equal(t, exit.Code, exitUnreachable)
}
