package entry_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/wardspool/wardspool/api"
	"github.com/wardspool/wardspool/ident"
	"github.com/wardspool/wardspool/standin/answer"
	"github.com/wardspool/wardspool/standin/control"
	"github.com/wardspool/wardspool/standin/judge"
)

// setFaults sets the faults that a simulated upstream injects.
func (b *testbed) setFaults(id ident.UpstreamID, faults any) {
	b.t.Helper()
	body, err := json.Marshal(faults)
	assert.NilError(b.t, err)
	req, err := http.NewRequest(http.MethodPut, "http://"+b.addresses[id]+control.PathFaults, bytes.NewReader(body))
	assert.NilError(b.t, err)
	resp, err := http.DefaultClient.Do(req)
	assert.NilError(b.t, err)
	defer resp.Body.Close()
	text, _ := io.ReadAll(resp.Body)
	assert.Equal(b.t, resp.StatusCode, http.StatusOK, "%s", text)
}

// readReport returns the report of a simulated upstream on the calls that it received.
func readReport[T any](b *testbed, id ident.UpstreamID) T {
	b.t.Helper()
	resp, err := http.Get("http://" + b.addresses[id] + control.PathJudge)
	assert.NilError(b.t, err)
	defer resp.Body.Close()
	var out T
	assert.NilError(b.t, json.NewDecoder(resp.Body).Decode(&out))
	return out
}

// await waits about 4 s at most until a condition holds.
func (b *testbed) await(what string, holds func() bool) {
	b.t.Helper()
	for range 2000 {
		if holds() {
			return
		}
		time.Sleep(2 * time.Millisecond)
	}
	b.t.Fatalf("timed out waiting for: %s", what)
}

// awaitMemoryReleased waits until no engine holds memory for any attempt.
func (b *testbed) awaitMemoryReleased() {
	b.t.Helper()
	for _, id := range []ident.UpstreamID{"pf-1", "dc-1", "dc-2"} {
		b.await("release of memory on "+string(id), func() bool {
			return readReport[judge.Engine](b, id).Held == judge.Held{}
		})
	}
}

// completion returns the body of a completion request for n tokens.
func completion(n int, stream bool) string {
	return fmt.Sprintf(`{"model":"reader","prompt":%q,"max_tokens":%d,"stream":%t}`, prompt, n, stream)
}

// streamedText returns the joined text of a stream's events, whether the stream was
// completed, and the problem that ended it, if any.
func streamedText(t *testing.T, body string) (text string, done bool, problem *api.Problem) {
	t.Helper()
	for event := range strings.SplitSeq(body, "\n\n") {
		_, data, ok := strings.Cut(event, "data: ")
		switch {
		case !ok:
		case data == "[DONE]":
			done = true
		case strings.HasPrefix(event, "event: error"):
			problem = &api.Problem{}
			assert.NilError(t, json.Unmarshal([]byte(data), problem))
		default:
			var chunk struct {
				Choices []struct {
					Text string `json:"text"`
				} `json:"choices"`
			}
			assert.NilError(t, json.Unmarshal([]byte(data), &chunk))
			for _, c := range chunk.Choices {
				text += c.Text
			}
		}
	}
	return text, done, problem
}

// TestCallerGoneReleasesMemory checks that the engines release a request's memory after
// its caller has closed the connection in the middle of a stream.
func TestCallerGoneReleasesMemory(t *testing.T) {
	b := newTestbed(t, nil)
	ctx, closeConnection := context.WithCancel(t.Context())
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, b.url+"/v1/completions", strings.NewReader(completion(5000, true)))
	assert.NilError(t, err)
	resp, err := http.DefaultClient.Do(req)
	assert.NilError(t, err)
	_, err = io.ReadFull(resp.Body, make([]byte, 500))
	assert.NilError(t, err)
	closeConnection()
	_ = resp.Body.Close()
	b.awaitMemoryReleased()
}

// TestDecodeFailureIsResumedElsewhere checks that a request whose decode engine fails is
// resumed on the other one, and that the output has no gaps or repeated tokens.
func TestDecodeFailureIsResumedElsewhere(t *testing.T) {
	for _, stream := range []bool{true, false} {
		t.Run(fmt.Sprintf("stream=%t", stream), func(t *testing.T) {
			b := newTestbed(t, nil)
			b.setFaults("dc-1", control.EngineFaults{FailAfterTokens: 5})
			b.setFaults("dc-2", control.EngineFaults{FailAfterTokens: 12})
			resp, body := b.do(http.MethodPost, "/v1/completions", completion(15, stream))
			assert.Equal(t, resp.StatusCode, http.StatusOK, body)
			if stream {
				text, done, problem := streamedText(t, body)
				assert.Assert(t, done, "%v", problem)
				assert.NilError(t, answer.Check(prompt, text, 15))
				assert.Equal(t, resp.Trailer.Get(api.HeaderOutcome), string(api.Complete))
			} else {
				assert.Equal(t, resp.Header.Get(api.HeaderOutcome), string(api.Complete))
			}
			b.awaitMemoryReleased()
		})
	}
}

