package fleet

import (
	"context"

	"github.com/wardspool/wardspool/gateway/dialect"
	"github.com/wardspool/wardspool/gateway/routing"
	"github.com/wardspool/wardspool/ident"
	"github.com/wardspool/wardspool/internal/clock"
	"github.com/wardspool/wardspool/peer"
)

// listShare is the part of an instance's link that whole lists for its peers may take: when
// all instances start at once, those that have it already pass it on.
const listShare = 0.4

// mostListBytes bounds the same in bytes a second: with more, a reader that all of its zone ask
// at once has no processor time left to answer any of them in time.
const mostListBytes = 2 << 20

// ViewRequest says what the asking instance has.
type ViewRequest struct {
	// Digest is that of its list of upstreams.
	Digest uint64 `json:"digest"`
	// Whole asks for the whole list: a difference did not fit.
	Whole bool `json:"whole,omitempty"`
}

// ViewAnswer is what the asked instance knows. It names the configuration only: a large one
// would hold up the lists on a slow link.
type ViewAnswer struct {
	// Version is that of the configuration in force, 0 if there is none.
	Version int64 `json:"version"`
	// ConfigAgeMS is how long ago the store was last known to have none newer.
	ConfigAgeMS int64 `json:"config_age"`
	Listed      bool  `json:"listed,omitempty"`
	Revision    int64 `json:"revision"`
	AgeMS       int64 `json:"age"`
	// Evacuation is the evacuation in force.
	Evacuation routing.Evacuation `json:"evacuation"`
	// Digest is that of the list of upstreams.
	Digest uint64 `json:"digest"`
	// Same means that the asking instance has the list: the store's revision rises with each
	// heartbeat of an upstream. Otherwise Changed and Gone are the difference from what it
	// has, packed; or Whole is the whole list, packed and compressed. None of these means that
	// the asked instance has sent the whole list to many just now.
	Same    bool               `json:"same,omitempty"`
	Changed []byte             `json:"changed,omitempty"`
	Gone    []ident.UpstreamID `json:"gone,omitempty"`
	Whole   []byte             `json:"whole,omitempty"`
}

// onView tells a peer what is newer here.
func (n *Node) onView(_ context.Context, _ peer.Identity, q ViewRequest) (ViewAnswer, error) {
	s := n.Snapshot()
	answer := ViewAnswer{
		Version: s.Version(), ConfigAgeMS: n.ConfigAge().Milliseconds(), Evacuation: n.evacuation(),
		Listed: s.Listed, Revision: s.Revision, AgeMS: clock.Since(s.AsOf).Milliseconds(),
	}
	if !s.Listed {
		return answer, nil
	}
	answer.Digest = s.Digest()
	answer.Same = s.Digest() == q.Digest && !q.Whole
	if answer.Same {
		return answer, nil
	}
	if d, ok := n.since(q); ok {
		answer.Changed, answer.Gone = packUpstreams(d.Changed), d.Gone
		return answer, nil
	}
	whole, err := n.wholeList(s)
	answer.Whole = whole
	return answer, err
}

// since returns the difference from the list that a peer has.
func (n *Node) since(q ViewRequest) (Difference, bool) {
	if q.Whole {
		return Difference{}, false
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.view.Since(q.Digest)
}

// wholeList returns the list as peers get it, packed once for all of them; nil if so many
// have got it just now that the others would wait for long.
func (n *Node) wholeList(s *Snapshot) ([]byte, error) {
	n.packing.Lock()
	defer n.packing.Unlock()
	if n.packedList == nil || n.packedDigest != s.Digest() {
		packed, err := compress(packUpstreams(s.All()))
		if err != nil {
			return nil, err
		}
		n.packedList, n.packedDigest = packed, s.Digest()
	}
	rate := min(listShare*n.o.linkBytes(), mostListBytes)
	n.sending.Fill(clock.Now(), rate, rate, rate)
	if n.sending.Tokens <= 0 {
		return nil, nil
	}
	n.sending.Tokens -= float64(len(n.packedList))
	return n.packedList, nil
}

// MisfitError reports a difference that doesn't make the list that it should.
type MisfitError struct{}

// Error implements error.
func (*MisfitError) Error() string { return "a difference between lists does not fit" }

// hasDifference reports whether the answer holds a difference.
func (a *ViewAnswer) hasDifference() bool {
	return !a.Same && a.Whole == nil && (a.Changed != nil || a.Gone != nil)
}

// list returns the list of an answer to the one who has a snapshot; nil if there is none. The
// error is a *MisfitError, a *PackError or the decoder's.
func (a *ViewAnswer) list(s *Snapshot) ([]dialect.Upstream, error) {
	switch {
	case a.Same:
		return s.All(), nil
	case a.Whole != nil:
		packed, err := expand(a.Whole)
		if err != nil {
			return nil, err
		}
		return unpackUpstreams(packed)
	case !a.hasDifference():
		return nil, nil
	}
	changed, err := unpackUpstreams(a.Changed)
	if err != nil {
		return nil, err
	}
	list := Difference{Changed: changed, Gone: a.Gone}.apply(s.All())
	if digestOf(list) != a.Digest {
		return nil, &MisfitError{}
	}
	return list, nil
}
