package bundle

import (
	"crypto/ed25519"
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/wardspool/wardspool/config"
	"github.com/wardspool/wardspool/ident"
)

// testKey returns a private key that is derived from a name and therefore the same
// on every run.
func testKey(name string) ed25519.PrivateKey {
	seed := DigestOf([]byte("test key " + name))
	return ed25519.NewKeyFromSeed(seed[:])
}

// testApprovers returns an approver set with the test keys of the given names.
func testApprovers(epoch uint64, quorum int, names ...string) Approvers {
	a := Approvers{Epoch: epoch, Quorum: quorum}
	for _, name := range names {
		var key PublicKey
		copy(key[:], testKey(name).Public().(ed25519.PublicKey))
		a.Keys = append(a.Keys, Approver{Name: name, Key: key})
	}
	return a.Sorted()
}

var (
	oldSet = testApprovers(1, 2, "ada", "ben", "cyd")
	newSet = testApprovers(2, 2, "dan", "eve", "fay")
)

// testBuild builds a bundle from a draft and signs it with the keys of the named
// approvers. The content defaults to that of the coastline example.
func testBuild(t testing.TB, d Draft, signers ...string) (*Head, *PartSet) {
	t.Helper()
	if d.Content == nil {
		d.Content = readExample(t, "coastline")
	}
	h, parts, err := Build(d)
	assert.NilError(t, err)
	for _, name := range signers {
		h.AddSignature(Sign(testKey(name), &h.Manifest))
	}
	return h, parts
}

// largeContent returns the coastline example with 3,400 workspaces and 600
// upstreams added, which is the size that the users plan for.
func largeContent(t testing.TB) *config.Content {
	t.Helper()
	c := readExample(t, "coastline")
	for i := range 3400 {
		c.Workspaces = append(c.Workspaces, config.Workspace{
			Name: ident.Workspace(fmt.Sprintf("franchise-%04d", i)), Weight: 1,
			RatePerSecond: 20, Burst: 40, Concurrency: 100, Models: []string{"manifest-reader"},
		})
	}
	engine := c.Upstreams[1]
	for i := range 600 {
		u := engine
		u.ID = ident.UpstreamID(fmt.Sprintf("runner-%03d", i))
		c.Upstreams = append(c.Upstreams, u)
	}
	return c
}
