package experiment

import (
	"math"

	"github.com/wardspool/wardspool/config"
	"github.com/wardspool/wardspool/load/workload"
	"github.com/wardspool/wardspool/standin/perf"
)

// capacitySample is the number of arrivals over which the means of a workload
// are taken.
const capacitySample = 20_000

// capacitySeed is the seed of those arrivals. No run uses it.
const capacitySeed = 1 << 40

// Capacity is the highest request rate of a workload that a deployment's engines
// can sustain, and the limits that determine it.
type Capacity struct {
	// Requests is the capacity in requests per second over all kinds.
	Requests float64
	// Prefill, Decode and Link are the limits of each part in model requests per
	// second; ModelShare is the fraction of all requests that are model
	// requests.
	Prefill, Decode, Link float64
	ModelShare            float64
	// Batch is the number of requests that a decode engine runs concurrently
	// when its slots or its memory are full.
	Batch float64
}

// Capacity returns the load at which an ideal scheduler saturates the bottleneck
// of the deployment, according to the performance model and a sample of the
// workload. It assumes for each part:
//
//   - prefill: all prefill engines compute all the time, without prefix cache
//     hits;
//   - decode: all slots, or all memory if it is the tighter limit, are always in
//     use, from the start of a transfer to the last token, at the speed of a
//     full batch;
//   - link: all prefill engines send all the time.
func (d *Deployment) Capacity() Capacity {
	s := d.sample()
	c := Capacity{ModelShare: s.modelShare, Batch: math.Inf(1)}
	for _, u := range d.Content.Upstreams {
		p := engineParams(d.Content, u)
		switch u.Role {
		case config.RolePrefill:
			c.Prefill += p.PrefillTokensPerSecond / s.meanPromptTokens
			c.Link += p.LinkBytesPerSecond / (s.meanPromptTokens * float64(p.KVBytesPerToken))
		case config.RoleDecode:
			batch, hold := s.fullBatch(p)
			c.Decode += batch / hold
			c.Batch = math.Min(c.Batch, batch)
		}
	}
	c.Requests = min(c.Prefill, c.Decode, c.Link) / c.ModelShare
	return c
}

func (d *Deployment) capacity() float64 { return d.Capacity().Requests }

// sample holds the model requests in a sample of a workload.
type sample struct {
	modelShare float64
	// meanPromptTokens is the mean prompt length in tokens.
	meanPromptTokens float64
	arrivals         []workload.Arrival
}

// sample draws a sample of the workload.
func (d *Deployment) sample() sample {
	g := workload.NewGenerator(d.Spec, 1, capacitySeed)
	var s sample
	for range capacitySample {
		a := g.Next()
		if a.Kind.Model == "" {
			continue
		}
		s.arrivals = append(s.arrivals, a)
		s.meanPromptTokens += float64(a.PromptTokens)
	}
	n := float64(len(s.arrivals))
	s.modelShare = n / capacitySample
	s.meanPromptTokens /= n
	return s
}

// fullBatchRounds is the number of iterations in which fullBatch refines its
// estimate of the batch size.
const fullBatchRounds = 8

// fullBatch returns the mean number of requests that a full decode engine runs
// and how long each of them occupies its slot, in seconds. Memory use is
// weighted by how long it is held, so a long prompt with a long answer counts
// for both its size and its duration.
func (s *sample) fullBatch(p perf.Params) (batch, hold float64) {
	batch = float64(p.Slots)
	for range fullBatchRounds {
		step := p.DecodeStep.Seconds() + (batch-1)*p.DecodeStepPerRequest.Seconds()
		var held, pieceSeconds float64
		for i := range s.arrivals {
			a := &s.arrivals[i]
			transfer := p.TransferDuration(a.PromptTokens, 1).Seconds()
			h := transfer + float64(a.OutputTokens)*step
			held += h
			pieceSeconds += h * float64(p.PiecesFor(a.PromptTokens+a.OutputTokens))
		}
		hold = held / float64(len(s.arrivals))
		batch = math.Min(float64(p.Slots), float64(p.Pieces)*held/pieceSeconds)
	}
	return batch, hold
}
