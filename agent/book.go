package agent

import (
	"github.com/wardspool/wardspool/configservice"
	"github.com/wardspool/wardspool/ident"
	"github.com/wardspool/wardspool/peer"
)

// book knows where processes are: from the settings and the platform's lists.
type book struct {
	instances map[ident.InstanceID]place
	upstreams map[ident.UpstreamID]configservice.Upstream
	lists     lists
}

// place is where an instance's processes take calls from peers.
type place struct {
	agent string
	entry string
	seed  bool
}

func newBook() book {
	return book{
		instances: map[ident.InstanceID]place{},
		upstreams: map[ident.UpstreamID]configservice.Upstream{},
	}
}

// seed takes in an instance that the settings name.
func (b *book) seed(s Seed) {
	b.instances[s.Instance] = place{agent: s.Address, entry: s.Entry, seed: true}
}

// list takes in the platform's list of instances. Those of the settings are kept
// where the list does not name them.
func (b *book) list(l *configservice.Instances) {
	next := make(map[ident.InstanceID]place, len(l.Instances))
	for id, p := range b.instances {
		if p.seed {
			next[id] = p
		}
	}
	for _, i := range l.Instances {
		next[i.ID] = place{agent: i.AgentAddress, entry: i.PeerAddress, seed: next[i.ID].seed}
	}
	b.instances = next
}

// listUpstreams takes in the platform's list of upstreams.
func (b *book) listUpstreams(l *configservice.Upstreams) {
	b.upstreams = make(map[ident.UpstreamID]configservice.Upstream, len(l.Upstreams))
	for _, u := range l.Upstreams {
		b.upstreams[u.ID] = u
	}
}

// knownSet is the instances that are believed.
type knownSet map[ident.InstanceID]struct{}

// publishKnown makes connections believe who is known now.
func (a *Agent) publishKnown() {
	set := make(knownSet, len(a.book.instances))
	for id := range a.book.instances {
		set[id] = struct{}{}
	}
	a.known.Store(&set)
}

// isKnown reports whether a peer is believed. Connections call it.
func (a *Agent) isKnown(id peer.Identity) bool {
	_, ok := (*a.known.Load())[id.Instance]
	return ok
}

// isOperator reports whether the settings name an operator's identity.
func (a *Agent) isOperator(id peer.Identity) bool {
	for _, name := range a.settings.Operators.Names {
		if name == id.Instance {
			return true
		}
	}
	return false
}
