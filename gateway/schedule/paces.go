package schedule

import (
	"math"
	"slices"
)

// ThroughputHistogram is a histogram of prompts by throughput. The lower bound of bucket i is
// minThroughput*bucketRatio^i tokens per second. The first and the last bucket also count
// prompts beyond their bounds. The histograms of several instances can be added.
type ThroughputHistogram []int

const (
	// minThroughput is the lower bound of the first bucket, in tokens per second. bucketRatio
	// is the ratio between the bounds of adjacent buckets, and bucketCount their number, which
	// covers up to 900,000 tokens per second.
	minThroughput = 5000.0
	bucketRatio   = 1.1
	bucketCount   = 56
	// The fastest prompts are skipped as outliers: one in promptsPerOutlier prompts up to
	// maxEarlyOutliers, or the share outlierShare if that is more. One prompt in 500 to 1,000
	// takes almost no time, since its engine still holds its KV cache from an earlier attempt.
	// With a single such prompt taken as the fastest of all instances, engines looked many
	// times as fast as they are, and most prefill engines were ordered to change to decode.
	maxEarlyOutliers  = 2
	promptsPerOutlier = 8
	outlierShare      = 0.02
)

// SetThroughputHistograms records the histograms of the other instances, by service.
func (b *Scheduler) SetThroughputHistograms(others map[string]ThroughputHistogram) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for service, histogram := range others {
		p := &b.performanceOf(service).prefill
		p.fleetThroughput = histogram.Plus(p.long.histogram()).Rate()
	}
}

// add counts a prompt of the given length and duration.
func (p *ThroughputHistogram) add(tokens, seconds float64) {
	if *p == nil {
		*p = make(ThroughputHistogram, bucketCount)
	}
	(*p)[throughputBucket(tokens/seconds)]++
}

// throughputBucket returns the index of the bucket for a throughput in tokens per second.
func throughputBucket(throughput float64) int {
	i := math.Log(throughput/minThroughput) / math.Log(bucketRatio)
	return max(0, min(bucketCount-1, int(i)))
}

// bucketThroughput returns the geometric mean of a bucket's bounds, in tokens per second.
func bucketThroughput(bucket int) float64 {
	return minThroughput * math.Pow(bucketRatio, float64(bucket)+0.5)
}

// Plus returns the sum of two histograms.
func (p ThroughputHistogram) Plus(o ThroughputHistogram) ThroughputHistogram {
	sum := make(ThroughputHistogram, max(len(p), len(o)))
	copy(sum, p)
	for i, n := range o {
		sum[i] += n
	}
	return sum
}

// Minus returns the histogram without the counts of o, which it must include.
func (p ThroughputHistogram) Minus(o ThroughputHistogram) ThroughputHistogram {
	rest := slices.Clone(p)
	for i := range min(len(rest), len(o)) {
		rest[i] -= o[i]
	}
	return rest
}

// Rate returns the throughput of a prefill engine in tokens per second: that of the fastest
// prompts without the outliers. It is 0 while there are too few prompts.
func (p ThroughputHistogram) Rate() float64 {
	total := 0
	for _, n := range p {
		total += n
	}
	if total < minPrompts {
		return 0
	}
	skip := max(min(maxEarlyOutliers, total/promptsPerOutlier), int(outlierShare*float64(total)))
	for i := len(p) - 1; i >= 0; i-- {
		if skip -= p[i]; skip < 0 {
			return bucketThroughput(i)
		}
	}
	return 0
}
