package quarantine

import (
	"cmp"
	"slices"
	"time"

	"github.com/wardspool/wardspool/ident"
)

// ContentStatus describes a content or a part of prompts that is suspect or quarantined, for
// operators. See Verdict for the fields.
type ContentStatus struct {
	Content string `json:"content"`
	// Part means that Content is the hash of a part.
	Part     bool   `json:"part,omitempty"`
	Standing string `json:"standing"`
	Crashes  int    `json:"crashes"`
	Early    int    `json:"early"`
	// RemainingSeconds is the remaining time of a quarantine, 0 for a suspect content.
	RemainingSeconds float64            `json:"left_seconds"`
	Upstreams        []ident.UpstreamID `json:"upstreams"`
}

// List returns the contents and parts that are suspect or quarantined, a part once for each service,
// those with the most crashes first.
func (r *Register) List(now time.Time) []ContentStatus {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := []ContentStatus{}
	add := func(name string, v Verdict) {
		if v.Standing != Clear {
			out = append(out, ContentStatus{
				Content: name, Part: v.Part != 0, Standing: v.Standing.String(), Crashes: v.Crashes, Early: v.Early,
				RemainingSeconds: v.Remaining.Seconds(), Upstreams: v.Upstreams,
			})
		}
	}
	for c, crashes := range r.contents {
		add(c.String(), verdictOf(now, crashes))
	}
	for p := range r.byPart {
		for _, service := range r.servicesOf(p) {
			if service != p {
				add(p.String(), r.partVerdict(now, servicePart{service, p}))
			}
		}
	}
	slices.SortFunc(out, func(a, b ContentStatus) int {
		return cmp.Or(-cmp.Compare(a.Crashes, b.Crashes), cmp.Compare(a.Content, b.Content))
	})
	return out
}
