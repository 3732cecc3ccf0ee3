package quarantine

import (
	"cmp"
	"slices"
	"time"

	"github.com/wardspool/wardspool/ident"
)

// Held describes a content that is suspect or quarantined, for operators. See Verdict for the
// fields.
type Held struct {
	Content  string `json:"content"`
	Standing string `json:"standing"`
	Crashes  int    `json:"crashes"`
	Early    int    `json:"early"`
	// LeftSeconds is the remaining time of a quarantine, 0 for a suspect content.
	LeftSeconds float64            `json:"left_seconds"`
	Upstreams   []ident.UpstreamID `json:"upstreams"`
}

// Held returns the contents that are suspect or quarantined, those with the most crashes first.
func (r *Register) Held(now time.Time) []Held {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := []Held{}
	for c, crashes := range r.contents {
		v := verdictOf(now, crashes)
		if v.Standing == Clear {
			continue
		}
		out = append(out, Held{
			Content: c.String(), Standing: v.Standing.String(), Crashes: v.Crashes, Early: v.Early,
			LeftSeconds: v.Left.Seconds(), Upstreams: v.Upstreams,
		})
	}
	slices.SortFunc(out, func(a, b Held) int {
		return cmp.Or(-cmp.Compare(a.Crashes, b.Crashes), cmp.Compare(a.Content, b.Content))
	})
	return out
}
