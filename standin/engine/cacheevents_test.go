package engine

import (
	"fmt"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/wardspool/wardspool/internal/bubble"
	"github.com/wardspool/wardspool/tokens"
)

// events reads the cache events after a sequence number.
func (b *testBed) events(engine string, after uint64, wait time.Duration) CacheEventsResponse {
	b.t.Helper()
	path := fmt.Sprintf("/v1/cache_events?after=%d&wait=%s", after, wait)
	return readJSON[CacheEventsResponse](b.t, b.send(b.t.Context(), http.MethodGet, engine, path, nil, nil), 200)
}

// blocks reads the snapshot of the prefix cache.
func (b *testBed) blocks(engine string) CacheBlocksResponse {
	b.t.Helper()
	return readJSON[CacheBlocksResponse](b.t, b.send(b.t.Context(), http.MethodGet, engine, "/v1/cache_blocks", nil, nil), 200)
}

func TestCacheEvents(t *testing.T) {
	withTestBed(t, nil, func(t *testing.T, b *testBed) {
		p, q := makePrompt("p", 40), makePrompt("q", 40)
		b.prefill(prefillA, "a1", "r1", p)
		assert.Equal(t, b.blocks(prefillA).Seq, uint64(1))
		assert.Equal(t, b.events(prefillA, 0, 0).LastSeq, uint64(0)) // not yet published

		start := time.Now()
		got := b.events(prefillA, 0, 10*time.Second)
		assert.Equal(t, time.Since(start), 200*time.Millisecond)
		stored := tokens.BlockHashes(p, 10)
		assert.DeepEqual(t, got.Batches[0].Events, []CacheEvent{
			{Type: BlockStored, BlockHashes: stored, BlockSize: 10},
		})

		// The cache holds six blocks, so two blocks of the first prompt are evicted.
		b.prefill(prefillA, "a2", "r2", q)
		got = b.events(prefillA, got.LastSeq, 10*time.Second)
		assert.DeepEqual(t, got.Batches[0].Events, []CacheEvent{
			{Type: BlockStored, BlockHashes: tokens.BlockHashes(q, 10), BlockSize: 10},
			{Type: BlockRemoved, BlockHashes: []tokens.BlockHash{stored[3], stored[2]}},
		})

		// The evicted blocks of the first prompt are stored again, after their parent.
		b.prefill(prefillA, "a3", "r3", p)
		got = b.events(prefillA, got.LastSeq, 10*time.Second)
		assert.Equal(t, *got.Batches[0].Events[0].ParentBlockHash, stored[1])
		assert.Equal(t, len(b.blocks(prefillA).Hashes), 6)
	})
}

func TestCacheEventsWaitEnds(t *testing.T) {
	withTestBed(t, nil, func(t *testing.T, b *testBed) {
		start := time.Now()
		got := b.events(prefillA, 0, 10*time.Second)
		assert.Equal(t, time.Since(start), 10*time.Second)
		assert.Equal(t, len(got.Batches), 0)
	})
}

// TestLostBatchesLeaveGaps drops some event batches and asserts that a reader
// that reads a snapshot at each gap ends up with the contents of the cache.
func TestLostBatchesLeaveGaps(t *testing.T) {
	lose := func(c *Config) { c.CacheLoss, c.Seed = 0.4, 7 }
	withTestBed(t, lose, func(t *testing.T, b *testBed) {
		known := map[tokens.BlockHash]bool{}
		var seq uint64
		gaps := 0
		for i := range 30 {
			id := fmt.Sprint(i)
			b.prefill(prefillA, id, id, makePrompt(fmt.Sprint("p", i%5), 10+i%3*10))
			time.Sleep(time.Second)
			got := b.events(prefillA, seq, 0)
			next := seq
			for _, batch := range got.Batches {
				gaps += int(batch.Seq - next - 1)
				next = batch.Seq
				applyEvents(known, batch.Events)
			}
			if got.LastSeq != seq+uint64(len(got.Batches)) {
				snapshot := b.blocks(prefillA)
				clear(known)
				applyEvents(known, []CacheEvent{{Type: BlockStored, BlockHashes: snapshot.Hashes}})
				seq = snapshot.Seq
				gaps++
				continue
			}
			seq = got.LastSeq
		}
		want := b.blocks(prefillA).Hashes
		assert.Equal(t, len(known), len(want))
		for _, h := range want {
			assert.Assert(t, known[h])
		}
		assert.Assert(t, gaps > 0)
	})
}