// TestDroppedConnectionIsReadOn checks that after a connection to the decode engine has
// broken, the rest of the stream is read over a new connection and nothing is decoded
// a second time.
func TestDroppedConnectionIsReadOn(t *testing.T) {
	b := newTestbed(t, nil)
	req, err := http.NewRequest(http.MethodPost, b.url+"/v1/completions", strings.NewReader(completion(400, true)))
	assert.NilError(t, err)
	resp, err := http.DefaultClient.Do(req)
	assert.NilError(t, err)
	defer resp.Body.Close()
	start := make([]byte, 2000)
	_, err = io.ReadFull(resp.Body, start)
	assert.NilError(t, err)
	for _, id := range []ident.UpstreamID{"dc-1", "dc-2"} {
		b.engines[id].BreakConnections()
	}
	rest, err := io.ReadAll(resp.Body)
	assert.NilError(t, err)
	text, done, problem := streamedText(t, string(start)+string(rest))
	assert.Assert(t, done, "%v", problem)
	assert.NilError(t, answer.Check(prompt, text, 400))
	runs := readReport[judge.Engine](b, "dc-1").Totals.DecodeRuns + readReport[judge.Engine](b, "dc-2").Totals.DecodeRuns
	assert.Equal(t, runs, 1, "the stream must be resumed, not started again")
	b.awaitMemoryReleased()
}

// TestStreamThatFailsEndsWithProblem checks that a stream of a request that is not
// repeatable ends with a problem and the outcome unknown when its decode engine fails.
func TestStreamThatFailsEndsWithProblem(t *testing.T) {
	b := newTestbed(t, nil)
	b.setFaults("dc-1", control.EngineFaults{FailAfterTokens: 5})
	b.setFaults("dc-2", control.EngineFaults{FailAfterTokens: 5})
	resp, body := b.do(http.MethodPost, "/v1/completions", completion(200, true), api.HeaderRepeatable, "no")
	text, done, problem := streamedText(t, body)
	assert.Assert(t, !done)
	assert.Assert(t, problem != nil, body)
	assert.Equal(t, problem.Outcome, api.Unknown)
	assert.Equal(t, problem.Type, api.ProblemUpstreamFailed)
	assert.Equal(t, resp.Trailer.Get(api.HeaderOutcome), string(api.Unknown))
	assert.NilError(t, answer.Check(prompt, text, 5))
	b.awaitMemoryReleased()
}

// TestServiceFailures checks the outcome of calls to a service that fails or refuses,
// against whether the service ran them.
func TestServiceFailures(t *testing.T) {
	for _, c := range []struct {
		name    string
		kind    string
		faults  control.ServiceFaults
		status  int
		outcome api.Outcome
		runs    int
	}{
		{"order: service fails before the run", "order", control.ServiceFaults{CloseBeforeRun: true}, 502, api.Unknown, 0},
		{"order: service fails after the run", "order", control.ServiceFaults{CloseAfterRun: true}, 502, api.Unknown, 1},
		{"order: service answers an error", "order", control.ServiceFaults{ErrorRate: 1}, 502, api.Unknown, 1},
		{"order: service refuses", "order", control.ServiceFaults{Refuse: true}, 503, api.NotRun, 0},
		{"lookup: service is draining", "lookup", control.ServiceFaults{Draining: true}, 503, api.NotRun, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			b := newTestbed(t, nil)
			b.setFaults("desk-1", c.faults)
			resp, body := b.do(http.MethodPost, "/services/desk/x", "{}",
				api.HeaderKind, c.kind, api.HeaderDeadlineMS, "700")
			assert.Equal(t, resp.Header.Get(api.HeaderOutcome), string(c.outcome), body)
			got := readReport[judge.Service](b, "desk-1")
			assert.Equal(t, got.Runs, c.runs)
			if c.outcome == api.NotRun {
				assert.Assert(t, resp.Header.Get("Retry-After") != "", body)
			}
		})
	}
}

// TestStopFinishesWhatIsInFlight checks that during a shutdown a stream that is open runs
// to its end while new requests are refused with Retry-After.
func TestStopFinishesWhatIsInFlight(t *testing.T) {
	b := newTestbed(t, nil)
	resp, err := http.Post(b.url+"/v1/completions", "application/json", strings.NewReader(completion(200, true)))
	assert.NilError(t, err)
	defer resp.Body.Close()
	stopped := make(chan struct{})
	go func() {
		defer close(stopped)
		b.shutDown()
	}()
	b.await("refusal", func() bool {
		late, body := b.do(http.MethodGet, "/services/desk/x", "")
		if late.StatusCode == http.StatusOK {
			return false
		}
		assert.Equal(t, late.Header.Get(api.HeaderOutcome), string(api.NotRun), body)
		assert.Assert(t, late.Header.Get("Retry-After") != "")
		return true
	})
	body, err := io.ReadAll(resp.Body)
	assert.NilError(t, err)
	text, done, problem := streamedText(t, string(body))
	assert.Assert(t, done, "%v", problem)
	assert.NilError(t, answer.Check(prompt, text, 200))
	<-stopped
}
