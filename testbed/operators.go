package testbed

import (
	"context"
	"crypto/ed25519"

	"github.com/wardspool/wardspool/bundle"
	"github.com/wardspool/wardspool/config"
	"github.com/wardspool/wardspool/configservice"
	"github.com/wardspool/wardspool/ident"
	"github.com/wardspool/wardspool/standin/control"
)

// BundlePublisher signs and publishes bundles, as a deployment's operators do with
// wardspoolctl and the platform's own tools.
type BundlePublisher struct {
	// Platform is the stand-in platform to which bundles are published.
	Platform control.Client

	key      ed25519.PrivateKey
	head     *bundle.Head
	base     *bundle.Head
	sequence uint64
}

// NewBundlePublisher returns a BundlePublisher whose signing key is derived from seed, so that
// it is reproducible.
func NewBundlePublisher(platformAddress, seed string) *BundlePublisher {
	digest := bundle.DigestOf([]byte(seed))
	return &BundlePublisher{
		Platform: control.Client{Address: platformAddress},
		key:      ed25519.NewKeyFromSeed(digest[:]),
	}
}

// Approvers returns the approver set that instances are to trust.
func (o *BundlePublisher) Approvers() bundle.Approvers {
	var key bundle.PublicKey
	copy(key[:], o.key.Public().(ed25519.PublicKey))
	return bundle.Approvers{Epoch: 1, Quorum: 1, Keys: []bundle.Approver{{Name: "ada", Key: key}}}
}

// Version returns the newest published version, 0 if there is none.
func (o *BundlePublisher) Version() uint64 {
	if o.head == nil {
		return 0
	}
	return o.head.Manifest.Version
}

// Publish builds, signs and publishes the next version. No instance applies it
// before it is rolled.
func (o *BundlePublisher) Publish(ctx context.Context, c *config.Content) error {
	head, parts, err := bundle.Build(bundle.Draft{Previous: o.head, Content: c, Approvers: o.Approvers()})
	if err != nil {
		return err
	}
	head.AddSignature(bundle.Sign(o.key, &head.Manifest))
	for _, d := range parts.Digests() {
		part, _ := parts.Part(d)
		if err := o.Platform.PutKey(ctx, configservice.KeyBundleParts+d.String(), part); err != nil {
			return err
		}
	}
	if err := o.Platform.PutKey(ctx, configservice.KeyBundleHead, head.Encode()); err != nil {
		return err
	}
	o.head = head
	return nil
}

// RollAll rolls the newest version out to every instance.
func (o *BundlePublisher) RollAll(ctx context.Context) error {
	if err := o.roll(ctx, bundle.Roll{Stage: bundle.StageAll}); err != nil {
		return err
	}
	o.base = o.head
	return nil
}

// RollZones rolls the newest version out to the given zones.
func (o *BundlePublisher) RollZones(ctx context.Context, zones ...ident.Zone) error {
	return o.roll(ctx, bundle.Roll{Stage: bundle.StageCanary, Zones: zones, Share: bundle.FullShare})
}

func (o *BundlePublisher) roll(ctx context.Context, r bundle.Roll) error {
	o.sequence++
	r.Format = bundle.Format
	r.Sequence = o.sequence
	r.Target = o.head.Ref()
	signed := &bundle.SignedRoll{Roll: r, Target: *o.head}
	if o.base != nil {
		signed.Roll.Base = o.base.Ref()
		signed.Base = o.base
	}
	signed.AddSignature(bundle.SignRoll(o.key, &signed.Roll))
	return o.Platform.PutKey(ctx, configservice.KeyRoll, signed.Encode())
}