// applyEvents applies events to a reader's view of the cache.
func applyEvents(known map[tokens.BlockHash]bool, events []CacheEvent) {
	for _, e := range events {
		for _, h := range e.BlockHashes {
			if e.Type == BlockStored {
				known[h] = true
			} else {
				delete(known, h)
			}
		}
		if e.Type == AllBlocksCleared {
			clear(known)
		}
	}
}

func TestReaderMeetsNewIncarnation(t *testing.T) {
	withTestBed(t, nil, func(t *testing.T, b *testBed) {
		b.prefill(prefillA, "a1", "r1", makePrompt("p", 40))
		before := b.events(prefillA, 0, 10*time.Second)
		b.engines[prefillA].Crash(0)
		time.Sleep(time.Millisecond)
		synctest.Wait()
		after := b.events(prefillA, before.LastSeq, 10*time.Second)
		assert.Assert(t, after.Incarnation > before.Incarnation)
		assert.Assert(t, after.LastSeq < before.LastSeq)
		assert.Equal(t, len(b.blocks(prefillA).Hashes), 0)
	})
}

// TestReaderAheadOfPublication polls for events after a snapshot that includes
// an unpublished change. The engine must wait for newer batches and not report
// a gap, which would make the reader read the snapshot again.
func TestReaderAheadOfPublication(t *testing.T) {
	withTestBed(t, nil, func(t *testing.T, b *testBed) {
		b.prefill(prefillA, "a1", "r1", makePrompt("p", 40))
		seq := b.blocks(prefillA).Seq
		time.AfterFunc(time.Second, func() { b.prefill(prefillA, "a2", "r2", makePrompt("q", 10)) })
		start := time.Now()
		got := b.events(prefillA, seq, 10*time.Second)
		assert.Equal(t, time.Since(start), time.Second+10*time.Millisecond+200*time.Millisecond)
		assert.Equal(t, got.Batches[0].Seq, seq+1)
	})
}

func TestLogIsBounded(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		l := newEventLog(0, newBatchDropper(0, 0))
		for range maxBatches + 10 {
			l.add([]CacheEvent{{Type: AllBlocksCleared}})
		}
		got, last, _ := l.read(0, time.Now())
		assert.Equal(t, len(got), maxBatches)
		assert.Equal(t, got[0].Seq, uint64(11))
		assert.Equal(t, last, uint64(maxBatches+10))
	})
}

// TestDecodeEngineCachesPulledBlocks checks that a decode engine stores pulled
// blocks in its prefix cache, where a later generation finds them.
func TestDecodeEngineCachesPulledBlocks(t *testing.T) {
	withTestBed(t, func(c *Config) { c.Perf = testPerf(); c.Perf.CachePieces = 10 }, func(t *testing.T, b *testBed) {
		prompt := makePrompt("p", 40)
		kv := b.prefill(prefillA, "a1", "r1", prompt)
		readStream(t, b.post(b.t.Context(), decodeRequest(decodeA, "a2", "r1", prompt, 5, kv)), 0)
		assert.Equal(t, testPerf().PiecesFor(40), len(b.blocks(decodeA).Hashes))
		got := readStream(t, b.post(b.t.Context(), decodeRequest(decodeA, "a3", "r2", prompt, 5, nil)), 0)
		assert.Equal(t, got.usage.PromptTokensDetails.CachedTokens, 39)
	})
}
