package main

import (
	"math"
	"math/rand/v2"
	"time"
)

// lengths is a log-normal distribution of token counts, clamped to min and max.
type lengths struct{ median, sigma, min, max float64 }

// draw returns a random number of tokens.
func (l lengths) draw(r *rand.Rand) float64 {
	return min(max(l.median*math.Exp(l.sigma*r.NormFloat64()), l.min), l.max)
}

// requestClass is a class of requests. share is its fraction of all requests,
// firstOutput the time from arrival until the first output is due.
type requestClass struct {
	share          float64
	prompt, output lengths
	firstOutput    time.Duration
}

// workload describes the requests that the callers of one of the example
// deployments send, and the engines of that deployment.
type workload struct {
	name             string
	classes          []requestClass
	decodes          int
	prefills         int
	pieces           int
	transferPerToken time.Duration
	// slotTime is the mean time a request holds a slot.
	slotTime time.Duration
}

// The workloads of the two example deployments: coastline has long outputs after
// short prompts, lagos short outputs after long prompts.
var (
	coastline = withSlotTime(workload{
		name: "coastline",
		classes: []requestClass{{
			share: 1, firstOutput: 2 * time.Second,
			prompt: lengths{median: 4200, sigma: 0.6, min: 200, max: 20000},
			output: lengths{median: 360, sigma: 0.45, min: 40, max: 1500},
		}},
		decodes: 6, prefills: 3, pieces: 120, transferPerToken: 20 * time.Microsecond,
	})
	lagos = withSlotTime(workload{
		name: "lagos",
		classes: []requestClass{
			{
				share: 0.3, firstOutput: 900 * time.Millisecond,
				prompt: lengths{median: 4500, sigma: 0.5, min: 200, max: 9000},
				output: lengths{median: 120, sigma: 0.4, min: 20, max: 400},
			},
			{
				share: 0.7, firstOutput: 4 * time.Second,
				prompt: lengths{median: 13500, sigma: 0.5, min: 1000, max: 40000},
				output: lengths{median: 210, sigma: 0.4, min: 40, max: 800},
			},
		},
		decodes: 3, prefills: 6, pieces: 160, transferPerToken: 20 * time.Microsecond,
	})
)

const (
	// prefillTokensPerSecond is the number of prompt tokens that a prefill
	// engine processes per second.
	prefillTokensPerSecond = 20000
	// timePerToken is the time per output token on a decode engine, firstToken
	// the time from the end of the transfer to the first output.
	timePerToken = 29500 * time.Microsecond
	firstToken   = 20 * time.Millisecond
	// deadline is the time from the reservation to its deadline.
	deadline = 60 * time.Second
	// pieceTokens is the number of tokens whose KV cache fits into one piece.
	pieceTokens = 2000
	// transferError is the upper bound of a transfer's duration, as a multiple
	// of the predicted duration.
	transferError = 3
	// maxOverdeclaration is the upper bound of the output that a request
	// declares, as a multiple of its true output, if the length of outputs is
	// not known beforehand.
	maxOverdeclaration = 4
)

// request is one request of the workload.
type request struct {
	// dueAt is when the first output is due.
	dueAt time.Time
	// prefill and transfer are the predicted times to process the prompt and to
	// move its KV cache to the decode engine.
	prefill, transfer time.Duration
	// declared is the maximum number of output tokens, hold the time for which
	// the request decodes.
	declared int
	hold     time.Duration
	// pieces is the KV memory that the request needs on the decode engine.
	pieces int
	// askedAt is when a slot was last requested, retryAt when to try again.
	askedAt time.Time
	retryAt time.Time
	// counted is set for requests that arrive in the measured period.
	counted bool
}

// draw returns a random request that arrives at the given time. If overdeclare
// is set, the request declares a larger output than it has.
func (w *workload) draw(r *rand.Rand, now time.Time, overdeclare bool) *request {
	class := w.drawClass(r)
	prompt := class.prompt.draw(r)
	output := class.output.draw(r)
	declared := output
	if overdeclare {
		declared *= 1 + (maxOverdeclaration-1)*r.Float64()
	}
	return &request{
		dueAt:    now.Add(class.firstOutput),
		prefill:  time.Duration(prompt / prefillTokensPerSecond * float64(time.Second)),
		transfer: time.Duration(prompt * float64(w.transferPerToken)),
		declared: int(declared),
		hold:     time.Duration(output * float64(timePerToken)),
		pieces:   (int(prompt+declared) + pieceTokens - 1) / pieceTokens,
	}
}

// drawClass returns a random class of requests, with the probability of its share.
func (w *workload) drawClass(r *rand.Rand) *requestClass {
	x := r.Float64()
	last := len(w.classes) - 1
	for i := range w.classes[:last] {
		if x -= w.classes[i].share; x < 0 {
			return &w.classes[i]
		}
	}
	return &w.classes[last]
}

// withSlotTime returns w with slotTime set to the mean hold of a sample of
// requests.
func withSlotTime(w workload) workload {
	const samples = 200_000
	r := rand.New(rand.NewPCG(1, 1))
	sum := time.Duration(0)
	for range samples {
		sum += w.draw(r, time.Time{}, false).hold
	}
	w.slotTime = sum / samples
	return w
}
