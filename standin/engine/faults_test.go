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
	withTestBed(t, nil, func(t *testing.T, b *testBed) {
		b.engines[decodeA].SetFaults(control.EngineFaults{FailAfterTokens: 3})
		resp := b.post(b.t.Context(), decodeRequest(decodeA, "a1", "r1", makePrompt("p", 10), 20, nil))
		got := readStream(t, resp, 0)
		assert.Equal(t, got.complete, false)
		assert.NilError(t, answer.Check(makePrompt("p", 10), got.text, 3))
		b.assertHeld(decodeA, 0, 0)
		totals := b.engines[decodeA].JudgeReport().Totals
		assert.Equal(t, totals.Completed, 0)
		assert.Equal(t, totals.Failed, 1)
	})
}

func TestSlowFactor(t *testing.T) {
	withTestBed(t, nil, func(t *testing.T, b *testBed) {
		b.engines[prefillA].SetFaults(control.EngineFaults{SlowFactor: 3})
		start := time.Now()
		b.prefill(prefillA, "a1", "r1", makePrompt("p", 40))
		assert.Equal(t, time.Since(start), 120*time.Millisecond)
	})
}

func TestDroppedConnections(t *testing.T) {
	withTestBed(t, nil, func(t *testing.T, b *testBed) {
		prompt := makePrompt("p", 10)
		resp := b.post(b.t.Context(), decodeRequest(decodeA, "a1", "r1", prompt, 20, nil))
		faults := func(on bool) {
			body := control.EngineFaults{DropConnections: on}
			b.drain(b.send(b.t.Context(), http.MethodPut, decodeA, control.PathFaults, nil, body))
		}
		time.AfterFunc(35*time.Millisecond, func() { faults(true) })
		first := readStream(t, resp, 0)
		assert.Equal(t, first.complete, false)
		assert.Assert(t, b.resume(decodeA, "a1", first.lastEventID) == nil)
		time.Sleep(time.Second)
		faults(false)
		second := readStream(t, b.resume(decodeA, "a1", first.lastEventID), 0)
		assert.NilError(t, answer.Check(prompt, first.text+second.text, 20))
	})
}

func TestCrashLosesAllButTheJudge(t *testing.T) {
	withTestBed(t, nil, func(t *testing.T, b *testBed) {
		kv := b.prefill(prefillA, "a1", "r1", makePrompt("p", 40))
		before := b.engines[prefillA].JudgeReport()
		b.engines[prefillA].Crash(time.Second)
		synctest.Wait()
		b.assertHeld(prefillA, 0, 0)
		assert.Assert(t, b.post(b.t.Context(), prefillRequest(prefillA, "a2", "r2", "p")) == nil)
		time.Sleep(time.Second)
		synctest.Wait()

		resp := b.post(b.t.Context(), decodeRequest(decodeA, "a3", "r1", makePrompt("p", 40), 5, kv))
		assert.Equal(t, readJSON[control.ErrorBody](t, resp, 409).Error.Code, control.CodeKVMissing)
		after := b.engines[prefillA].JudgeReport()
		assert.Assert(t, after.Incarnation > before.Incarnation)
		assert.Equal(t, after.Totals.PromptComputed, 40)
		assert.Equal(t, after.Totals.PromptWasted, 40)
		b.prefill(prefillA, "a1", "r1", makePrompt("p", 40)) // the ID is unknown to the new incarnation
		assert.Equal(t, b.engines[prefillA].JudgeReport().Totals.PromptComputed, 80)
	})
}

func TestLaggingLoad(t *testing.T) {
	withTestBed(t, nil, func(t *testing.T, b *testBed) {
		load := func() LoadReport {
			return readJSON[LoadReport](t, b.send(b.t.Context(), http.MethodGet, decodeA, "/load", nil, nil), 200)
		}
		time.Sleep(time.Second)
		b.postAsync(decodeRequest(decodeA, "a1", "r1", makePrompt("p", 10), 100, nil))
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
