package engine

import (
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/wardspool/wardspool/standin/control"
)

// TestPulledOnce sends one prefill result to two decode engines: the second
// gets nothing, also while the first transfer is under way.
func TestPulledOnce(t *testing.T) {
	inBench(t, nil, func(t *testing.T, b *bench) {
		prompt := words("p", 40)
		kv := b.prefill(prefillA, "a1", "r1", prompt)
		start := time.Now()
		whole := make(chan time.Duration, 1)
		go func() {
			collect(t, b.post(b.t.Context(), decodeAsk(decodeA, "a2", "r1", prompt, 5, kv)), 0)
			whole <- time.Since(start)
		}()
		for range 2 {
			time.Sleep(20*time.Millisecond + time.Microsecond)
			resp := b.post(b.t.Context(), decodeAsk(decodeB, "", "r1", prompt, 5, kv))
			assert.Equal(t, read[control.ErrorBody](t, resp, http.StatusConflict).Error.Code, control.CodeKVMissing)
		}
		// The second didn't take any of the link either.
		assert.Equal(t, <-whole, 40*time.Millisecond+5*10*time.Millisecond)
		assert.Equal(t, b.engines[decodeA].Judge().Totals.Completed, 1)
		assert.Equal(t, b.engines[decodeB].Judge().Totals.DecodeRuns, 0)
	})
}

// TestBlocksOfAnotherLife asks a restarted engine for a result of its former
// life, whose blocks have the numbers of another prompt's by now.
func TestBlocksOfAnotherLife(t *testing.T) {
	inBench(t, nil, func(t *testing.T, b *bench) {
		old := b.prefill(prefillA, "a1", "r1", words("p", 40))
		b.engines[prefillA].Crash(0)
		time.Sleep(time.Millisecond)
		synctest.Wait()
		fresh := b.prefill(prefillA, "a2", "r2", words("q", 40))
		assert.DeepEqual(t, fresh.RemoteBlockIDs, old.RemoteBlockIDs)
		resp := b.post(b.t.Context(), decodeAsk(decodeA, "a3", "r1", words("p", 40), 5, old))
		assert.Equal(t, read[control.ErrorBody](t, resp, http.StatusConflict).Error.Code, control.CodeKVMissing)
	})
}

func TestPrefillEngineGone(t *testing.T) {
	inBench(t, nil, func(t *testing.T, b *bench) {
		kv := b.prefill(prefillA, "a1", "r1", words("p", 40))
		kv.RemoteHost = "nobody"
		resp := b.post(b.t.Context(), decodeAsk(decodeA, "a2", "r1", words("p", 40), 5, kv))
		assert.Equal(t, read[control.ErrorBody](t, resp, http.StatusBadGateway).Error.Code, control.CodeTransferFailed)
		b.held(decodeA, 0, 0)
	})
}

// TestAbortAsTransferEnds ends an attempt after the KV cache has left its
// prefill engine and before the decode engine has taken it in: the prompt's
// tokens are waste then, counted by the decode engine.
func TestAbortAsTransferEnds(t *testing.T) {
	inBench(t, nil, func(t *testing.T, b *bench) {
		params := b.prefill(prefillA, "a1", "r1", words("p", 40))
		e := b.engines[decodeA]
		a := &attempt{id: "a2", correlation: "r1", pull: params, stage: StageEnded, to: 5}
		e.fetch(b.t.Context(), a)
		assert.Equal(t, b.engines[prefillA].Judge().Totals.PromptWasted, 0)
		assert.Equal(t, e.Judge().Totals.PromptWasted, 40)
	})
}
