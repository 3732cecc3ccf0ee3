package main

import (
	"math"
	"math/rand/v2"
	"time"
)

// The workload is the Coastline example's reviews: log-normal prompts and
// outputs, a first-output target of two seconds.
const (
	promptMedian, promptSigma = 4200, 0.6
	promptMin, promptMax      = 200, 20000
	outputMedian, outputSigma = 360, 0.45
	outputMin, outputMax      = 40, 1500
	prefillPerSecond          = 20000
	transfer                  = 50 * time.Millisecond
	tokenPace                 = 29500 * time.Microsecond
	firstToken                = 20 * time.Millisecond
	firstOutputTarget         = 2 * time.Second
	deadline                  = 60 * time.Second
	pieceTokens               = 2000
	// decodePerPrefill is the number of decode engines to each prefill engine.
	decodePerPrefill = 2
	// transferError is how far a transfer may be off what was predicted, as a
	// multiple.
	transferError = 3
	// looseness is how many times its true output a request may declare when
	// outputs are not known beforehand.
	looseness = 4
)

// request is one request of the workload.
type request struct {
	by time.Time
	// prefill is how long its prompt takes to compute.
	prefill time.Duration
	// declared is the most it may put out, hold how long it holds the slot.
	declared int
	hold     time.Duration
	pieces   int
	arrived  time.Time
	asked    time.Time
	retryAt  time.Time
	// counted is set for requests that arrive in the measured time.
	counted bool
}

// newRequest draws a request. With loose set it declares more than it puts out.
func newRequest(r *rand.Rand, now time.Time, loose bool) *request {
	prompt := logNormal(r, promptMedian, promptSigma, promptMin, promptMax)
	output := logNormal(r, outputMedian, outputSigma, outputMin, outputMax)
	declared := output
	if loose {
		declared *= 1 + (looseness-1)*r.Float64()
	}
	return &request{
		by:       now.Add(firstOutputTarget),
		prefill:  time.Duration(prompt / prefillPerSecond * float64(time.Second)),
		declared: int(declared),
		hold:     time.Duration(output * float64(tokenPace)),
		pieces:   (int(prompt+declared) + pieceTokens - 1) / pieceTokens,
		arrived:  now,
	}
}

func logNormal(r *rand.Rand, median, sigma, lo, hi float64) float64 {
	return min(max(median*math.Exp(sigma*r.NormFloat64()), lo), hi)
}

// meanHold is the mean time a slot is held, by sampling.
func meanHold() time.Duration {
	const samples = 200_000
	r := rand.New(rand.NewPCG(1, 1))
	sum := 0.0
	for range samples {
		sum += logNormal(r, outputMedian, outputSigma, outputMin, outputMax)
	}
	return time.Duration(sum / samples * float64(tokenPace))
}
