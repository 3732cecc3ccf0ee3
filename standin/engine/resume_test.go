package engine

import (
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/wardspool/wardspool/standin/answer"
	"github.com/wardspool/wardspool/standin/control"
	"github.com/wardspool/wardspool/standin/judge"
)

// resume resumes a stream after an event.
func (b *testBed) resume(engine, attempt, lastEvent string) *http.Response {
	b.t.Helper()
	header := http.Header{}
	if lastEvent != "" {
		header.Set(HeaderLastEvent, lastEvent)
	}
	return b.send(b.t.Context(), http.MethodGet, engine, "/v1/streams/"+attempt, header, nil)
}

func TestResumeAfterDisconnect(t *testing.T) {
	withTestBed(t, nil, func(t *testing.T, b *testBed) {
		prompt := makePrompt("p", 10)
		first := readStream(t, b.post(b.t.Context(), decodeRequest(decodeA, "a1", "r1", prompt, 20, nil)), 3)
		assert.Equal(t, first.lastEventID, "a1:2")
		time.Sleep(40 * time.Millisecond)
		second := readStream(t, b.resume(decodeA, "a1", first.lastEventID), 0)
		assert.Assert(t, second.complete)
		assert.NilError(t, answer.Check(prompt, first.text+second.text, 20))

		// Resuming also works after the end of the generation and from the start.
		again := readStream(t, b.resume(decodeA, "a1", ""), 0)
		assert.Assert(t, again.complete)
		assert.NilError(t, answer.Check(prompt, again.text, 20))
		last := readStream(t, b.resume(decodeA, "a1", "a1:19"), 0)
		assert.Assert(t, last.complete)
		assert.Equal(t, last.text, "")
		assert.Equal(t, b.engines[decodeA].JudgeReport().Totals.Generated, 20)

		time.Sleep(DefaultRetention)
		b.drain(b.post(b.t.Context(), decodeRequest(decodeA, "a2", "r2", prompt, 1, nil))) // admission drops expired attempts
		readJSON[control.ErrorBody](t, b.resume(decodeA, "a1", ""), http.StatusNotFound)
	})
}

func TestLastReaderWins(t *testing.T) {
	withTestBed(t, nil, func(t *testing.T, b *testBed) {
		prompt := makePrompt("p", 10)
		resp := b.post(b.t.Context(), decodeRequest(decodeA, "a1", "r1", prompt, 20, nil))
		done := make(chan streamResult)
		go func() { done <- readStream(t, resp, 0) }()
		time.Sleep(35 * time.Millisecond)
		second := readStream(t, b.resume(decodeA, "a1", ""), 0)
		first := <-done
		assert.Equal(t, first.complete, false)
		assert.NilError(t, answer.Check(prompt, first.text, 3))
		assert.NilError(t, answer.Check(prompt, second.text, 20))
	})
}

func TestResumeRefusesForeignEvents(t *testing.T) {
	withTestBed(t, nil, func(t *testing.T, b *testBed) {
		b.postAsync(decodeRequest(decodeA, "a1", "r1", makePrompt("p", 10), 5, nil))
		synctest.Wait()
		for _, event := range []string{"a2:1", "a1:5", "a1:-1", "a1:x", "a1"} {
			got := readJSON[control.ErrorBody](t, b.resume(decodeA, "a1", event), http.StatusBadRequest)
			assert.Equal(t, got.Error.Code, control.CodeInvalid, event)
		}
		readJSON[control.ErrorBody](t, b.resume(decodeA, "unknown", ""), http.StatusNotFound)
	})
}

// TestContinueElsewhere crashes an engine in the middle of an answer and
// continues the generation on another engine, which prefills the prompt itself
// or pulls the KV of a new prefill.
func TestContinueElsewhere(t *testing.T) {
	for name, withPrefill := range map[string]bool{"alone": false, "with prefill": true} {
		t.Run(name, func(t *testing.T) {
			withTestBed(t, nil, func(t *testing.T, b *testBed) {
				prompt := makePrompt("p", 40)
				kv := b.prefill(prefillA, "a1", "r1", prompt)
				resp := b.post(b.t.Context(), decodeRequest(decodeA, "a2", "r1", prompt, 8, kv))
				time.AfterFunc(35*time.Millisecond, func() { b.engines[decodeA].Crash(time.Minute) })
				first := readStream(t, resp, 0)
				assert.Equal(t, first.complete, false)
				assert.NilError(t, answer.Check(prompt, first.text, 3))

				kv = nil
				if withPrefill {
					a := prefillRequest(prefillB, "a3", "r1", prompt)
					a.body.ContinueFrom = 3
					kv = readJSON[CompletionResponse](t, b.post(b.t.Context(), a), http.StatusOK).KVTransferParams
				}
				next := decodeRequest(decodeB, "a4", "r1", prompt, 8, kv)
				next.body.ContinueFrom = 3
				second := readStream(t, b.post(b.t.Context(), next), 0)
				assert.Assert(t, second.complete)
				assert.Equal(t, second.lastEventID, "a4:7")
				assert.Equal(t, second.usage.PromptTokens, 43)
				assert.NilError(t, answer.Check(prompt, first.text+second.text, 8))

				synctest.Wait()
				var reports []judge.Engine
				for _, e := range b.engines {
					reports = append(reports, e.JudgeReport())
				}
				assert.DeepEqual(t, judge.Merge(reports), judge.Summary{
					Requests: 1, Completed: 1, PromptComputed: 83, PromptWasted: 40, Generated: 8,
				})
			})
		})
	}
}
