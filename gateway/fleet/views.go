package fleet

import (
	"context"

	"github.com/wardspool/wardspool/gateway/dialect"
	"github.com/wardspool/wardspool/gateway/routing"
	"github.com/wardspool/wardspool/ident"
	"github.com/wardspool/wardspool/internal/clock"
	"github.com/wardspool/wardspool/peer"
)

// listLinkShare is the largest share of an instance's link that sending whole lists to peers may
// take. When all instances start at once, those that have received the list pass it on.
const listLinkShare = 0.4

// maxListBytesPerSecond bounds the same in bytes per second. With a higher rate, a reader that all
// instances of its zone ask at once would have no processor time left to answer any of them in
// time.
const maxListBytesPerSecond = 2 << 20

// ViewRequest asks a peer for its view.
type ViewRequest struct {
	// Digest is the digest of the requesting instance's list of upstreams.
	Digest uint64 `json:"digest"`
	// Whole asks for the whole list. It is set after a difference could not be applied.
	Whole bool `json:"whole,omitempty"`
}

// ViewAnswer is the answering instance's view. It contains only the version of the configuration,
// since a large configuration would delay the lists on a slow link.
type ViewAnswer struct {
	// Version is the version of the configuration in force, 0 if there is none.
	Version int64 `json:"version"`
	// ConfigAgeMS is the time, in milliseconds, since that version was last known to be the
	// newest in the store.
	ConfigAgeMS int64 `json:"config_age"`
	Listed      bool  `json:"listed,omitempty"`
	Revision    int64 `json:"revision"`
	AgeMS       int64 `json:"age"`
	// Evacuation is the evacuation in force.
	Evacuation routing.Evacuation `json:"evacuation"`
	// Digest is the digest of the list of upstreams.
	Digest uint64 `json:"digest"`
	// Same is set if the requesting instance has the same list. It can't tell by Revision, which
	// increases with each heartbeat of an upstream. Otherwise the answer holds either the
	// difference from the requesting instance's list, in Changed and Removed, or the whole list, in
	// Whole. Changed is encoded, Whole encoded and compressed. If all of these are empty, the
	// answering instance has just sent the whole list to many others, and the rate limit does not
	// allow sending it again.
	Same    bool               `json:"same,omitempty"`
	Changed []byte             `json:"changed,omitempty"`
	Removed []ident.UpstreamID `json:"gone,omitempty"`
	Whole   []byte             `json:"whole,omitempty"`
	// SoftwareVersions holds the software versions of the upstreams in Changed or Whole, encoded by
	// packVersions.
	SoftwareVersions []byte `json:"versions,omitempty"`
}

// unpack decodes the list in Changed or Whole, which packed holds decompressed. The error is a
// *PackError.
func (a *ViewAnswer) unpack(packed []byte) ([]dialect.Upstream, error) {
	list, err := unpackUpstreams(packed)
	if err != nil {
		return nil, err
	}
	return list, unpackVersions(a.SoftwareVersions, list)
}

// onView answers a peer's request for this instance's view.
func (n *Node) onView(_ context.Context, _ peer.Identity, request ViewRequest) (ViewAnswer, error) {
	s := n.Snapshot()
	answer := ViewAnswer{
		Version: s.Version(), ConfigAgeMS: n.ConfigAge().Milliseconds(), Evacuation: n.evacuation(),
		Listed: s.Listed, Revision: s.Revision, AgeMS: clock.Since(s.AsOf).Milliseconds(),
	}
	if !s.Listed {
		return answer, nil
	}
	answer.Digest = s.Digest()
	answer.Same = s.Digest() == request.Digest && !request.Whole
	if answer.Same {
		return answer, nil
	}
	if d, ok := n.differenceFor(request); ok {
		answer.Changed, answer.Removed = packUpstreams(d.Changed), d.Removed
		answer.SoftwareVersions = packVersions(d.Changed)
		return answer, nil
	}
	var err error
	answer.Whole, answer.SoftwareVersions, err = n.wholeList(s)
	return answer, err
}

// differenceFor returns the difference from the list that a peer has. It returns false if the
// peer asked for the whole list or if the view cannot compute the difference.
func (n *Node) differenceFor(request ViewRequest) (Difference, bool) {
	if request.Whole {
		return Difference{}, false
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.view.DifferenceFrom(request.Digest)
}

// wholeList returns the encoded list for a peer, and the encoded software versions. Each version of the
// list is encoded once. It returns nil if so many peers have just received the list that the link is
// used up for the moment.
func (n *Node) wholeList(s *Snapshot) (list, softwareVersions []byte, err error) {
	n.packMu.Lock()
	defer n.packMu.Unlock()
	if n.packedList == nil || n.packedListDigest != s.Digest() {
		all := s.All()
		packed, err := compress(packUpstreams(all))
		if err != nil {
			return nil, nil, err
		}
		n.packedList, n.packedVersions, n.packedListDigest = packed, packVersions(all), s.Digest()
	}
	rate := min(listLinkShare*n.opts.linkBytes(), maxListBytesPerSecond)
	n.listSendLimit.Fill(clock.Now(), rate, rate, rate)
	if n.listSendLimit.Tokens <= 0 {
		return nil, nil, nil
	}
	n.listSendLimit.Tokens -= float64(len(n.packedList) + len(n.packedVersions))
	return n.packedList, n.packedVersions, nil
}

// DigestMismatchError reports that a difference does not produce the list with the expected digest.
type DigestMismatchError struct{}

// Error implements error.
func (*DigestMismatchError) Error() string {
	return "applying difference to list of upstreams: resulting list has an unexpected digest"
}

// hasDifference reports whether the answer holds a difference.
func (a *ViewAnswer) hasDifference() bool {
	return !a.Same && a.Whole == nil && (a.Changed != nil || a.Removed != nil)
}

// list returns the list of an answer, where s is the snapshot whose digest was in the request. It
// returns nil if the answer holds no list. The error is a *DigestMismatchError, a *PackError or
// that of decompressing the list.
func (a *ViewAnswer) list(s *Snapshot) ([]dialect.Upstream, error) {
	switch {
	case a.Same:
		return s.All(), nil
	case a.Whole != nil:
		packed, err := decompress(a.Whole)
		if err != nil {
			return nil, err
		}
		return a.unpack(packed)
	case !a.hasDifference():
		return nil, nil
	}
	changed, err := a.unpack(a.Changed)
	if err != nil {
		return nil, err
	}
	list := Difference{Changed: changed, Removed: a.Removed}.apply(s.All())
	if listDigest(list) != a.Digest {
		return nil, &DigestMismatchError{}
	}
	return list, nil
}
