package experiment

import (
	"math"

	"github.com/wardspool/wardspool/config"
	"github.com/wardspool/wardspool/load/workload"
	"github.com/wardspool/wardspool/standin/perf"
)

// capacitySample is how many arrivals the means of a workload are taken over.
const capacitySample = 20_000

// capacitySeed is the seed of those arrivals; no run uses it.
const capacitySeed = 1 << 40

// Capacity is the highest rate of requests of a workload that its engines can
// serve, and what bounds it.
type Capacity struct {
	// Requests is the capacity in requests a second of all kinds.
	Requests float64
	// Prefill, Decode and Link are the bounds of each part in model requests
	// a second; ModelShare is the model requests' share of all.
	Prefill, Decode, Link float64
	ModelShare            float64
	// Batch is the number of requests that a decode engine runs when its slots
	// or its memory are full.
	Batch float64
}

// Capacity returns the load at which an ideal scheduler saturates the tightest
// part of the deployment, by the performance model and a sample of the
// workload:
//
//   - prefill: all prefill engines compute all the time, and nothing comes from
//     a prefix cache;
//   - decode: every slot, or all memory if that is less, is always in use, from
//     the start of a transfer to the last token, at the pace of a full batch;
//   - link: all prefill engines send all the time.
func (d *Deployment) Capacity() Capacity {
	s := d.sample()
	c := Capacity{ModelShare: s.modelShare, Batch: math.Inf(1)}
	for _, u := range d.Content.Upstreams {
		p := engineParams(d.Content, u)
		switch u.Role {
		case config.RolePrefill:
			c.Prefill += p.PrefillTokensPerSecond / s.prompt
			c.Link += p.LinkBytesPerSecond / (s.prompt * float64(p.KVBytesPerToken))
		case config.RoleDecode:
			batch, hold := s.saturate(p)
			c.Decode += batch / hold
			c.Batch = math.Min(c.Batch, batch)
		}
	}
	c.Requests = min(c.Prefill, c.Decode, c.Link) / c.ModelShare
	return c
}

func (d *Deployment) capacity() float64 { return d.Capacity().Requests }

// sample is the model requests of a sample of a workload.
type sample struct {
	modelShare float64
	// prompt is the mean prompt length.
	prompt   float64
	arrivals []workload.Arrival
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
		s.prompt += float64(a.PromptTokens)
	}
	n := float64(len(s.arrivals))
	s.modelShare = n / capacitySample
	s.prompt /= n
	return s
}

// saturateRounds is how often saturate improves its guess of the batch.
const saturateRounds = 8

// saturate returns how many requests a full decode engine runs on average and
// how long each holds its place, in seconds. Memory is weighed by the time for
// which it is held: long prompts with long answers count twice.
func (s *sample) saturate(p perf.Params) (batch, hold float64) {
	batch = float64(p.Slots)
	for range saturateRounds {
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
