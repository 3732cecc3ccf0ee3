package ledger

import (
	"crypto/ed25519"
	"os"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/wardspool/wardspool/bundle"
	"github.com/wardspool/wardspool/config"
	"github.com/wardspool/wardspool/ident"
)

var (
	epoch    = time.Date(2026, 1, 5, 8, 0, 0, 0, time.UTC)
	platform = Source{Kind: SourcePlatform}
	preload  = Source{Kind: SourcePreload}
	engine   = Source{Kind: SourceUpstream, Name: "hall-a-decode-1"}

	firstSet  = approverSet("ada", "ben", "cyd")
	secondSet = approverSet("dan", "eve", "fay")
	attackers = approverSet("mal", "mat")
)

func peer(name string) Source { return Source{Kind: SourcePeer, Name: name} }

func testKey(name string) ed25519.PrivateKey {
	seed := bundle.DigestOf([]byte("test key " + name))
	return ed25519.NewKeyFromSeed(seed[:])
}

// approverSet returns a set of approvers of epoch 1 with a quorum of two.
func approverSet(names ...string) bundle.Approvers {
	a := bundle.Approvers{Epoch: 1, Quorum: 2}
	for _, name := range names {
		var key bundle.PublicKey
		copy(key[:], testKey(name).Public().(ed25519.PublicKey))
		a.Keys = append(a.Keys, bundle.Approver{Name: name, Key: key})
	}
	return a
}

// publisher builds the documents of a test and stores all their parts.
type publisher struct {
	t       testing.TB
	content config.Content
	parts   map[bundle.Digest][]byte
}

func newPublisher(t testing.TB) *publisher {
	t.Helper()
	name := "../../examples/coastline/bundle.yaml"
	b, err := os.ReadFile(name)
	assert.NilError(t, err)
	content, findings := bundle.ParseSource(name, b)
	assert.NilError(t, findings.Err())
	return &publisher{t: t, content: *content, parts: map[bundle.Digest][]byte{}}
}

// Part implements bundle.PartSource.
func (p *publisher) Part(d bundle.Digest) ([]byte, bool) {
	b, ok := p.parts[d]
	return b, ok
}

// build builds and signs the bundle that follows previous. The queue limit makes
// bundles of one version differ.
func (p *publisher) build(previous *bundle.Head, queue int, set bundle.Approvers, signers ...string) *bundle.Head {
	p.t.Helper()
	return p.draft(bundle.Draft{Previous: previous, Approvers: set}, queue, signers...)
}

func (p *publisher) draft(d bundle.Draft, queue int, signers ...string) *bundle.Head {
	p.t.Helper()
	content := p.content
	content.Policy.QueueLimit = queue
	d.Content = &content
	h, parts, err := bundle.Build(d)
	assert.NilError(p.t, err)
	for _, digest := range parts.Digests() {
		p.parts[digest], _ = parts.Part(digest)
	}
	for _, name := range signers {
		h.AddSignature(bundle.Sign(testKey(name), &h.Manifest))
	}
	return h
}

// roll builds and signs a roll, with the references of target and base filled in.
func (p *publisher) roll(r bundle.Roll, target, base *bundle.Head, signers ...string) *bundle.SignedRoll {
	p.t.Helper()
	r.Format, r.Target = bundle.Format, target.Ref()
	if base != nil {
		r.Base = base.Ref()
	}
	s := &bundle.SignedRoll{Roll: r, Target: *target, Base: base}
	for _, name := range signers {
		s.AddSignature(bundle.SignRoll(testKey(name), &s.Roll))
	}
	// The documents of events must be as returned by the decoder.
	decoded, err := bundle.DecodeRoll(s.Encode())
	assert.NilError(p.t, err)
	return decoded
}

func (p *publisher) all(sequence uint64, target, base *bundle.Head, signers ...string) *bundle.SignedRoll {
	p.t.Helper()
	return p.roll(bundle.Roll{Sequence: sequence, Stage: bundle.StageAll}, target, base, signers...)
}

func (p *publisher) canary(sequence uint64, target, base *bundle.Head, zone ident.Zone, signers ...string) *bundle.SignedRoll {
	p.t.Helper()
	r := bundle.Roll{Sequence: sequence, Stage: bundle.StageCanary, Zones: []ident.Zone{zone}, Share: bundle.FullShare}
	return p.roll(r, target, base, signers...)
}

// partsFor returns the available parts with the given digests.
func (p *publisher) partsFor(digests []bundle.Digest) []bundle.Part {
	var parts []bundle.Part
	for _, d := range digests {
		if b, ok := p.parts[d]; ok {
			parts = append(parts, bundle.Part{Digest: d, Bytes: b})
		}
	}
	return parts
}

func testSettings(instance ident.InstanceID, zone ident.Zone) Settings {
	return Settings{Instance: instance, Zone: zone, Approvers: firstSet}
}
