package schedule

import (
	"math"
	"slices"
)

// Paces counts how fast prompts were computed: bucket i holds those of
// leastPace * paceStep^i tokens a second and more. Those of several instances add up.
type Paces []int

const (
	// leastPace is the lower bound of the first bucket, in tokens a second; paceStep is
	// the ratio of two buckets, paceBuckets their number: up to 900,000 tokens a second.
	leastPace   = 5000.0
	paceStep    = 1.1
	paceBuckets = 56
	// fewOutliers, one in each of promptsOfOutlier prompts at first, and then outlierShare
	// are how many of the fastest prompts are no measure: one in 500 to 1,000 is computed in
	// no time, since its engine still keeps it from an earlier attempt. By one of them, the
	// fastest of all instances, engines looked many times as fast as they are, and most
	// prefill engines were ordered to decode.
	fewOutliers      = 2
	promptsOfOutlier = 8
	outlierShare     = 0.02
)

// SetPaces takes in the paces of prompts that the other instances counted, by service.
func (b *Books) SetPaces(others map[string]Paces) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for service, paces := range others {
		p := &b.rateOf(service).prefill
		p.fleet = paces.Plus(p.long.paces()).Rate()
	}
}

// add counts a prompt.
func (p *Paces) add(tokens, seconds float64) {
	if *p == nil {
		*p = make(Paces, paceBuckets)
	}
	(*p)[paceBucket(tokens/seconds)]++
}

// paceBucket returns the index of the bucket that holds a pace in tokens a second.
func paceBucket(pace float64) int {
	i := math.Log(pace/leastPace) / math.Log(paceStep)
	return max(0, min(paceBuckets-1, int(i)))
}

// bucketPace returns the geometric middle of a bucket, in tokens a second.
func bucketPace(bucket int) float64 { return leastPace * math.Pow(paceStep, float64(bucket)+0.5) }

// Plus returns the sum of two counts.
func (p Paces) Plus(o Paces) Paces {
	sum := make(Paces, max(len(p), len(o)))
	copy(sum, p)
	for i, n := range o {
		sum[i] += n
	}
	return sum
}

// Minus returns the counts without others that they hold.
func (p Paces) Minus(o Paces) Paces {
	rest := slices.Clone(p)
	for i := range min(len(rest), len(o)) {
		rest[i] -= o[i]
	}
	return rest
}

// Rate returns what a prefill engine computes, in tokens a second: as fast as the fastest
// prompts but the outliers; 0 while there are too few.
func (p Paces) Rate() float64 {
	total := 0
	for _, n := range p {
		total += n
	}
	if total < enoughPrompts {
		return 0
	}
	skip := max(min(fewOutliers, total/promptsOfOutlier), int(outlierShare*float64(total)))
	for i := len(p) - 1; i >= 0; i-- {
		if skip -= p[i]; skip < 0 {
			return bucketPace(i)
		}
	}
	return 0
}
