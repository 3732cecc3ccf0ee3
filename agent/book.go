package agent

import (
	"github.com/wardspool/wardspool/configservice"
	"github.com/wardspool/wardspool/ident"
	"github.com/wardspool/wardspool/peer"
)

// directory holds the addresses of all known processes, from the settings and
// from the platform's lists.
type directory struct {
	instances map[ident.InstanceID]instanceAddresses
	upstreams map[ident.UpstreamID]configservice.Upstream
	lists     lists
}

// instanceAddresses holds the addresses at which an instance's processes accept
// calls from peers.
type instanceAddresses struct {
	agent string
	entry string
	seed  bool
}

func newDirectory() directory {
	return directory{
		instances: map[ident.InstanceID]instanceAddresses{},
		upstreams: map[ident.UpstreamID]configservice.Upstream{},
	}
}

// addSeed adds an instance that the settings name.
func (b *directory) addSeed(s Seed) {
	b.instances[s.Instance] = instanceAddresses{agent: s.Address, entry: s.Entry, seed: true}
}

// setInstances replaces the instances with those of the platform's list.
// Instances from the settings are kept if the list does not contain them.
func (b *directory) setInstances(l *configservice.Instances) {
	next := make(map[ident.InstanceID]instanceAddresses, len(l.Instances))
	for id, p := range b.instances {
		if p.seed {
			next[id] = p
		}
	}
	for _, i := range l.Instances {
		next[i.ID] = instanceAddresses{agent: i.AgentAddress, entry: i.PeerAddress, seed: next[i.ID].seed}
	}
	b.instances = next
}

// setUpstreams replaces the upstreams with those of the platform's list.
func (b *directory) setUpstreams(l *configservice.Upstreams) {
	b.upstreams = make(map[ident.UpstreamID]configservice.Upstream, len(l.Upstreams))
	for _, u := range l.Upstreams {
		b.upstreams[u.ID] = u
	}
}

// knownSet is the set of instances whose connections are accepted.
type knownSet map[ident.InstanceID]struct{}

// publishKnown updates the set of instances that connections accept.
func (a *Agent) publishKnown() {
	set := make(knownSet, len(a.directory.instances))
	for id := range a.directory.instances {
		set[id] = struct{}{}
	}
	a.known.Store(&set)
}

// isKnown reports whether a peer's connection is accepted. It is called outside
// the loop.
func (a *Agent) isKnown(id peer.Identity) bool {
	_, ok := (*a.known.Load())[id.Instance]
	return ok
}

// isOperator reports whether an identity is listed in the settings as an
// operator's.
func (a *Agent) isOperator(id peer.Identity) bool {
	for _, name := range a.settings.Operators.Names {
		if name == id.Instance {
			return true
		}
	}
	return false
}
