// Package stats counts requests by outcome for each bundle version, for
// `wardspoolctl watch`.
package stats

import (
	"sort"
	"sync"

	"github.com/wardspool/wardspool/api"
	"github.com/wardspool/wardspool/entry/driver"
	"github.com/wardspool/wardspool/kernel"
)

// maxVersions is the maximum number of bundle versions kept; the oldest is dropped.
const maxVersions = 8

// Kind holds the counts of one kind of request.
type Kind struct {
	Kind string `json:"kind"`
	// Offered counts all requests that ended.
	Offered int64 `json:"offered"`
	// OnTime counts complete answers within the kind's targets: the goodput.
	OnTime int64 `json:"on_time"`
	// Complete, NotRun and Unknown count requests by outcome.
	Complete int64 `json:"complete"`
	NotRun   int64 `json:"not_run"`
	Unknown  int64 `json:"unknown"`
	// Tokens counts output tokens.
	Tokens int64 `json:"tokens"`
}

// Refusal counts the requests that were refused, failed or cancelled for one reason.
type Refusal struct {
	Step   kernel.Step   `json:"step"`
	Reason kernel.Reason `json:"reason"`
	Count  int64         `json:"count"`
}

// Version holds the counts of one bundle version.
type Version struct {
	Version  uint64    `json:"version"`
	Kinds    []Kind    `json:"kinds"`
	Refusals []Refusal `json:"refusals"`
	// PrefillTokens counts the prompt tokens computed, WastedTokens those among them
	// whose result was discarded.
	PrefillTokens int64 `json:"prefill_tokens"`
	WastedTokens  int64 `json:"wasted_tokens"`
}

// refusalKey identifies a Refusal.
type refusalKey struct {
	step   kernel.Step
	reason kernel.Reason
}

// version is a Version while it is being counted.
type version struct {
	kinds    map[string]*Kind
	refusals map[refusalKey]int64
	prefill  int64
	wasted   int64
}

// Collector counts requests by bundle version. It is safe for concurrent use.
type Collector struct {
	mu       sync.Mutex
	versions map[uint64]*version
}

// New returns an empty Collector.
func New() *Collector { return &Collector{versions: map[uint64]*version{}} }

// version returns the counts of a bundle version and creates them if necessary. The
// caller holds mu.
func (c *Collector) version(number uint64) *version {
	v := c.versions[number]
	if v == nil {
		v = &version{kinds: map[string]*Kind{}, refusals: map[refusalKey]int64{}}
		c.versions[number] = v
		c.prune()
	}
	return v
}

// prune drops the oldest version if there are more than maxVersions.
func (c *Collector) prune() {
	if len(c.versions) <= maxVersions {
		return
	}
	oldest, first := uint64(0), true
	for number := range c.versions {
		if first || number < oldest {
			oldest, first = number, false
		}
	}
	delete(c.versions, oldest)
}

// Ended counts a request that ended.
func (c *Collector) Ended(s driver.Summary) {
	c.mu.Lock()
	defer c.mu.Unlock()
	v := c.version(s.BundleVersion)
	k := v.kinds[s.Kind]
	if k == nil {
		k = &Kind{Kind: s.Kind}
		v.kinds[s.Kind] = k
	}
	k.Offered++
	k.Tokens += int64(s.Tokens)
	if s.OnTime {
		k.OnTime++
	}
	switch s.Outcome {
	case api.Complete:
		k.Complete++
	case api.NotRun:
		k.NotRun++
	default:
		k.Unknown++
	}
	v.prefill += int64(s.PrefillTokens)
	v.wasted += int64(s.WastedTokens)
}

// Decided counts a decision if it refused, failed or cancelled a request.
func (c *Collector) Decided(r *kernel.Record) {
	switch r.Step {
	case kernel.StepRefused, kernel.StepFailed, kernel.StepCancelled:
	default:
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.version(r.BundleVersion).refusals[refusalKey{r.Step, r.Reason}]++
}

// Versions returns the counts, in ascending order of version.
func (c *Collector) Versions() []Version {
	c.mu.Lock()
	defer c.mu.Unlock()
	out := make([]Version, 0, len(c.versions))
	for number, v := range c.versions {
		out = append(out, v.export(number))
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Version < out[j].Version })
	return out
}

// export returns a copy of the counts in a deterministic order.
func (v *version) export(number uint64) Version {
	out := Version{Version: number, PrefillTokens: v.prefill, WastedTokens: v.wasted}
	for _, k := range v.kinds {
		out.Kinds = append(out.Kinds, *k)
	}
	sort.Slice(out.Kinds, func(i, j int) bool { return out.Kinds[i].Kind < out.Kinds[j].Kind })
	for k, n := range v.refusals {
		out.Refusals = append(out.Refusals, Refusal{Step: k.step, Reason: k.reason, Count: n})
	}
	sort.Slice(out.Refusals, func(i, j int) bool {
		a, b := out.Refusals[i], out.Refusals[j]
		if a.Step != b.Step {
			return a.Step < b.Step
		}
		return a.Reason < b.Reason
	})
	return out
}
