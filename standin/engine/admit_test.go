package engine

import (
	"math"
	"net/http"
	"strconv"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/wardspool/wardspool/standin/control"
)

func TestRefusals(t *testing.T) {
	valid := decodeRequest(decodeA, "a1", "r1", makePrompt("p", 10), 5, nil)
	with := func(change func(*testRequest)) testRequest {
		a := valid
		change(&a)
		return a
	}
	tests := []struct {
		name    string
		faults  control.EngineFaults
		request testRequest
		status  int
		code    control.Code
	}{
		{"model", control.EngineFaults{}, with(func(a *testRequest) { a.body.Model = "other" }), 404, control.CodeModelNotFound},
		{"draining", control.EngineFaults{Draining: true}, valid, 503, control.CodeDraining},
		{"refuse", control.EngineFaults{Refuse: true}, valid, 503, control.CodeNotStarted},
		{"decode on prefill", control.EngineFaults{}, with(func(a *testRequest) { a.engine = prefillA }), 503, control.CodeWrongRole},
		{"prefill on decode", control.EngineFaults{}, prefillRequest(decodeA, "a1", "r1", "p"), 503, control.CodeWrongRole},
		{"too large", control.EngineFaults{}, with(func(a *testRequest) { a.body.MaxTokens = 191 }), 400, control.CodeContextLength},
		{"nothing left", control.EngineFaults{}, with(func(a *testRequest) { a.body.ContinueFrom = 5 }), 400, control.CodeInvalid},
		{"negative", control.EngineFaults{}, with(func(a *testRequest) { a.body.MaxTokens = -1 }), 400, control.CodeInvalid},
		{"huge", control.EngineFaults{}, with(func(a *testRequest) { a.body.MaxTokens = math.MaxInt }), 400, control.CodeInvalid},
		{"both ways", control.EngineFaults{}, with(func(a *testRequest) {
			a.body.KVTransferParams = &KVTransferParams{DoRemoteDecode: true, DoRemotePrefill: true}
		}), 400, control.CodeInvalid},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			withTestBed(t, nil, func(t *testing.T, b *testBed) {
				b.engines[tt.request.engine].SetFaults(tt.faults)
				resp := b.post(b.t.Context(), tt.request)
				got := readJSON[control.ErrorBody](t, resp, tt.status)
				assert.Equal(t, got.Error.Code, tt.code)
				assert.Assert(t, tt.code.Attested())
				assert.Assert(t, resp.Header.Get(HeaderLoad) != "")
				time.Sleep(time.Second)
				report := b.engines[tt.request.engine].JudgeReport()
				assert.Equal(t, report.Totals.Accepted, 0)
				assert.Equal(t, report.Totals.PromptComputed, 0)
				assert.Equal(t, report.Totals.Generated, 0)
			})
		})
	}
}

func TestNoFreeSlot(t *testing.T) {
	withTestBed(t, nil, func(t *testing.T, b *testBed) {
		for i := range 2 {
			id := strconv.Itoa(i)
			b.postAsync(decodeRequest(decodeA, id, id, makePrompt(id, 10), 5, nil))
		}
		synctest.Wait()
		resp := b.post(b.t.Context(), decodeRequest(decodeA, "a3", "r3", "p", 5, nil))
		got := readJSON[control.ErrorBody](t, resp, http.StatusServiceUnavailable)
		assert.Equal(t, got.Error.Code, control.CodeNotStarted)
		time.Sleep(time.Second)
		resp = b.post(b.t.Context(), decodeRequest(decodeA, "a3", "r3", "p", 5, nil))
		assert.Assert(t, readStream(t, resp, 0).complete)
	})
}

func TestNoFreeMemory(t *testing.T) {
	withTestBed(t, nil, func(t *testing.T, b *testBed) {
		b.postAsync(decodeRequest(decodeA, "a1", "r1", makePrompt("p", 100), 50, nil))
		synctest.Wait()
		b.assertHeld(decodeA, 1, 15)
		resp := b.post(b.t.Context(), decodeRequest(decodeA, "a2", "r2", makePrompt("q", 50), 1, nil))
		got := readJSON[control.ErrorBody](t, resp, http.StatusServiceUnavailable)
		assert.Equal(t, got.Error.Code, control.CodeNotStarted)
	})
}

func TestPrefillQueue(t *testing.T) {
	withTestBed(t, nil, func(t *testing.T, b *testBed) {
		for i := range 5 { // one computes, four wait
			id := strconv.Itoa(i)
			b.postAsync(prefillRequest(prefillA, id, id, makePrompt(id, 80)))
			synctest.Wait()
		}
		resp := b.post(b.t.Context(), prefillRequest(prefillA, "a6", "r6", "p"))
		assert.Equal(t, readJSON[control.ErrorBody](t, resp, 503).Error.Code, control.CodeNotStarted)
		// The third waits for memory until the first result is evicted.
		time.Sleep(980*time.Millisecond - time.Nanosecond)
		synctest.Wait()
		b.assertHeld(prefillA, 5, 16)
		time.Sleep(2 * time.Millisecond)
		synctest.Wait()
		b.assertHeld(prefillA, 4, 16)
		assert.Equal(t, b.engines[prefillA].heldRequests().Requests[1].Stage, StagePrefill)
	})
}

func TestDuplicateAttempt(t *testing.T) {
	withTestBed(t, nil, func(t *testing.T, b *testBed) {
		a := decodeRequest(decodeA, "a1", "r1", makePrompt("p", 10), 5, nil)
		for range 2 { // first while the attempt runs, then after its end
			b.postAsync(a)
			time.Sleep(time.Second)
			resp := b.post(b.t.Context(), a)
			assert.Equal(t, readJSON[control.ErrorBody](t, resp, 409).Error.Code, control.CodeDuplicate)
		}
		assert.Equal(t, b.engines[decodeA].JudgeReport().Totals.DecodeRuns, 1)
	})
}
