package engine

import (
	"context"
	"math/rand/v2"
	"net/http"
	"strconv"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/wardspool/wardspool/standin/answer"
	"github.com/wardspool/wardspool/standin/control"
	"github.com/wardspool/wardspool/standin/judge"
)

func TestAbortBeforeArrival(t *testing.T) {
	withTestBed(t, nil, func(t *testing.T, b *testBed) {
		assert.Equal(t, b.abort(prefillA, "a1"), false)
		assert.Equal(t, b.abort(prefillA, "a1"), false)
		for range 2 {
			resp := b.post(b.t.Context(), prefillRequest(prefillA, "a1", "r1", makePrompt("p", 10)))
			got := readJSON[control.ErrorBody](t, resp, http.StatusConflict)
			assert.Equal(t, got.Error.Code, control.CodeAbortedEarly)
			assert.Assert(t, got.Error.Code.Attested())
		}
		totals := b.engines[prefillA].JudgeReport().Totals
		assert.Equal(t, totals.Accepted, 0)
		assert.Equal(t, totals.AbortedEarly, 2)
	})
}

// TestAbortInEachStage aborts an attempt in a given stage and asserts that the
// engine holds nothing afterwards and counts the computed tokens as waste.
func TestAbortInEachStage(t *testing.T) {
	tests := []struct {
		stage  Stage
		engine string
		after  time.Duration
		wasted int
	}{
		{StagePrefill, prefillA, 12 * time.Millisecond, 15}, // the chunk in progress is computed
		{StageHeld, prefillA, 50 * time.Millisecond, 40},
	}
	for _, tt := range tests {
		t.Run(string(tt.stage), func(t *testing.T) {
			withTestBed(t, nil, func(t *testing.T, b *testBed) {
				b.postAsync(prefillRequest(prefillA, "a1", "r1", makePrompt("p", 40)))
				time.Sleep(tt.after)
				assertAborted(t, b, tt.engine, "a1", tt.stage)
				assert.Equal(t, b.engines[prefillA].JudgeReport().Totals.PromptWasted, tt.wasted)
			})
		})
	}
}

func TestAbortQueued(t *testing.T) {
	withTestBed(t, nil, func(t *testing.T, b *testBed) {
		b.postAsync(prefillRequest(prefillA, "a1", "r1", makePrompt("p", 40)))
		synctest.Wait()
		refused := make(chan control.ErrorBody)
		go func() {
			resp := b.post(b.t.Context(), prefillRequest(prefillA, "a2", "r2", makePrompt("q", 40)))
			refused <- readJSON[control.ErrorBody](t, resp, http.StatusConflict)
		}()
		synctest.Wait()
		assert.Equal(t, b.engines[prefillA].heldRequests().Requests[1].Stage, StageQueued)
		assert.Assert(t, b.abort(prefillA, "a2"))
		assert.Equal(t, (<-refused).Error.Code, control.CodeAborted)
		time.Sleep(2 * time.Second)
		assert.Equal(t, b.engines[prefillA].JudgeReport().Totals.PromptComputed, 40)
	})
}

func TestAbortDuringTransfer(t *testing.T) {
	for _, side := range []string{prefillA, decodeA} {
		t.Run(side, func(t *testing.T) {
			withTestBed(t, nil, func(t *testing.T, b *testBed) {
				kv := b.prefill(prefillA, "a1", "r1", makePrompt("p", 40))
				b.postAsync(decodeRequest(decodeA, "a1", "r1", makePrompt("p", 40), 5, kv))
				time.Sleep(20 * time.Millisecond)
				stage := StageSending
				if side == decodeA {
					stage = StageReceiving
				}
				assertAborted(t, b, side, "a1", stage)
				b.assertHeld(decodeA, 0, 0)
				time.Sleep(time.Second) // until the prefill result has expired
				synctest.Wait()
				b.assertHeld(prefillA, 0, 0)
				assert.Equal(t, b.engines[prefillA].JudgeReport().Totals.PromptWasted, 40)
				assert.Equal(t, b.engines[decodeA].JudgeReport().Totals.DecodeRuns, 0)
			})
		})
	}
}

func TestAbortWhileGenerating(t *testing.T) {
	withTestBed(t, nil, func(t *testing.T, b *testBed) {
		prompt := makePrompt("p", 40)
		kv := b.prefill(prefillA, "a1", "r1", prompt)
		resp := b.post(b.t.Context(), decodeRequest(decodeA, "a2", "r1", prompt, 50, kv))
		done := make(chan streamResult)
		go func() { done <- readStream(t, resp, 0) }()
		time.Sleep(35 * time.Millisecond)
		assertAborted(t, b, decodeA, "a2", StageDecode)
		got := <-done
		assert.Equal(t, got.complete, false)
		assert.Equal(t, got.code, control.CodeAborted)
		assert.NilError(t, answer.Check(prompt, got.text, 3))
		time.Sleep(time.Second)
		assert.Equal(t, b.engines[decodeA].JudgeReport().Totals.Generated, 3)
	})
}

