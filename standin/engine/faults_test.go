package engine

import (
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/wardspool/wardspool/standin/answer"
	"github.com/wardspool/wardspool/standin/control"
)

func TestFailAfterTokens(t *testing.T) {
	inBench(t, nil, func(t *testing.T, b *bench) {
		b.engines[decodeA].SetFaults(control.EngineFaults{FailAfterTokens: 3})
		resp := b.post(b.t.Context(), decodeAsk(decodeA, "a1", "r1", words("p", 10), 20, nil))
		got := collect(t, resp, 0)
		assert.Equal(t, got.whole, false)
		assert.NilError(t, answer.Check(words("p", 10), got.text, 3))
		b.held(decodeA, 0, 0)
		totals := b.engines[decodeA].Judge().Totals
		assert.Equal(t, totals.Completed, 0)
		assert.Equal(t, totals.Failed, 1)
	})
}

func TestSlowFactor(t *testing.T) {
	inBench(t, nil, func(t *testing.T, b *bench) {
		b.engines[prefillA].SetFaults(control.EngineFaults{SlowFactor: 3})
		start := time.Now()
		b.prefill(prefillA, "a1", "r1", words("p", 40))
		assert.Equal(t, time.Since(start), 120*time.Millisecond)
	})
}

func TestDroppedConnections(t *testing.T) {
	inBench(t, nil, func(t *testing.T, b *bench) {
		prompt := words("p", 10)
		resp := b.post(b.t.Context(), decodeAsk(decodeA, "a1", "r1", prompt, 20, nil))
		faults := func(on bool) {
			body := control.EngineFaults{DropConnections: on}
			b.drain(b.send(b.t.Context(), http.MethodPut, decodeA, control.PathFaults, nil, body))
		}
		time.AfterFunc(35*time.Millisecond, func() { faults(true) })
		first := collect(t, resp, 0)
		assert.Equal(t, first.whole, false)
		assert.Assert(t, b.resume(decodeA, "a1", first.last) == nil)
		time.Sleep(time.Second)
		faults(false)
		second := collect(t, b.resume(decodeA, "a1", first.last), 0)
		assert.NilError(t, answer.Check(prompt, first.text+second.text, 20))
	})
}

func TestCrashLosesAllButTheJudge(t *testing.T) {
	inBench(t, nil, func(t *testing.T, b *bench) {
		kv := b.prefill(prefillA, "a1", "r1", words("p", 40))
		before := b.engines[prefillA].Judge()
		b.engines[prefillA].Crash(time.Second)
		synctest.Wait()
		b.held(prefillA, 0, 0)
		assert.Assert(t, b.post(b.t.Context(), prefillAsk(prefillA, "a2", "r2", "p")) == nil)
		time.Sleep(time.Second)
		synctest.Wait()

		resp := b.post(b.t.Context(), decodeAsk(decodeA, "a3", "r1", words("p", 40), 5, kv))
		assert.Equal(t, read[control.ErrorBody](t, resp, 409).Error.Code, control.CodeKVMissing)
		after := b.engines[prefillA].Judge()
		assert.Assert(t, after.Incarnation > before.Incarnation)
		assert.Equal(t, after.Totals.PromptComputed, 40)
		assert.Equal(t, after.Totals.PromptWasted, 40)
		b.prefill(prefillA, "a1", "r1", words("p", 40)) // the ID is unknown to the new incarnation
		assert.Equal(t, b.engines[prefillA].Judge().Totals.PromptComputed, 80)
	})
}

func TestLaggingLoad(t *testing.T) {
	inBench(t, nil, func(t *testing.T, b *bench) {
		load := func() LoadReport {
			return read[LoadReport](t, b.send(b.t.Context(), http.MethodGet, decodeA, "/load", nil, nil), 200)
		}
		time.Sleep(time.Second)
		b.begin(decodeAsk(decodeA, "a1", "r1", words("p", 10), 100, nil))
		time.Sleep(450 * time.Millisecond)
		old := load()
		assert.Equal(t, old.Running, 0)
		time.Sleep(200 * time.Millisecond)
		fresh := load()
		assert.Equal(t, fresh.Running, 1)
		assert.Equal(t, fresh.PiecesUsed, 11)
		assert.Assert(t, fresh.Seq > old.Seq)
		age := time.Since(time.UnixMilli(fresh.AtMS))
		assert.Assert(t, age >= 500*time.Millisecond && age <= 600*time.Millisecond, age)
	})
}
