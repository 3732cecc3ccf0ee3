package schedule

import (
	"cmp"
	"slices"
	"time"
)

const (
	// defaultPrefillRate is assumed until enough prompts have been measured, in tokens per
	// second. Known engines compute 33,000 to 56,000.
	defaultPrefillRate = 50000
	// enoughPrompts is the number of prompts from which the throughput is estimated. Among that
	// many, one was long and was not queued behind others.
	enoughPrompts = 5
	// recentPrompts is the number of prompts of each length class among which the fastest is
	// searched. An engine with several prompts at once is slower for each of them, so that most
	// prompts are not representative.
	recentPrompts = 40
	// confirmations is how many prompts must have been at least as fast for a throughput to
	// count, once confirmedOf prompts have been measured. A prompt whose KV cache the engine
	// still holds from an earlier attempt takes almost no time. With fewer than confirmedOf
	// prompts the fastest one counts, since most of them were queued behind others.
	confirmations = 3
	confirmedOf   = 12
	// lengthWeight is the weight of one prompt in the moving average of the prompt length.
	lengthWeight = 0.05
	// mostRateShare is the upper bound of the rate, relative to the rate of the fastest long
	// prompt with its fixed time included. Known engines have a fixed time of 0 to 50 ms before
	// 100 ms of computing tokens.
	mostRateShare = 1.6
)

// sample is the length of a prompt, in tokens, and the time it took.
type sample struct {
	tokens  float64
	seconds float64
}

// slower compares samples by their time per token, the fastest first.
func (s sample) slower(o sample) int { return cmp.Compare(s.seconds*o.tokens, o.seconds*s.tokens) }

// fastest is the recent prompt with the lowest time per token, ignoring those that too few
// others confirm (see confirmations).
type fastest struct {
	sample
	recent []sample
}

// learn records a prompt.
func (f *fastest) learn(tokens, seconds float64) {
	f.recent = append(f.recent, sample{tokens: tokens, seconds: seconds})
	f.recent = f.recent[max(0, len(f.recent)-recentPrompts):]
	sorted := slices.SortedFunc(slices.Values(f.recent), sample.slower)
	f.sample = sorted[0]
	if len(sorted) >= confirmedOf {
		f.sample = sorted[confirmations-1]
	}
}

// paces returns the histogram of the recent prompts' throughput.
func (f *fastest) paces() Paces {
	var p Paces
	for _, s := range f.recent {
		p.add(s.tokens, s.seconds)
	}
	return p
}

// prefillPace estimates the performance of prefill engines, as measured by this instance: a
// fixed time per prompt and a time per token. They are derived from the fastest short and the
// fastest long prompt. With only one of them, engines that take 50 ms before each prompt would
// look slower by a third, and requests would be refused that could have been served in time.
type prefillPace struct {
	prompts int
	// length is the mean prompt length, which separates short prompts from long ones.
	length      float64
	short, long fastest
	// fleet is the throughput of an engine in tokens per second, as measured from the prompts
	// of all instances; 0 while there are too few. One instance among hundreds sees few
	// prompts, and during a burst all of them are queued behind others. Based on these alone,
	// an instance took idle engines for busy ones and refused its requests, so that it never
	// measured another prompt.
	fleet float64
}

// learn records how long a prompt took.
func (p *prefillPace) learn(tokens int, took time.Duration) {
	if tokens <= 0 || took <= 0 {
		return
	}
	n := float64(tokens)
	if p.prompts == 0 {
		p.length = n
	}
	p.prompts++
	p.length += lengthWeight * (n - p.length)
	if n < p.length {
		p.short.learn(n, took.Seconds())
	} else {
		p.long.learn(n, took.Seconds())
	}
}

// measured reports whether the estimate is based on enough prompts. With a lower limit, three
// short prompts made engines look half as fast as they are, and a decode engine was ordered to
// change to prefill.
func (p *prefillPace) measured() bool {
	return p.fleet > 0 || p.prompts >= enoughPrompts && p.long.tokens > 0
}

// rate returns the throughput of an engine without the fixed time per prompt, in tokens per
// second.
func (p *prefillPace) rate() float64 {
	if !p.measured() {
		return defaultPrefillRate
	}
	whole := p.whole()
	tokens, seconds := p.long.tokens-p.short.tokens, p.long.seconds-p.short.seconds
	if p.short.tokens == 0 || tokens <= 0 || seconds <= 0 {
		return whole
	}
	return min(mostRateShare*whole, max(whole, tokens/seconds))
}

// whole returns the throughput of an engine with the fixed time per prompt included, in tokens
// per second.
func (p *prefillPace) whole() float64 {
	if p.fleet > 0 {
		return p.fleet
	}
	return p.long.tokens / p.long.seconds
}

// time returns how long an engine takes to compute the given number of queued tokens.
func (p *prefillPace) time(tokens int) time.Duration {
	rate := p.rate()
	fixed := 0.0
	if p.measured() {
		fixed = max(0, p.long.tokens/p.whole()-p.long.tokens/rate)
	}
	return time.Duration((fixed + float64(tokens)/rate) * float64(time.Second))
}
