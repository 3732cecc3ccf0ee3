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
	"github.com/wardspool/wardspool/tokens"
)

func TestWholeSession(t *testing.T) {
	withTestBed(t, nil, func(t *testing.T, b *testBed) {
		prompt := makePrompt("p", 40)
		start := time.Now()
		kv := b.prefill(prefillA, "a1", "r1", prompt)
		assert.Equal(t, time.Since(start), 40*time.Millisecond)
		assert.DeepEqual(t, kv.RemoteBlockIDs, []int64{1, 2, 3, 4})
		b.assertHeld(prefillA, 1, 4)

		start = time.Now()
		got := readStream(t, b.post(b.t.Context(), decodeRequest(decodeA, "a2", "r1", prompt, 5, kv)), 0)
		assert.Equal(t, time.Since(start), 40*time.Millisecond+5*10*time.Millisecond)
		assert.Assert(t, got.complete)
		assert.NilError(t, answer.Check(prompt, got.text, 5))
		assert.Equal(t, got.lastEventID, "a2:4")
		assert.Equal(t, got.usage.TotalTokens, 45)

		b.assertHeld(prefillA, 0, 0)
		b.assertHeld(decodeA, 0, 0)
		summary := judge.Merge([]judge.Engine{b.engines[prefillA].JudgeReport(), b.engines[decodeA].JudgeReport()})
		assert.DeepEqual(t, summary, judge.Summary{
			Requests: 1, Completed: 1, PromptComputed: 40, Generated: 5,
		})
	})
}

func TestChatAndWholeAnswer(t *testing.T) {
	withTestBed(t, nil, func(t *testing.T, b *testBed) {
		messages := []tokens.Message{{Role: "user", Content: "how much"}}
		prompt := tokens.FlattenChat(messages)
		a := testRequest{engine: decodeA, attempt: "a1", path: "/v1/chat/completions",
			body: CompletionRequest{Messages: messages, MaxCompletionTokens: 3}}
		response := readJSON[CompletionResponse](t, b.post(b.t.Context(), a), http.StatusOK)
		assert.NilError(t, answer.Check(prompt, response.Choices[0].Message.Content, 3))
		assert.Equal(t, response.Usage.PromptTokens, 3)

		a.attempt, a.body.Stream = "a2", true
		got := readStream(t, b.post(b.t.Context(), a), 0)
		assert.NilError(t, answer.Check(prompt, got.text, 3))
	})
}

func TestBatchSharesSteps(t *testing.T) {
	withTestBed(t, nil, func(t *testing.T, b *testBed) {
		kv1 := b.prefill(prefillA, "a1", "r1", makePrompt("p", 10))
		kv2 := b.prefill(prefillB, "a2", "r2", makePrompt("q", 12))
		start := time.Now()
		one := b.post(b.t.Context(), decodeRequest(decodeA, "d1", "r1", makePrompt("p", 10), 10, kv1))
		two := b.post(b.t.Context(), decodeRequest(decodeA, "d2", "r2", makePrompt("q", 12), 10, kv2))
		done := make(chan streamResult, 1)
		go func() { done <- readStream(t, one, 0) }()
		assert.Assert(t, readStream(t, two, 0).complete)
		assert.Assert(t, (<-done).complete)
		// The first starts at 10 ms. The second has its KV at 22 ms and joins the
		// step that starts at 30 ms. They share eight steps, and each runs two alone.
		assert.Equal(t, time.Since(start), 30*time.Millisecond+8*11*time.Millisecond+2*10*time.Millisecond)
	})
}

func TestPriorityOrder(t *testing.T) {
	withTestBed(t, nil, func(t *testing.T, b *testBed) {
		order := make(chan string, 3)
		for _, p := range []struct {
			id       string
			priority int
		}{{"first", 5}, {"low", 9}, {"high", 1}} {
			go func() {
				a := prefillRequest(prefillA, p.id, p.id, makePrompt(p.id, 20))
				a.body.Priority = p.priority
				readJSON[CompletionResponse](t, b.post(b.t.Context(), a), http.StatusOK)
				order <- p.id
			}()
			synctest.Wait()
		}
		assert.Equal(t, <-order, "first")
		assert.Equal(t, <-order, "high")
		assert.Equal(t, <-order, "low")
	})
}

