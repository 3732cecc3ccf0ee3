package quarantine

import (
	"cmp"
	"slices"
	"time"

	"github.com/wardspool/wardspool/ident"
)

// ContentStatus describes a content that is suspect or quarantined, for operators. See Verdict for
// the fields.
type ContentStatus struct {
	Content  string `json:"content"`
	Standing string `json:"standing"`
	Crashes  int    `json:"crashes"`
	Early    int    `json:"early"`
	// RemainingSeconds is the remaining time of a quarantine, 0 for a suspect content.
	RemainingSeconds float64            `json:"left_seconds"`
	Upstreams        []ident.UpstreamID `json:"upstreams"`
}

// List returns the contents that are suspect or quarantined, those with the most crashes first.
func (r *Register) List(now time.Time) []ContentStatus {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := []ContentStatus{}
	for c, crashes := range r.contents {
		v := verdictOf(now, crashes)
		if v.Standing == Clear {
			continue
		}
		out = append(out, ContentStatus{
			Content: c.String(), Standing: v.Standing.String(), Crashes: v.Crashes, Early: v.Early,
			RemainingSeconds: v.Remaining.Seconds(), Upstreams: v.Upstreams,
		})
	}
	slices.SortFunc(out, func(a, b ContentStatus) int {
		return cmp.Or(-cmp.Compare(a.Crashes, b.Crashes), cmp.Compare(a.Content, b.Content))
	})
	return out
}
