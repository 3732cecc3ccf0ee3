package kernel

import (
	"fmt"

	"github.com/wardspool/wardspool/config"
	"github.com/wardspool/wardspool/plugin"
)

// PolicyTypeError reports a plug-in of the wrong type for its place in the
// bundle's policy, for example a scorer named as a filter.
type PolicyTypeError struct {
	ID   plugin.ID
	Want string
}

// Error implements error.
func (e *PolicyTypeError) Error() string {
	return fmt.Sprintf("plug-in %s is not a %s", e.ID, e.Want)
}

// ConfigRejected reports that a bundle version names a policy that this binary
// cannot run. The previous version stays in force.
type ConfigRejected struct {
	Version uint64
	Err     error
}

func (ConfigRejected) action() {}

// policy is the set of plug-ins in force.
type policy struct {
	loaded    map[plugin.ID]plugin.Plugin
	slots     SlotPolicy
	order     QueueOrder
	admission []Admission
	filters   []Filter
	scorers   []weightedScorer
	// handlers maps each kind of peer message to the plug-in that handles it.
	// Plug-ins that a newer bundle no longer names stay registered, since
	// requests that they are involved in may still be in progress.
	handlers  map[string]PeerHandler
	wakers    []Waker
	observers []Observer
}

// weightedScorer is a scorer and its weight.
type weightedScorer struct {
	scorer Scorer
	weight float64
}

// CheckPolicy checks that this binary can run the bundle's policy: every plug-in
// is linked into the binary, has the type that its place needs, and accepts its
// settings. Errors are *plugin.UnknownError, *plugin.LifecycleError or
// *PolicyTypeError.
func CheckPolicy(c *config.Content) error {
	_, err := loadPolicy(policy{}, c)
	return err
}

// configured brings a bundle version into force, unless it is not newer than the
// one in force or its policy cannot be loaded.
func (k *Kernel) configured(e Configured) {
	if e.Version <= k.catalog.version {
		return
	}
	next, err := loadPolicy(k.policy, e.Content)
	if err != nil {
		k.emit(ConfigRejected{Version: e.Version, Err: err})
		return
	}
	previous := k.policy
	k.catalog = newCatalog(e.Version, e.Content)
	k.fleet.applyDeclarations(e.Content)
	k.policy = next
	k.attachNew(previous)
	k.moveQueue(previous.order)
	k.dirty = true
}

// attachNew attaches the plug-ins that are not in previous to the kernel, and
// passes the new content to all plug-ins that it names.
func (k *Kernel) attachNew(previous policy) {
	for _, id := range pluginIDs(k.catalog.content) {
		p := k.policy.loaded[id]
		_, known := previous.loaded[id]
		if a, ok := p.(Attacher); ok && !known {
			a.Attach(host{k})
		}
		if c, ok := p.(Configurer); ok {
			c.Configure(k.catalog.content)
		}
	}
}

// moveQueue moves the waiting requests to the queue order now in force.
func (k *Kernel) moveQueue(previous QueueOrder) {
	if previous == nil || previous == k.policy.order {
		return
	}
	var waiting []*QueuedRequest
	for w := range previous.All() {
		waiting = append(waiting, w)
	}
	for _, w := range waiting {
		previous.Remove(w.Request.ID)
		k.policy.order.Add(w)
	}
}

// pluginIDs returns the IDs of the plug-ins that a bundle names, each once, in a
// deterministic order.
func pluginIDs(c *config.Content) []plugin.ID {
	ids := []plugin.ID{c.Policy.Slots, c.Policy.Order}
	ids = append(ids, c.Policy.Admission...)
	ids = append(ids, c.Policy.Filters...)
	for _, s := range c.Policy.Scorers {
		ids = append(ids, s.ID)
	}
	seen := map[plugin.ID]bool{}
	unique := ids[:0]
	for _, id := range ids {
		if seen[id] {
			continue
		}
		seen[id] = true
		unique = append(unique, id)
	}
	return unique
}

// loadPolicy loads the plug-ins that a bundle names. Plug-ins that previous has
// loaded already are reused, and kept even if the bundle no longer names them.
func loadPolicy(previous policy, c *config.Content) (policy, error) {
	next := policy{
		loaded:    map[plugin.ID]plugin.Plugin{},
		handlers:  map[string]PeerHandler{},
		wakers:    nil,
		observers: nil,
	}
	for id, p := range previous.loaded {
		next.loaded[id] = p
	}
	for _, id := range pluginIDs(c) {
		if _, ok := next.loaded[id]; ok {
			continue
		}
		p, err := plugin.Load(id, nil)
		if err != nil {
			return policy{}, err
		}
		next.loaded[id] = p
	}
	for kind, p := range previous.handlers {
		next.handlers[kind] = p
	}
	next.wakers = append(next.wakers, previous.wakers...)
	next.observers = append(next.observers, previous.observers...)
	next.registerInterfaces(previous, c)
	if err := next.assign(c); err != nil {
		return policy{}, err
	}
	return next, nil
}

// registerInterfaces registers the plug-ins that are not in previous for the
// optional interfaces that they implement.
func (p *policy) registerInterfaces(previous policy, c *config.Content) {
	for _, id := range pluginIDs(c) {
		if _, known := previous.loaded[id]; known {
			continue
		}
		pl := p.loaded[id]
		if w, ok := pl.(Waker); ok {
			p.wakers = append(p.wakers, w)
		}
		if o, ok := pl.(Observer); ok {
			p.observers = append(p.observers, o)
		}
		h, ok := pl.(PeerHandler)
		if !ok {
			continue
		}
		for _, kind := range h.MessageKinds() {
			p.handlers[kind] = h
		}
	}
}

// assign sets the fields of p to the loaded plug-ins that the bundle names for
// them.
func (p *policy) assign(c *config.Content) error {
	var err error
	if p.slots, err = pluginAs[SlotPolicy](p.loaded, c.Policy.Slots, "slot policy"); err != nil {
		return err
	}
	if p.order, err = pluginAs[QueueOrder](p.loaded, c.Policy.Order, "queue order"); err != nil {
		return err
	}
	for _, id := range c.Policy.Admission {
		a, err := pluginAs[Admission](p.loaded, id, "admission check")
		if err != nil {
			return err
		}
		p.admission = append(p.admission, a)
	}
	for _, id := range c.Policy.Filters {
		f, err := pluginAs[Filter](p.loaded, id, "filter")
		if err != nil {
			return err
		}
		p.filters = append(p.filters, f)
	}
	for _, s := range c.Policy.Scorers {
		sc, err := pluginAs[Scorer](p.loaded, s.ID, "scorer")
		if err != nil {
			return err
		}
		p.scorers = append(p.scorers, weightedScorer{scorer: sc, weight: s.Weight})
	}
	return nil
}

// pluginAs returns the loaded plug-in as interface T, or a *PolicyTypeError with
// the text want if it does not implement T.
func pluginAs[T any](loaded map[plugin.ID]plugin.Plugin, id plugin.ID, want string) (T, error) {
	t, ok := loaded[id].(T)
	if !ok {
		var zero T
		return zero, &PolicyTypeError{ID: id, Want: want}
	}
	return t, nil
}
