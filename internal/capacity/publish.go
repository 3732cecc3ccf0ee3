package main

import (
	"crypto/ed25519"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"

	"github.com/wardspool/wardspool/agent/wire"
	"github.com/wardspool/wardspool/bundle"
	"github.com/wardspool/wardspool/config"
	"github.com/wardspool/wardspool/configservice"
	"github.com/wardspool/wardspool/ident"
	"github.com/wardspool/wardspool/testbed"
)

// modelName is the model of the Coastline example. All engines run it.
const modelName = "manifest-reader"

// publisher acts as the operators: it builds, signs and publishes bundles.
type publisher struct {
	fleet      *fleet
	privateKey ed25519.PrivateKey
	publicKey  bundle.PublicKey
	approvers  bundle.Approvers
	content    *config.Content
	head       *bundle.Head
	sequence   uint64
	published  map[bundle.Digest][]byte
	// roll is the encoded roll published last.
	roll []byte
}

// newPublisher returns a publisher whose bundle content has the configured size.
func newPublisher(b *fleet) (*publisher, error) {
	public, private, err := ed25519.GenerateKey(nil)
	if err != nil {
		return nil, err
	}
	p := &publisher{fleet: b, privateKey: private, published: map[bundle.Digest][]byte{}}
	copy(p.publicKey[:], public)
	p.approvers = bundle.Approvers{Epoch: 1, Quorum: 1, Keys: []bundle.Approver{{Name: "ada", Key: p.publicKey}}}
	p.content, err = exampleContent(b)
	return p, err
}

// exampleContent returns the Coastline example, extended to the configured number of
// workspaces and upstreams. Running upstreams come first.
func exampleContent(b *fleet) (*config.Content, error) {
	root, err := testbed.ModuleRoot()
	if err != nil {
		return nil, err
	}
	file := filepath.Join(root, "examples", "coastline", "bundle.yaml")
	source, err := os.ReadFile(file)
	if err != nil {
		return nil, err
	}
	c, findings := bundle.ParseSource(file, source)
	if err := findings.Err(); err != nil {
		return nil, err
	}
	for i := len(c.Workspaces); i < b.options.Workspaces; i++ {
		c.Workspaces = append(c.Workspaces, config.Workspace{
			Name: ident.Workspace(fmt.Sprintf("franchise-%04d", i)), Weight: 1,
			RatePerSecond: 20, Burst: 40, Concurrency: 100, Models: []string{modelName},
		})
	}
	addUpstreams(c, b)
	return c, nil
}

// addUpstreams adds the running engines, then more upstreams up to the configured number.
func addUpstreams(c *config.Content, b *fleet) {
	sample := map[config.Role]config.Upstream{}
	for _, u := range c.Upstreams {
		sample[u.Role] = u
	}
	for i := range max(b.options.Declared, len(b.upstreams)) {
		role := config.RoleDecode
		if i < len(b.upstreams) {
			role = b.upstreams[i].Role
		}
		u := sample[role]
		u.ID = ident.UpstreamID(fmt.Sprintf("runner-%03d", i))
		u.Models, u.Adapters, u.Version, u.ChecksFencing = []string{modelName}, nil, "1", true
		c.Upstreams = append(c.Upstreams, u)
	}
}

// put publishes a value as a JSON document under key.
func (p *publisher) put(key string, v any) error {
	doc, err := json.Marshal(v)
	if err != nil {
		return err
	}
	p.fleet.platform.Put(key, doc)
	return nil
}

// publish builds and publishes the next version, which changes one workspace, and
// rolls it out to all instances.
func (p *publisher) publish() error {
	p.content.Workspaces[len(p.content.Workspaces)-1].Burst++
	h, parts, err := bundle.Build(bundle.Draft{Previous: p.head, Content: p.content, Approvers: p.approvers})
	if err != nil {
		return err
	}
	h.AddSignature(bundle.Sign(p.privateKey, &h.Manifest))
	for _, d := range parts.Digests() {
		if b, _ := parts.Part(d); p.published[d] == nil {
			p.fleet.platform.Put(configservice.KeyBundleParts+d.String(), b)
			p.published[d] = b
		}
	}
	p.fleet.platform.Put(configservice.KeyBundleHead, h.Encode())
	p.sequence++
	r := &bundle.SignedRoll{
		Roll:   bundle.Roll{Format: bundle.Format, Sequence: p.sequence, Target: h.Ref(), Stage: bundle.StageAll},
		Target: *h, Base: p.head,
	}
	if p.head != nil {
		r.Roll.Base = p.head.Ref()
	}
	r.AddSignature(bundle.SignRoll(p.privateKey, &r.Roll))
	p.roll = r.Encode()
	p.fleet.platform.Put(configservice.KeyRoll, p.roll)
	p.head = h
	return nil
}

// maxPartsBytes bounds the size of the parts in one reply, as agents do.
const maxPartsBytes = 128 << 10

// partsReply returns the requested parts, as many as fit into one reply.
func (p *publisher) partsReply(r wire.PartsRequest) wire.Parts {
	var out wire.Parts
	size := 0
	for _, d := range r.Digests {
		b := p.published[d]
		if size += len(b); b == nil || size > maxPartsBytes && len(out.Parts) > 0 {
			break
		}
		out.Parts = append(out.Parts, wire.Part{Digest: d, Bytes: b})
	}
	return out
}

// version returns the version published last.
func (p *publisher) version() uint64 { return p.head.Manifest.Version }
