package agent

import (
	"bytes"
	"compress/gzip"
	"context"
	"io"
	"time"

	"github.com/wardspool/wardspool/agent/wire"
	"github.com/wardspool/wardspool/configservice"
	"github.com/wardspool/wardspool/ident"
	"github.com/wardspool/wardspool/membership"
	"github.com/wardspool/wardspool/peer"
)

// list is the newest version of a platform list known to this instance, in the
// form in which it is relayed to peers.
type list struct {
	index uint64
	// readStartedAt is when the read of the list from the platform started.
	readStartedAt time.Time
	gzip          []byte
}

// lists holds the platform's lists.
type lists struct {
	instances list
	upstreams list
	// fetching is set while lists are being fetched from a peer.
	fetching bool
}

// of returns the list stored under a platform key.
func (l *lists) of(key string) *list {
	if key == configservice.KeyInstances {
		return &l.instances
	}
	return &l.upstreams
}

// applyPlatformList applies a list read from the platform.
func (a *Agent) applyPlatformList(key string, started time.Time, index uint64, doc []byte) {
	if l := a.directory.lists.of(key); index < l.index {
		return
	} else if index == l.index {
		l.readStartedAt = started
		a.machine.ListsConfirmed(a.now, started)
		return
	}
	if !a.applyList(key, started, index, doc) {
		return
	}
	a.storeList(key, list{index: index, readStartedAt: started, gzip: compress(doc)}, false)
}

// storeList stores a list for relaying and notifies the peers.
func (a *Agent) storeList(key string, l list, relayed bool) {
	*a.directory.lists.of(key) = l
	a.platform.indexes[key] = max(a.platform.indexes[key], l.index)
	a.refreshView()
	a.updateSourceSet()
	a.scheduleRevisions(relayed)
}

// applyList decodes a list and passes it to the membership machine. It returns
// false if the document is malformed or outdated.
func (a *Agent) applyList(key string, started time.Time, index uint64, doc []byte) bool {
	if key == configservice.KeyInstances {
		return a.applyInstances(started, index, doc)
	}
	return a.applyUpstreams(started, index, doc)
}

// rejectList counts and logs a malformed list; the previous one stays in use.
func (a *Agent) rejectList(key string, index uint64, err error) bool {
	a.counters.Refused++
	a.log.Warn("list rejected", "key", key, "index", index, "error", err)
	return false
}

// logLeftOut counts the entries of a list that could not be decoded, and logs the first one.
func (a *Agent) logLeftOut(key string, index uint64, left []error) {
	if len(left) == 0 {
		return
	}
	a.counters.Refused++
	a.log.Warn("entries of list left out", "key", key, "index", index, "entries", len(left), "error", left[0])
}

// applyInstances applies the list of instances.
func (a *Agent) applyInstances(started time.Time, index uint64, doc []byte) bool {
	l, left, err := configservice.DecodeInstances(doc)
	if err != nil {
		return a.rejectList(configservice.KeyInstances, index, err)
	}
	a.logLeftOut(configservice.KeyInstances, index, left)
	listed := make([]membership.ListedInstance, len(l.Instances))
	for i, x := range l.Instances {
		listed[i] = membership.ListedInstance{
			ID: x.ID, Zone: x.Zone, Address: x.AgentAddress, Leaving: x.State == configservice.StateLeaving,
		}
	}
	if !a.machine.ApplyInstanceList(a.now, started, index, listed) {
		return false
	}
	before := a.directory.instances
	a.directory.setInstances(&l)
	a.publishKnown()
	a.forgetInstances(before)
	return true
}

// forgetInstances drops the state of instances that are no longer known, and the
// connections to addresses no longer in use.
func (a *Agent) forgetInstances(before map[ident.InstanceID]instanceAddresses) {
	for id, old := range before {
		now, known := a.directory.instances[id]
		if !known {
			delete(a.partners, id)
		}
		if old.agent != "" && old.agent != now.agent {
			a.forgetAddress(old.agent)
		}
		if old.entry != "" && old.entry != now.entry {
			a.forgetAddress(old.entry)
		}
	}
}

// forgetAddress closes the connection to an address. It does so outside the loop,
// because closing may block on the network.
func (a *Agent) forgetAddress(address string) {
	a.spawn(func(context.Context) { a.peers.Forget(address) })
}

