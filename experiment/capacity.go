package experiment

import (
	"math"

	"github.com/wardspool/wardspool/config"
	"github.com/wardspool/wardspool/load/workload"
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
}

// Capacity returns the load at which an ideal scheduler saturates the tightest
// part of the deployment, by the performance model and the mean request:
//
//   - prefill: all prefill engines compute all the time, and a family's shared
//     pieces come from the prefix cache;
//   - decode: every slot, or all memory if that is less, is always in use, from
//     the start of the transfer to the last token, at the pace of a full batch;
//   - link: all prefill engines send all the time.
func (d *Deployment) Capacity() Capacity {
	means := d.means()
	c := Capacity{ModelShare: means.modelShare}
	for _, u := range d.Content.Upstreams {
		p := engineParams(d.Content, u)
		switch u.Role {
		case config.RolePrefill:
			c.Prefill += p.PrefillTokensPerSecond / means.uncached
			c.Link += p.LinkBytesPerSecond / (means.prompt * float64(p.KVBytesPerToken))
		case config.RoleDecode:
			batch := math.Min(float64(p.Slots), float64(p.Pieces)/means.pieces)
			step := p.DecodeStep.Seconds() + (batch-1)*p.DecodeStepPerRequest.Seconds()
			transfer := means.prompt * float64(p.KVBytesPerToken) / p.LinkBytesPerSecond
			c.Decode += batch / (transfer + means.output*step)
		}
	}
	c.Requests = min(c.Prefill, c.Decode, c.Link) / c.ModelShare
	return c
}

func (d *Deployment) capacity() float64 { return d.Capacity().Requests }

// means are the means of a workload's model requests.
type means struct {
	modelShare, prompt, uncached, output, pieces float64
}

// means draws a sample of the workload.
func (d *Deployment) means() means {
	g := workload.NewGenerator(d.Spec, 1, capacitySeed)
	pieceTokens := d.Content.Models[0].PieceTokens
	var m means
	n := 0.0
	for range capacitySample {
		a := g.Next()
		if a.Kind.Model == "" {
			continue
		}
		n++
		cached := a.PrefixTokens() / pieceTokens * pieceTokens
		m.prompt += float64(a.PromptTokens)
		m.uncached += float64(max(a.PromptTokens-cached, 1))
		m.output += float64(a.OutputTokens)
		m.pieces += math.Ceil(float64(a.PromptTokens+a.OutputTokens) / float64(pieceTokens))
	}
	m.modelShare = n / capacitySample
	m.prompt /= n
	m.uncached /= n
	m.output /= n
	m.pieces /= n
	return m
}
