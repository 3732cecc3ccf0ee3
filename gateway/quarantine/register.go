package quarantine

import (
	"cmp"
	"encoding/binary"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/wardspool/wardspool/gateway/dialect"
	"github.com/wardspool/wardspool/ident"
)

const (
	// mostCrashes is how many upstreams may crash under a content before it is quarantined.
	// Bystanders are rarely there so often: a crash takes a dozen streams with it, of which
	// those that come again are tried apart from the others and cleared as soon as they get
	// further than before.
	mostCrashes = 3
	// mostEarlyCrashes is the same for crashes under which the content had produced nothing
	// yet. A query of death crashes an engine at its first step; a stream of some 3 s is in
	// its first 0.1 s at one crash in thirty that have nothing to do with it, and twice in
	// a row at one in a thousand.
	mostEarlyCrashes = 2
	// quarantineFirst is how long a content is kept from all upstreams. Operators need that
	// long to see the alarm and look; each further crash doubles it.
	quarantineFirst = 10 * time.Minute
	// suspectFor is how long after its last crash a content is under suspicion: callers
	// repeat within their own time limits, of seconds to a minute.
	suspectFor = 10 * time.Minute
	// mostDoublings bounds the time of a quarantine, at 10 days.
	mostDoublings = 10
	// shareAfter is how long the evidence on a content that had got somewhere is kept to this
	// instance. Nearly all of it is of bystanders, eleven of twelve streams of an engine;
	// those that go on elsewhere are cleared within a few hundred ms, and need not be told of.
	shareAfter = time.Second
	// mostRemembered bounds the evidence that is kept: a hundred crashes with a dozen
	// requests each, 200 KB.
	mostRemembered = 1200
	// keptShare is the share of it that stays when it is full, so that not each further
	// piece looks through all.
	keptShare = 0.9
)

// Crash is the evidence that an upstream crashed while it had a content to run.
type Crash struct {
	Content Content
	// Upstream and Incarnation name what crashed.
	Upstream    ident.UpstreamID
	Incarnation ident.Incarnation
	// Made is how many events the content had brought from there.
	Made int
	// Cleared means that a later run of the content got further: the crash was not its.
	Cleared bool
	// Age is how long ago the crash was seen.
	Age time.Duration
}

// Standing says what may be done with a content.
type Standing int

// The standings.
const (
	// Clear contents have crashed nothing, as far as is known.
	Clear Standing = iota
	// Suspect contents ran where an upstream crashed: one attempt at a time is made, by
	// all instances together.
	Suspect
	// Quarantined contents are sent to no upstream.
	Quarantined
)

// String returns the name used in logs.
func (s Standing) String() string {
	switch s {
	case Suspect:
		return "suspect"
	case Quarantined:
		return "quarantined"
	default:
		return "clear"
	}
}

// Verdict is what the evidence says of a content.
type Verdict struct {
	Standing Standing
	// Crashes counts the upstreams that crashed under it, Early those of them under which
	// it had produced nothing.
	Crashes, Early int
	// Left is how much longer a quarantine lasts.
	Left time.Duration
	// Upstreams are those that crashed.
	Upstreams []ident.UpstreamID
}

// crash is a Crash with the time at which it was seen, on this instance's clock.
type crash struct {
	Crash
	at time.Time
	// shared evidence is that of all instances; forgotten evidence is of no use any more.
	shared, forgotten bool
}

// Register is what an instance knows of contents under which upstreams crashed, by its own
// attempts and from its peers. It is safe for concurrent use.
type Register struct {
	mu       sync.Mutex
	contents map[Content][]*crash
	size     int
	// digest tells sets of shared evidence apart: the sum of the hashes of all.
	digest uint64
	// untold is this instance's evidence that was not yet told to all others.
	untold []*crash
}

// NewRegister returns a register that knows nothing.
func NewRegister() *Register { return &Register{contents: map[Content][]*crash{}} }