// applyUpstreams applies the list of upstreams.
func (a *Agent) applyUpstreams(started time.Time, index uint64, doc []byte) bool {
	l, left, err := configservice.DecodeUpstreams(doc)
	if err != nil {
		return a.rejectList(configservice.KeyUpstreams, index, err)
	}
	a.logLeftOut(configservice.KeyUpstreams, index, left)
	listed := make([]membership.ListedUpstream, len(l.Upstreams))
	for i, x := range l.Upstreams {
		listed[i] = membership.ListedUpstream{
			ID: x.ID, Zone: x.Zone, Address: x.Address,
			Incarnation: x.Incarnation, Leaving: x.State == configservice.StateLeaving,
			SoftwareVersion: x.SoftwareVersion,
		}
	}
	if !a.machine.ApplyUpstreamList(a.now, started, index, listed) {
		return false
	}
	a.directory.setUpstreams(&l)
	for id := range a.feed.incarnations {
		if _, listed := a.directory.upstreams[id]; !listed {
			delete(a.feed.incarnations, id)
		}
	}
	return true
}

// compress returns a document compressed with gzip.
func compress(doc []byte) []byte {
	var b bytes.Buffer
	w := gzip.NewWriter(&b)
	// Writes to a buffer never fail.
	_, _ = w.Write(doc)
	_ = w.Close()
	return b.Bytes()
}

// decompress reverses compress. Errors are those of package gzip and
// *configservice.TooLargeError.
func decompress(key string, b []byte) ([]byte, error) {
	r, err := gzip.NewReader(bytes.NewReader(b))
	if err != nil {
		return nil, err
	}
	doc, err := io.ReadAll(io.LimitReader(r, configservice.MaxValue+1))
	if err != nil {
		return nil, err
	}
	if len(doc) > configservice.MaxValue {
		return nil, &configservice.TooLargeError{Key: key, Limit: configservice.MaxValue}
	}
	return doc, nil
}

// newerLists returns the lists that are newer than the versions in a peer's
// request.
func (a *Agent) newerLists(r wire.ListsRequest) wire.Lists {
	var out wire.Lists
	if l := &a.directory.lists.instances; l.index > r.Instances {
		out.Instances = a.wireList(l)
	}
	if l := &a.directory.lists.upstreams; l.index > r.Upstreams {
		out.Upstreams = a.wireList(l)
	}
	return out
}

// wireList returns a list in its wire form.
func (a *Agent) wireList(l *list) *wire.List {
	return &wire.List{Index: l.index, AgeMS: a.now.Sub(l.readStartedAt).Milliseconds(), Gzip: l.gzip}
}

// fetchLists fetches the lists from a peer that has newer ones.
func (a *Agent) fetchLists(from ident.InstanceID, n *wire.Revisions) {
	have := &a.directory.lists
	if have.fetching || n.Instances <= have.instances.index && n.Upstreams <= have.upstreams.index {
		return
	}
	address := a.directory.instances[from].agent
	if address == "" {
		return
	}
	have.fetching = true
	req := wire.ListsRequest{Instances: have.instances.index, Upstreams: have.upstreams.index}
	started := a.now
	a.spawn(func(ctx context.Context) {
		ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
		defer cancel()
		got, err := peer.Call[wire.Lists](ctx, a.peers, address, wire.MethodLists, req, peer.Expect(from, 0))
		a.post(func() {
			have.fetching = false
			if err != nil {
				a.log.Debug("cannot fetch lists", "from", from, "error", err)
				return
			}
			a.applyRelayedList(configservice.KeyInstances, started, got.Instances)
			a.applyRelayedList(configservice.KeyUpstreams, started, got.Upstreams)
		})
	})
}

// applyRelayedList applies a list received from a peer.
func (a *Agent) applyRelayedList(key string, started time.Time, l *wire.List) {
	if l == nil || l.Index <= a.directory.lists.of(key).index {
		return
	}
	doc, err := decompress(key, l.Gzip)
	if err != nil {
		a.rejectList(key, l.Index, err)
		return
	}
	read := started.Add(-time.Duration(max(l.AgeMS, 0)) * time.Millisecond)
	if a.applyList(key, read, l.Index, doc) {
		a.counters.ListsFetched++
		a.storeList(key, list{index: l.Index, readStartedAt: read, gzip: l.Gzip}, true)
	}
}
