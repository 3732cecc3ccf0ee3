package e2e

import (
	"crypto/ed25519"
	"slices"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/wardspool/wardspool/bundle"
	"github.com/wardspool/wardspool/bundle/ledger"
	"github.com/wardspool/wardspool/config"
	"github.com/wardspool/wardspool/configservice"
)

// signer builds, signs and publishes bundles with the operators' key. Unlike the
// testbed's operators, it can sign two different bundles of the same version.
type signer struct {
	*bed
	key ed25519.PrivateKey
}

// signer returns a signer with the testbed operators' key.
func (b *bed) signer() *signer {
	seed := bundle.DigestOf([]byte("testbed " + b.Deployment.Name))
	return &signer{bed: b, key: ed25519.NewKeyFromSeed(seed[:])}
}

// draft is a signed bundle that is not published yet.
type draft struct {
	head  *bundle.Head
	parts *bundle.PartSet
}

// sign builds and signs a bundle.
func (s *signer) sign(d bundle.Draft) draft {
	s.t.Helper()
	d.Approvers = s.Operators.Approvers()
	head, parts, err := bundle.Build(d)
	assert.NilError(s.t, err)
	head.AddSignature(bundle.Sign(s.key, &head.Manifest))
	return draft{head: head, parts: parts}
}

// publish publishes a bundle and a roll of it to all instances with the given
// sequence number.
func (s *signer) publish(d draft, base *bundle.Head, sequence uint64) {
	s.t.Helper()
	put := func(key string, value []byte) {
		assert.NilError(s.t, s.Operators.Platform.PutKey(s.ctx, key, value))
	}
	for _, digest := range d.parts.Digests() {
		part, _ := d.parts.Part(digest)
		put(configservice.KeyBundleParts+digest.String(), part)
	}
	put(configservice.KeyBundleHead, d.head.Encode())
	roll := bundle.Roll{
		Format: bundle.Format, Sequence: sequence, Stage: bundle.StageAll,
		Target: d.head.Ref(), Base: base.Ref(),
	}
	signed := &bundle.SignedRoll{Roll: roll, Target: *d.head, Base: base}
	signed.AddSignature(bundle.SignRoll(s.key, &signed.Roll))
	put(configservice.KeyRoll, signed.Encode())
}

// differingContent returns a copy of the content with a different queue limit.
func differingContent(c *config.Content) *config.Content {
	rival := *c
	rival.Policy.QueueLimit++
	return &rival
}

// awaitAlarm waits until the agents of all instances raise an alarm of one of the
// given types.
func (b *bed) awaitAlarm(types ...ledger.AlarmType) {
	b.t.Helper()
	b.eventually("an alarm", func() (bool, string) {
		f := b.fleetStatus()
		for _, in := range b.Instances {
			s := findStatus(f, in.ID)
			if s == nil {
				return false, string(in.ID) + " does not answer"
			}
			raised := false
			for _, a := range s.Alarms {
				raised = raised || slices.Contains(types, a.Type)
			}
			if !raised {
				return false, string(in.ID) + " raises no such alarm"
			}
		}
		return true, ""
	})
}

// TestRacingOperators has two operators sign and roll different bundles of the
// same version. No instance may revert or change from one of the bundles to the
// other, the instances must raise an alarm, and the next version must resolve the
// conflict.
func TestRacingOperators(t *testing.T) {
	t.Run("with the same sequence", func(t *testing.T) { racingOperators(t, 2, 2, false) })
	t.Run("with a higher sequence", func(t *testing.T) { racingOperators(t, 2, 3, false) })
	t.Run("at the same time", func(t *testing.T) { racingOperators(t, 2, 2, true) })
}

func racingOperators(t *testing.T, first, second uint64, sameTime bool) {
	b := newBed(t)
	s := b.signer()
	w := b.watchBundles()
	b.awaitVersion(1, b.Instances...)

	content := b.Deployment.Content
	base := s.sign(bundle.Draft{Content: content})
	one := s.sign(bundle.Draft{Previous: base.head, Content: content})
	two := s.sign(bundle.Draft{Previous: base.head, Content: differingContent(content)})
	assert.Equal(t, one.head.Ref().Version, two.head.Ref().Version)
	assert.Assert(t, one.head.Ref() != two.head.Ref())

	s.publish(one, base.head, first)
	if !sameTime {
		b.awaitVersion(2, b.Instances...)
	}
	s.publish(two, base.head, second)
	b.awaitVersion(2, b.Instances...)
	b.requireAnswers(2, b.Instances...)
	// When both are published at the same time, instances may not see the first
	// one at all.
	if !sameTime {
		b.awaitAlarm(ledger.AlarmSplitVersion, ledger.AlarmSplitRoll)
		assert.DeepEqual(t, b.digests(), []string{one.head.Ref().Digest.String()})
	}

	next := s.sign(bundle.Draft{
		Previous: one.head, Content: content,
		Supersedes: []bundle.Digest{two.head.Ref().Digest},
	})
	s.publish(next, one.head, second+1)
	b.awaitVersion(3, b.Instances...)
	b.requireAnswers(3, b.Instances...)
	assert.DeepEqual(t, b.digests(), []string{next.head.Ref().Digest.String()})
	w.requireNoRevert()
}

// digests returns the distinct digests of the bundles in force on the instances.
func (b *bed) digests() []string {
	var list []string
	f := b.fleetStatus()
	for i := range f.Agents {
		if d := f.Agents[i].Bundle.Digest; !slices.Contains(list, d) {
			list = append(list, d)
		}
	}
	return list
}