// Crashed takes in that an upstream crashed while it had a content to run, after so many
// events, and reports whether that is news.
func (r *Register) Crashed(now time.Time, c Content, u dialect.Upstream, made int) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	k, news := r.take(now, Crash{Content: c, Upstream: u.ID, Incarnation: u.Incarnation, Made: made})
	if news {
		r.untold = append(r.untold, k)
	}
	return news
}

// take takes in a piece of evidence, and reports whether it is news. The caller holds mu.
func (r *Register) take(now time.Time, c Crash) (k *crash, news bool) {
	for _, known := range r.contents[c.Content] {
		if known.Upstream == c.Upstream && known.Incarnation == c.Incarnation {
			known.Cleared = known.Cleared || c.Cleared
			known.Made = max(known.Made, c.Made)
			return known, false
		}
	}
	k = &crash{Crash: c, at: now.Add(-c.Age)}
	r.contents[c.Content] = append(r.contents[c.Content], k)
	r.size++
	r.bound(now)
	return k, true
}

// share makes a piece of evidence that of all instances. The caller holds mu.
func (r *Register) share(k *crash) {
	if !k.shared && !k.forgotten {
		k.shared = true
		r.digest += hashOf(k.Crash)
	}
}

// hashOf tells pieces of evidence apart, whatever their age and whether they are cleared.
func hashOf(c Crash) uint64 {
	b := binary.BigEndian.AppendUint64(nil, uint64(c.Content))
	b = binary.BigEndian.AppendUint64(b, uint64(c.Incarnation))
	return xxhash.Sum64(append(b, c.Upstream...))
}

// Clear takes in that a run of a content made so many events at an upstream, or ended well:
// the crashes under which it had made fewer were not its.
func (r *Register) Clear(c Content, made int, ended bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, k := range r.contents[c] {
		if ended || made > k.Made {
			k.Cleared = true
		}
	}
}

// Verdict returns what is known of a content.
func (r *Register) Verdict(now time.Time, c Content) Verdict {
	r.mu.Lock()
	defer r.mu.Unlock()
	return verdictOf(now, r.contents[c])
}

// verdictOf weighs the evidence on one content.
func verdictOf(now time.Time, crashes []*crash) Verdict {
	var v Verdict
	var last time.Time
	for _, k := range crashes {
		if k.Cleared {
			continue
		}
		v.Crashes++
		if k.Made == 0 {
			v.Early++
		}
		if k.at.After(last) {
			last = k.at
		}
		v.Upstreams = append(v.Upstreams, k.Upstream)
	}
	v.Left = last.Add(v.quarantine()).Sub(now)
	switch {
	case v.Crashes == 0:
		return Verdict{}
	case v.quarantine() > 0 && v.Left > 0:
		v.Standing = Quarantined
	case now.Before(last.Add(v.quarantine() + suspectFor)):
		v.Standing, v.Left = Suspect, 0
	default:
		return Verdict{}
	}
	return v
}

// quarantine is how long after its last crash a content is quarantined, 0 if it is only
// suspect.
func (v Verdict) quarantine() time.Duration {
	if v.Crashes < mostCrashes && v.Early < mostEarlyCrashes {
		return 0
	}
	return quarantineFirst << min(mostDoublings, max(0, v.Crashes-mostCrashes))
}

// forgetAt is when the evidence on a content is of no use any more.
func forgetAt(crashes []*crash) time.Time {
	var last time.Time
	for _, k := range crashes {
		if k.at.After(last) {
			last = k.at
		}
	}
	return last.Add(verdictOf(last, crashes).quarantine() + suspectFor)
}

// Expire forgets what is of no use any more.
func (r *Register) Expire(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for c := range r.contents {
		r.expire(now, c)
	}
}

// expire forgets a content if what is known of it is of no use any more. The caller holds
// mu.
func (r *Register) expire(now time.Time, c Content) {
	if !now.Before(forgetAt(r.contents[c])) {
		r.forget(c)
	}
}

// forget drops a content. The caller holds mu.
func (r *Register) forget(c Content) {
	for _, k := range r.contents[c] {
		if k.shared {
			r.digest -= hashOf(k.Crash)
		}
		k.shared, k.forgotten = false, true
		r.size--
	}
	delete(r.contents, c)
}

