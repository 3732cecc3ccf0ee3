package perf

import (
	"errors"
	"math"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/wardspool/wardspool/tokens"
)

func TestDurations(t *testing.T) {
	p := Defaults()
	ms := func(n float64) time.Duration { return time.Duration(n * float64(time.Millisecond)) }
	tests := []struct {
		name      string
		got, want time.Duration
	}{
		{"prefill of nothing", p.PrefillDuration(0), 0},
		{"prefill of a piece", p.PrefillDuration(2000), ms(200)},
		{"prefill of a token", p.PrefillDuration(1), ms(0.1)},
		{"empty batch", p.StepTime(0), 0},
		{"one request", p.StepTime(1), ms(25)},
		{"full batch", p.StepTime(20), ms(34.5)},
		{"transfer alone", p.TransferDuration(2000, 1), 52428800 * time.Nanosecond},
		{"transfer shared", p.TransferDuration(2000, 2), 2 * 52428800 * time.Nanosecond},
		{"sharing with nobody", p.TransferDuration(2000, 0), 52428800 * time.Nanosecond},
	}
	for _, tt := range tests {
		assert.Equal(t, tt.got, tt.want, tt.name)
	}
}

func TestPiecesAndUncached(t *testing.T) {
	p := Defaults()
	for tokens, want := range map[int]int{0: 0, 1: 1, 1999: 1, 2000: 1, 2001: 2, 8000: 4} {
		assert.Equal(t, p.PiecesFor(tokens), want, tokens)
	}
	tests := []struct{ prompt, cached, want int }{
		{5000, 0, 5000}, {5000, 2, 1000}, {4000, 2, 1}, {1, 0, 1},
	}
	for _, tt := range tests {
		assert.Equal(t, p.Uncached(tt.prompt, tt.cached), tt.want)
	}
}

func TestCache(t *testing.T) {
	type hashes = []tokens.BlockHash
	c := NewCache(3)
	added, evicted := c.Insert(hashes{1, 2})
	assert.DeepEqual(t, added, hashes{1, 2})
	assert.Equal(t, len(evicted), 0)
	assert.Equal(t, c.Match(hashes{1, 2, 3}), 2)
	assert.Equal(t, c.Match(hashes{2}), 1)
	assert.Equal(t, c.Match(hashes{9, 1}), 0)

	// The last block of the least recently used prompt is evicted first.
	added, evicted = c.Insert(hashes{1, 5, 6})
	assert.DeepEqual(t, added, hashes{5, 6})
	assert.DeepEqual(t, evicted, hashes{2})
	assert.DeepEqual(t, c.Hashes(), hashes{1, 5, 6})

	// Of a prompt larger than the cache, the leading blocks are kept.
	_, evicted = c.Insert(hashes{7, 8, 9, 10})
	assert.Equal(t, c.Match(hashes{7, 8, 9, 10}), 3)
	assert.Equal(t, len(evicted), 3)
	assert.Equal(t, c.Len(), 3)
	c.Clear()
	assert.Equal(t, c.Len(), 0)
	assert.Equal(t, c.Match(hashes{7}), 0)
}

func TestLinkSharing(t *testing.T) {
	const rate = 1e6 // bytes per second: 1 kB per millisecond
	ms := time.Millisecond
	l := NewLink(rate)
	_, ok := l.Next()
	assert.Assert(t, !ok)
	l.Add(0, 1, 100_000)
	assertNext(t, l, 100*ms)

	// At 50 ms, the first transfer has 50 kB left, the second one 100 kB.
	l.Add(50*ms, 2, 100_000)
	assertNext(t, l, 150*ms)
	assert.Equal(t, len(l.Finished(149*ms)), 0)
	assert.DeepEqual(t, l.Finished(150*ms), []FlowID{1})
	assertNext(t, l, 200*ms)

	// A stall does not lose the bytes already sent.
	l.SetRate(160*ms, 0)
	_, ok = l.Next()
	assert.Assert(t, !ok)
	l.SetRate(time.Second, rate)
	assertNext(t, l, time.Second+40*ms)
	l.Add(time.Second, 3, 40_000)
	l.Remove(time.Second+20*ms, 2) // transfer 3 has 30 kB left
	assertNext(t, l, time.Second+50*ms)
	assert.DeepEqual(t, l.Finished(time.Second+50*ms), []FlowID{3})
	assert.Equal(t, l.Len(), 0)
}

// assertNext checks the time at which the next transfer finishes, to the microsecond.
func assertNext(t *testing.T, l *Link, want time.Duration) {
	t.Helper()
	got, ok := l.Next()
	assert.Assert(t, ok)
	assert.Equal(t, got.Round(time.Microsecond), want)
}

func TestValidate(t *testing.T) {
	assert.NilError(t, Defaults().Validate())
	tests := map[string]func(*Params){
		"slots":                     func(p *Params) { p.Slots = 0 },
		"prefill_tokens_per_second": func(p *Params) { p.PrefillTokensPerSecond = math.NaN() },
		"decode_step_ns":            func(p *Params) { p.DecodeStep = -1 },
		"cache_pieces":              func(p *Params) { p.CachePieces = -1 },
	}
	for name, change := range tests {
		p := Defaults()
		change(&p)
		var bad *ParamError
		assert.Assert(t, errors.As(p.Validate(), &bad), name)
		assert.Equal(t, bad.Name, name)
	}
}