func TestPrefixCacheSavesPrefill(t *testing.T) {
	withTestBed(t, nil, func(t *testing.T, b *testBed) {
		b.prefill(prefillA, "a1", "r1", makePrompt("p", 45))
		start := time.Now()
		resp := b.post(b.t.Context(), prefillRequest(prefillA, "a2", "r2", makePrompt("p", 45)))
		got := readJSON[CompletionResponse](t, resp, http.StatusOK)
		assert.Equal(t, time.Since(start), 5*time.Millisecond)
		assert.Equal(t, got.Usage.PromptTokensDetails.CachedTokens, 40)
		totals := b.engines[prefillA].JudgeReport().Totals
		assert.Equal(t, totals.PromptComputed, 50)
		assert.Equal(t, totals.PromptCached, 40)
	})
}

func TestEvictionAfterLifetime(t *testing.T) {
	withTestBed(t, nil, func(t *testing.T, b *testBed) {
		prompt := makePrompt("p", 40)
		kv := b.prefill(prefillA, "a1", "r1", prompt)
		time.Sleep(900*time.Millisecond - time.Nanosecond)
		synctest.Wait()
		b.assertHeld(prefillA, 1, 4)
		time.Sleep(time.Nanosecond)
		synctest.Wait()
		b.assertHeld(prefillA, 0, 0)

		resp := b.post(b.t.Context(), decodeRequest(decodeA, "a2", "r1", prompt, 5, kv))
		got := readJSON[control.ErrorBody](t, resp, http.StatusConflict)
		assert.Equal(t, got.Error.Code, control.CodeKVMissing)
		b.assertHeld(decodeA, 0, 0)
		totals := b.engines[prefillA].JudgeReport().Totals
		assert.Equal(t, totals.Evicted, 1)
		assert.Equal(t, totals.PromptWasted, 40)
		assert.Equal(t, b.engines[decodeA].JudgeReport().Totals.DecodeRuns, 0)
	})
}

func TestLinkIsShared(t *testing.T) {
	withTestBed(t, nil, func(t *testing.T, b *testBed) {
		p, q := makePrompt("p", 40), makePrompt("q", 40)
		kvP := b.prefill(prefillA, "a1", "r1", p)
		kvQ := b.prefill(prefillA, "a2", "r2", q)
		start := time.Now()
		done := make(chan time.Duration, 2)
		for _, a := range []testRequest{decodeRequest(decodeA, "d1", "r1", p, 1, kvP), decodeRequest(decodeB, "d2", "r2", q, 1, kvQ)} {
			go func() {
				resp := b.post(b.t.Context(), a)
				done <- time.Since(start)
				readStream(t, resp, 0)
			}()
		}
		assert.Equal(t, <-done, 80*time.Millisecond)
		assert.Equal(t, <-done, 80*time.Millisecond)
	})
}

func TestStalledTransfer(t *testing.T) {
	withTestBed(t, nil, func(t *testing.T, b *testBed) {
		prompt := makePrompt("p", 40)
		kv := b.prefill(prefillA, "a1", "r1", prompt)
		b.engines[prefillA].SetFaults(control.EngineFaults{StallTransfers: true})
		done := make(chan streamResult, 1)
		go func() {
			done <- readStream(t, b.post(b.t.Context(), decodeRequest(decodeA, "d1", "r1", prompt, 2, kv)), 0)
		}()
		time.Sleep(time.Minute)
		synctest.Wait()
		b.assertHeld(prefillA, 1, 4) // being sent, so it doesn't expire
		b.assertHeld(decodeA, 1, 5)
		b.engines[prefillA].SetFaults(control.EngineFaults{})
		got := <-done
		assert.NilError(t, answer.Check(prompt, got.text, 2))
	})
}

// TestShortPromptsShareAStep starts a generation and then four short prompts
// that are prefilled on the same engine. They fit into the prefill chunk of one
// step, which is five tokens.
func TestShortPromptsShareAStep(t *testing.T) {
	slots := func(c *Config) { c.Perf.Slots = 5 }
	withTestBed(t, slots, func(t *testing.T, b *testBed) {
		b.postAsync(decodeRequest(decodeA, "a0", "r0", makePrompt("p", 5), 20, nil))
		time.Sleep(6 * time.Millisecond) // during the first step of the generation
		for _, id := range []string{"a1", "a2", "a3", "a4"} {
			b.postAsync(decodeRequest(decodeA, id, id, makePrompt(id, 1), 5, nil))
		}
		time.Sleep(9 * time.Millisecond) // the next step starts at 15 ms
		synctest.Wait()
		assert.Equal(t, b.engines[decodeA].JudgeReport().Totals.PrefillRuns, 5)
		time.Sleep(14 * time.Millisecond) // duration of a step and four prompt tokens
		synctest.Wait()
		assert.Equal(t, b.engines[decodeA].JudgeReport().Totals.DecodeRuns, 5)
	})
}