// bound forgets contents when too much is remembered, down to keptShare: the clear ones
// first, then the suspects, of each the oldest; quarantined ones last. The caller holds mu.
func (r *Register) bound(now time.Time) {
	if r.size <= mostRemembered {
		return
	}
	weights := map[Content]weight{}
	for c, crashes := range r.contents {
		weights[c] = weightOf(now, crashes)
	}
	order := slices.SortedFunc(maps.Keys(weights), func(a, b Content) int { return weights[a].compare(weights[b]) })
	for _, c := range order {
		if float64(r.size) <= keptShare*mostRemembered {
			return
		}
		r.forget(c)
	}
}

// weight orders contents by how much it would cost to forget them.
type weight struct {
	standing Standing
	last     time.Time
}

func weightOf(now time.Time, crashes []*crash) weight {
	w := weight{standing: verdictOf(now, crashes).Standing}
	for _, k := range crashes {
		if k.at.After(w.last) {
			w.last = k.at
		}
	}
	return w
}

// compare orders the lighter one first.
func (w weight) compare(o weight) int {
	return cmp.Or(cmp.Compare(w.standing, o.standing), w.last.Compare(o.last))
}

// Digest tells apart what instances share; 0 if that is nothing.
func (r *Register) Digest() uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.digest
}

// mostTold bounds the evidence in one message, at some 35 bytes each.
const mostTold = 256

// Fresh returns this instance's evidence that is to be told to all others now; once.
func (r *Register) Fresh(now time.Time) []Crash {
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []Crash
	var later []*crash
	for _, k := range r.untold {
		switch {
		case k.Made > 0 && now.Sub(k.at) < shareAfter && !k.Cleared:
			later = append(later, k)
		case k.forgotten, k.Made > 0 && k.Cleared:
			// A bystander's: nobody else need know.
		default:
			r.share(k)
			out = append(out, k.told(now))
		}
	}
	r.untold = later
	return out
}

// told returns a piece of evidence as it is told to a peer.
func (k *crash) told(now time.Time) Crash {
	c := k.Crash
	c.Age = now.Sub(k.at)
	return c
}

// Tell returns the shared evidence: the newest, if there is too much.
func (r *Register) Tell(now time.Time) []Crash {
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []Crash
	for _, crashes := range r.contents {
		for _, k := range crashes {
			if k.shared {
				out = append(out, k.told(now))
			}
		}
	}
	slices.SortFunc(out, func(a, b Crash) int {
		return cmp.Or(cmp.Compare(a.Age, b.Age), cmp.Compare(a.Content, b.Content), cmp.Compare(a.Upstream, b.Upstream))
	})
	return out[:min(len(out), mostTold)]
}

// TellOf returns all evidence on a content, and shares it.
func (r *Register) TellOf(now time.Time, c Content) []Crash {
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []Crash
	for _, k := range r.contents[c] {
		r.share(k)
		out = append(out, k.told(now))
	}
	return out
}

// Hear takes in what a peer told, and returns what of it is news.
func (r *Register) Hear(now time.Time, told []Crash) []Crash {
	r.mu.Lock()
	defer r.mu.Unlock()
	var news []Crash
	for _, c := range told {
		k, isNews := r.take(now, c)
		r.share(k)
		if isNews {
			news = append(news, c)
		}
	}
	// What the sender was about to forget must not go round for ever.
	for _, c := range news {
		r.expire(now, c.Content)
	}
	return news
}

// Held is a content that is not clear, for operators.
type Held struct {
	Content  string `json:"content"`
	Standing string `json:"standing"`
	Crashes  int    `json:"crashes"`
	Early    int    `json:"early"`
	// LeftSeconds is how much longer a quarantine lasts.
	LeftSeconds float64            `json:"left_seconds"`
	Upstreams   []ident.UpstreamID `json:"upstreams"`
}

// Held returns the contents that are not clear, the worst first.
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
