package quarantine

import (
	"cmp"
	"encoding/binary"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

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

// HasUntold reports whether there is evidence that Fresh may return now or later.
func (r *Register) HasUntold() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.untold) > 0
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
