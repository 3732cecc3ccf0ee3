package engine

import (
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/wardspool/wardspool/standin/control"
)

// TestPulledOnce pulls a prefill result from two decode engines. The second
// pull fails, both during and after the first transfer.
func TestPulledOnce(t *testing.T) {
	withTestBed(t, nil, func(t *testing.T, b *testBed) {
		prompt := makePrompt("p", 40)
		kv := b.prefill(prefillA, "a1", "r1", prompt)
		start := time.Now()
		elapsed := make(chan time.Duration, 1)
		go func() {
			readStream(t, b.post(b.t.Context(), decodeRequest(decodeA, "a2", "r1", prompt, 5, kv)), 0)
			elapsed <- time.Since(start)
		}()
		for range 2 {
			time.Sleep(20*time.Millisecond + time.Microsecond)
			resp := b.post(b.t.Context(), decodeRequest(decodeB, "", "r1", prompt, 5, kv))
			assert.Equal(t, readJSON[control.ErrorBody](t, resp, http.StatusConflict).Error.Code, control.CodeKVMissing)
		}
		// The second pull used no bandwidth of the link either.
		assert.Equal(t, <-elapsed, 40*time.Millisecond+5*10*time.Millisecond)
		assert.Equal(t, b.engines[decodeA].JudgeReport().Totals.Completed, 1)
		assert.Equal(t, b.engines[decodeB].JudgeReport().Totals.DecodeRuns, 0)
	})
}

// TestBlocksOfAnotherLife pulls a prefill result of a former incarnation from a
// restarted engine, in which the same block IDs belong to another prompt. The
// pull must fail.
func TestBlocksOfAnotherLife(t *testing.T) {
	withTestBed(t, nil, func(t *testing.T, b *testBed) {
		old := b.prefill(prefillA, "a1", "r1", makePrompt("p", 40))
		b.engines[prefillA].Crash(0)
		time.Sleep(time.Millisecond)
		synctest.Wait()
		fresh := b.prefill(prefillA, "a2", "r2", makePrompt("q", 40))
		assert.DeepEqual(t, fresh.RemoteBlockIDs, old.RemoteBlockIDs)
		resp := b.post(b.t.Context(), decodeRequest(decodeA, "a3", "r1", makePrompt("p", 40), 5, old))
		assert.Equal(t, readJSON[control.ErrorBody](t, resp, http.StatusConflict).Error.Code, control.CodeKVMissing)
	})
}

func TestPrefillEngineGone(t *testing.T) {
	withTestBed(t, nil, func(t *testing.T, b *testBed) {
		kv := b.prefill(prefillA, "a1", "r1", makePrompt("p", 40))
		kv.RemoteHost = "nobody"
		resp := b.post(b.t.Context(), decodeRequest(decodeA, "a2", "r1", makePrompt("p", 40), 5, kv))
		assert.Equal(t, readJSON[control.ErrorBody](t, resp, http.StatusBadGateway).Error.Code, control.CodeTransferFailed)
		b.assertHeld(decodeA, 0, 0)
	})
}

// TestAbortAsTransferEnds covers an attempt that ends after the prefill engine
// has sent the KV cache and before the decode engine has processed the response.
// The decode engine must count the prompt's tokens as waste.
func TestAbortAsTransferEnds(t *testing.T) {
	withTestBed(t, nil, func(t *testing.T, b *testBed) {
		params := b.prefill(prefillA, "a1", "r1", makePrompt("p", 40))
		e := b.engines[decodeA]
		a := &attempt{id: "a2", correlation: "r1", pullParams: params, stage: StageEnded, to: 5}
		e.pullKV(b.t.Context(), a)
		assert.Equal(t, b.engines[prefillA].JudgeReport().Totals.PromptWasted, 0)
		assert.Equal(t, e.JudgeReport().Totals.PromptWasted, 40)
	})
}
