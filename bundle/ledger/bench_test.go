package ledger

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/wardspool/wardspool/bundle"
	"github.com/wardspool/wardspool/config"
	"github.com/wardspool/wardspool/ident"
)

// The bundle size that docs/CAPACITY.md plans for.
const (
	plannedWorkspaces = 3400
	plannedUpstreams  = 600
)

// enlarge grows the publisher's content to the planned size.
func (p *publisher) enlarge() {
	for i := range plannedWorkspaces {
		p.content.Workspaces = append(p.content.Workspaces, config.Workspace{
			Name: ident.Workspace(fmt.Sprintf("franchise-%04d", i)), Weight: 1,
			RatePerSecond: 20, Burst: 40, Concurrency: 100, Models: []string{"manifest-reader"},
		})
	}
	u := p.content.Upstreams[1]
	for i := range plannedUpstreams {
		u.ID = ident.UpstreamID(fmt.Sprintf("runner-%03d", i))
		p.content.Upstreams = append(p.content.Upstreams, u)
	}
}

// change holds the documents of one version.
type change struct {
	head *bundle.Head
	roll *bundle.SignedRoll
}

// changes builds n versions, each of which differs from the previous one in one
// workspace.
func (p *publisher) changes(n int) []change {
	var list []change
	var last *bundle.Head
	for i := range n {
		p.content.Workspaces[len(p.content.Workspaces)-1-i].Burst++
		head := p.build(last, 100, firstSet, "ada", "ben")
		list = append(list, change{head: head, roll: p.all(uint64(i+1), head, last, "ada", "ben")})
		last = head
	}
	return list
}

// benchVersions is the number of versions for which a benchmark builds documents.
const benchVersions = 20

// BenchmarkChange measures the ledger's work from receiving the head of a changed
// bundle to putting it into force. One workspace of 3,400 differs.
func BenchmarkChange(b *testing.B) {
	p := newPublisher(b)
	p.enlarge()
	changes := p.changes(benchVersions)
	var s *session
	next := len(changes)
	b.ReportAllocs()
	for b.Loop() {
		if next == len(changes) {
			b.StopTimer()
			s = newSession(b, p, testSettings("entry-1", "hall-a"), platform)
			s.applyChange(changes[0])
			next = 1
			b.StartTimer()
		}
		s.applyChange(changes[next])
		next++
	}
}

// applyChange puts a change into force by its head, parts and roll.
func (s *session) applyChange(c change) {
	s.step("head", HeadReceived{From: platform, Head: c.head})
	s.supplyParts(platform)
	s.step("roll", FloorReport{From: platform, Roll: c.roll})
	s.supplyParts(platform)
	assert.Equal(s.t, s.inForce(), c.head.Manifest.Version)
}
