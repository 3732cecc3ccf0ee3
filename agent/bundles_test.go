package agent

import (
	"crypto/ed25519"
	"fmt"

	"gotest.tools/v3/assert"

	"github.com/wardspool/wardspool/bundle"
	"github.com/wardspool/wardspool/config"
	"github.com/wardspool/wardspool/configservice"
	"github.com/wardspool/wardspool/ident"
)

// testContent is the content of version 1; other versions differ in one
// workspace.
const testContent = `
deployment: test
kinds:
  - {name: review, route: model, repeatable: true, deadline: 20s, first_output: 5s, pace: 200ms, default_output_tokens: 8}
models:
  - {name: reader, max_context: 8000, kv_bytes_per_token: 1000, piece_tokens: 100}
workspaces:
  - {name: default, weight: 1}
upstreams:
  - {id: pf-1, role: prefill, models: [reader], version: "1", checks_fencing: true, pieces: 400, prefill_tokens_per_second: 200000, link_bytes_per_second: 1000000000}
  - {id: dc-1, role: decode, models: [reader], version: "1", slots: 20, pieces: 2000, link_bytes_per_second: 1000000000, decode_step: 2ms, decode_step_per_request: 10us}
policy:
  slots: slots.none
  order: order.deadline
  admission: [admission.known]
  filters: [filter.role, filter.model, filter.leaving, filter.ejected]
  scorers: [{id: scorer.first_output, weight: 1}]
  queue_limit: 100
  retry_budget: 0.5
  max_attempts: 4
  retry_backoff: 10ms
  view_stale: 2s
  kv_lifetime: 900ms
  transfer_stall: 1s
`

// approver is the private key of the approver that the fleet trusts.
var approver = func() ed25519.PrivateKey {
	seed := bundle.DigestOf([]byte("test approver"))
	return ed25519.NewKeyFromSeed(seed[:])
}()

// approvers returns the trusted set.
func approvers() bundle.Approvers {
	var key bundle.PublicKey
	copy(key[:], approver.Public().(ed25519.PublicKey))
	return bundle.Approvers{Epoch: 1, Quorum: 1, Keys: []bundle.Approver{{Name: "ada", Key: key}}}
}

// content returns the content of a version.
func (f *fleet) content(version int) *config.Content {
	c, findings := bundle.ParseSource("test.yaml", []byte(testContent))
	assert.NilError(f.t, findings.Err())
	c.Workspaces = append(c.Workspaces, config.Workspace{Name: ident.Workspace(fmt.Sprintf("v-%d", version)), Weight: 1})
	return c
}

// build creates and signs the next bundle.
func (f *fleet) build(change func(*config.Content)) (*bundle.Head, *bundle.PartSet) {
	version := 1
	if f.head != nil {
		version = int(f.head.Manifest.Version) + 1
	}
	c := f.content(version)
	if change != nil {
		change(c)
	}
	h, parts, err := bundle.Build(bundle.Draft{Previous: f.head, Content: c, Approvers: approvers()})
	assert.NilError(f.t, err)
	h.AddSignature(bundle.Sign(approver, &h.Manifest))
	return h, parts
}

// publish builds the next bundle, publishes it and rolls it to all instances.
func (f *fleet) publish(change func(*config.Content)) *bundle.SignedRoll {
	h, parts := f.build(change)
	for _, d := range parts.Digests() {
		b, _ := parts.Part(d)
		f.platform.Put(configservice.KeyBundleParts+d.String(), b)
	}
	f.platform.Put(configservice.KeyBundleHead, h.Encode())
	f.sequence++
	r := &bundle.SignedRoll{
		Roll:   bundle.Roll{Format: bundle.Format, Sequence: f.sequence, Target: h.Ref(), Stage: bundle.StageAll},
		Target: *h, Base: f.head,
	}
	if f.head != nil {
		r.Roll.Base = f.head.Ref()
	}
	r.AddSignature(bundle.SignRoll(approver, &r.Roll))
	f.platform.Put(configservice.KeyRoll, r.Encode())
	f.head = h
	return r
}