// assertAborted asserts that an attempt is in a stage, aborts it twice and
// asserts that its engine holds nothing afterwards.
func assertAborted(t *testing.T, b *testBed, engine, attempt string, stage Stage) {
	t.Helper()
	synctest.Wait()
	held := b.engines[engine].heldRequests().Requests
	assert.Equal(t, len(held), 1)
	assert.Equal(t, held[0].Stage, stage)
	assert.Assert(t, b.abort(engine, attempt))
	assert.Equal(t, b.abort(engine, attempt), false)
	synctest.Wait()
	b.assertHeld(engine, 0, 0)
	time.Sleep(10 * time.Millisecond)
	synctest.Wait()
	b.assertHeld(engine, 0, 0)
}

func TestDisconnectDoesNotAbort(t *testing.T) {
	withTestBed(t, nil, func(t *testing.T, b *testBed) {
		prompt := makePrompt("p", 10)
		ctx, cancel := context.WithCancel(b.t.Context())
		resp := b.post(ctx, decodeRequest(decodeA, "a1", "r1", prompt, 20, nil))
		assert.Assert(t, readStream(t, resp, 3).text != "")
		cancel()
		time.Sleep(time.Second)
		synctest.Wait()
		assert.Equal(t, b.engines[decodeA].JudgeReport().Totals.Completed, 1)
	})
}

// TestNothingHeldAtQuiescence runs random requests, aborts and faults. It
// asserts that the engines hold nothing once all work is over, and that the
// counts of computed and wasted prompt tokens are consistent.
func TestNothingHeldAtQuiescence(t *testing.T) {
	for seed := range uint64(20) {
		t.Run(strconv.FormatUint(seed, 10), func(t *testing.T) {
			withTestBed(t, nil, func(t *testing.T, b *testBed) {
				random := rand.New(rand.NewPCG(seed, seed))
				for i := range 60 {
					randomAction(b, random, i)
					time.Sleep(time.Duration(random.IntN(20)) * time.Millisecond)
				}
				for _, e := range b.engines {
					e.SetFaults(control.EngineFaults{})
				}
				time.Sleep(time.Minute)
				synctest.Wait()
				assertConsistentCounts(t, b)
			})
		})
	}
}

// assertConsistentCounts asserts that nothing is held and that each computed
// prompt token was either used or counted as waste exactly once. Since each
// request of the test has one prefill, the totals of the engines and the merged
// summary must agree.
func assertConsistentCounts(t *testing.T, b *testBed) {
	t.Helper()
	var reports []judge.Engine
	wasted, computed := 0, 0
	for id, e := range b.engines {
		b.assertHeld(id, 0, 0)
		report := e.JudgeReport()
		reports = append(reports, report)
		wasted += report.Totals.PromptWasted
		computed += report.Totals.PromptComputed
	}
	summary := judge.Merge(reports)
	assert.Equal(t, summary.PromptComputed, computed)
	assert.Equal(t, summary.PromptWasted, wasted)
	assert.Equal(t, summary.CompletedTwice, 0)
}

// randomAction starts a random request, or injects a random abort or fault.
func randomAction(b *testBed, random *rand.Rand, i int) {
	id := strconv.Itoa(i)
	prefill := []string{prefillA, prefillB}[random.IntN(2)]
	decode := []string{decodeA, decodeB}[random.IntN(2)]
	victim := strconv.Itoa(random.IntN(i + 3))
	switch random.IntN(8) {
	case 0:
		b.engines[prefill].abort(victim)
	case 1:
		b.engines[decode].abort(victim)
	case 2:
		b.engines[prefill].SetFaults(control.EngineFaults{StallTransfers: random.IntN(2) == 0})
	case 3:
		if random.IntN(4) == 0 {
			b.engines[decode].Crash(30 * time.Millisecond)
		}
	case 4:
		b.engines[decode].SetFaults(control.EngineFaults{FailAfterTokens: random.IntN(4)})
	default:
		prompt := makePrompt(id, 1+random.IntN(60))
		go prefillThenDecode(b, prefill, decode, id, prompt)
	}
}

// prefillThenDecode runs a prefill and its decode; either may fail.
func prefillThenDecode(b *testBed, prefill, decode, id, prompt string) {
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
	defer cancel()
	resp := b.post(ctx, prefillRequest(prefill, id, id, prompt))
	if resp == nil || resp.StatusCode != http.StatusOK {
		b.drain(resp)
		return
	}
	kv := readJSON[CompletionResponse](b.t, resp, http.StatusOK).KVTransferParams
	resp = b.post(ctx, decodeRequest(decode, id, id, prompt, 20, kv))
	b.drain(resp)
}
