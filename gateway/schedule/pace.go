package schedule

import (
	"cmp"
	"slices"
	"time"
)

const (
	// defaultPrefillThroughput is assumed until enough prompts have been measured, in tokens
	// per second. Known engines compute 33,000 to 56,000.
	defaultPrefillThroughput = 50000
	// minPrompts is the number of prompts from which the throughput is estimated. Among that
	// many, one was long and was not queued behind others.
	minPrompts = 5
	// maxRecentPrompts is the number of prompts of each length class among which the fastest is
	// searched. An engine with several prompts at once is slower for each of them, so that most
	// prompts are not representative.
	maxRecentPrompts = 40
	// minConfirmations is how many prompts must have been at least as fast for a throughput to
	// count, once confirmationPrompts prompts have been measured. A prompt whose KV cache the
	// engine still holds from an earlier attempt takes almost no time. With fewer than
	// confirmationPrompts prompts the fastest one counts, since most of them were queued behind
	// others.
	minConfirmations    = 3
	confirmationPrompts = 12
	// lengthWeight is the weight of one prompt in the moving average of the prompt length.
	lengthWeight = 0.05
	// maxThroughputRatio is the upper bound of the throughput without the fixed time per
	// prompt, relative to that of the fastest long prompt with its fixed time included. Known
	// engines have a fixed time of 0 to 50 ms before 100 ms of computing tokens.
	maxThroughputRatio = 1.6
)

// promptSample is the length of a prompt, in tokens, and the time it took.
type promptSample struct {
	tokens  float64
	seconds float64
}

// compareTimePerToken compares samples by their time per token, the fastest first.
func (s promptSample) compareTimePerToken(o promptSample) int {
	return cmp.Compare(s.seconds*o.tokens, o.seconds*s.tokens)
}

// fastestPrompt is the recent prompt with the lowest time per token, ignoring those that too
// few others confirm (see minConfirmations).
type fastestPrompt struct {
	promptSample
	recent []promptSample
}

// observe records a prompt.
func (f *fastestPrompt) observe(tokens, seconds float64) {
	f.recent = append(f.recent, promptSample{tokens: tokens, seconds: seconds})
	f.recent = f.recent[max(0, len(f.recent)-maxRecentPrompts):]
	sorted := slices.SortedFunc(slices.Values(f.recent), promptSample.compareTimePerToken)
	f.promptSample = sorted[0]
	if len(sorted) >= confirmationPrompts {
		f.promptSample = sorted[minConfirmations-1]
	}
}

// histogram returns the histogram of the recent prompts' throughput.
func (f *fastestPrompt) histogram() ThroughputHistogram {
	var p ThroughputHistogram
	for _, s := range f.recent {
		p.add(s.tokens, s.seconds)
	}
	return p
}

// prefillEstimate estimates the performance of prefill engines, as measured by this instance: a
// fixed time per prompt and a time per token. They are derived from the fastest short and the
// fastest long prompt. With only one of them, engines that take 50 ms before each prompt would
// look slower by a third, and requests would be refused that could have been served in time.
type prefillEstimate struct {
	prompts int
	// meanLength is the mean prompt length, which separates short prompts from long ones.
	meanLength  float64
	short, long fastestPrompt
	// fleetThroughput is the throughput of an engine in tokens per second, as measured from the
	// prompts of all instances; 0 while there are too few. One instance among hundreds sees few
	// prompts, and during a burst all of them are queued behind others. Based on these alone,
	// an instance took idle engines for busy ones and refused its requests, so that it never
	// measured another prompt.
	fleetThroughput float64
}

// observe records how long a prompt took.
func (p *prefillEstimate) observe(tokens int, took time.Duration) {
	if tokens <= 0 || took <= 0 {
		return
	}
	n := float64(tokens)
	if p.prompts == 0 {
		p.meanLength = n
	}
	p.prompts++
	p.meanLength += lengthWeight * (n - p.meanLength)
	if n < p.meanLength {
		p.short.observe(n, took.Seconds())
	} else {
		p.long.observe(n, took.Seconds())
	}
}

// measured reports whether the estimate is based on enough prompts. With a lower limit, three
// short prompts made engines look half as fast as they are, and a decode engine was ordered to
// change to prefill.
func (p *prefillEstimate) measured() bool {
	return p.fleetThroughput > 0 || p.prompts >= minPrompts && p.long.tokens > 0
}

// throughput returns the throughput of an engine without the fixed time per prompt, in tokens
// per second.
func (p *prefillEstimate) throughput() float64 {
	if !p.measured() {
		return defaultPrefillThroughput
	}
	overall := p.overallThroughput()
	tokens, seconds := p.long.tokens-p.short.tokens, p.long.seconds-p.short.seconds
	if p.short.tokens == 0 || tokens <= 0 || seconds <= 0 {
		return overall
	}
	return min(maxThroughputRatio*overall, max(overall, tokens/seconds))
}

// overallThroughput returns the throughput of an engine with the fixed time per prompt
// included, in tokens per second.
func (p *prefillEstimate) overallThroughput() float64 {
	if p.fleetThroughput > 0 {
		return p.fleetThroughput
	}
	return p.long.tokens / p.long.seconds
}

// time returns how long an engine takes to compute the given number of queued tokens.
func (p *prefillEstimate) time(tokens int) time.Duration {
	throughput := p.throughput()
	fixed := 0.0
	if p.measured() {
		fixed = max(0, p.long.tokens/p.overallThroughput()-p.long.tokens/throughput)
	}
	return time.Duration((fixed + float64(tokens)/throughput) * float64(time.Second))
}
