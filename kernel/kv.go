package kernel

import (
	"time"

	"github.com/wardspool/wardspool/config"
)

// kvFresh reports whether the prefill engine is likely to still hold the call's
// KV cache.
func (k *Kernel) kvFresh(c *call) bool {
	return k.now.Sub(c.kvReadyAt) < k.kvUsable()
}

// kvUsable returns how long after the end of a prefill the import of its KV cache
// may be started.
func (k *Kernel) kvUsable() time.Duration {
	lifetime := defaultKVLifetime
	if p := k.catalog.content.Policy.KVLifetime; p > 0 {
		lifetime = p
	}
	return lifetime * kvFreshPercent / 100
}

const (
	// defaultKVLifetime is how long a prefill engine keeps a KV cache, if the
	// bundle does not set a lifetime.
	defaultKVLifetime = 900 * time.Millisecond
	// kvFreshPercent is the share of the lifetime within which a decode may be
	// sent. The rest is left for the import to begin.
	kvFreshPercent = 80
)

// dropKV releases the KV cache of a prefill that will not be used.
func (k *Kernel) dropKV(c *call) {
	k.release(c.prefill)
	c.prefill = nil
	c.kv = KVHandle{}
}

// retryDecode looks for another decode engine for a finished prefill. If
// there is none, it releases the KV cache and queues the call again.
func (k *Kernel) retryDecode(c *call, reason Reason) {
	k.releaseSlot(c)
	c.active = nil
	if c.prefill != nil && k.kvFresh(c) && k.reserveForKV(c) {
		return
	}
	k.dropKV(c)
	k.requeue(c, reason, k.now)
}

// reserveForKV requests a slot on another decode engine for the KV cache that
// the call holds, and starts the decode if the slot is granted immediately. It
// reports whether a slot was granted or the answer is pending.
func (k *Kernel) reserveForKV(c *call) bool {
	prefill := k.fleet.upstream(c.kv.Engine)
	if prefill == nil || !k.trusted() {
		return false
	}
	if jp := k.jointPolicy(c.request.Model); jp != nil {
		k.requestPlacement(c, jp)
		return true
	}
	d := k.newDecision(c)
	k.shortlistDecodes(d, c, k.fleet.decodes[c.request.Model], config.RoleDecode)
	k.placer.prefills.reset()
	k.placer.prefills.insert(prefill.Index, 0)
	pairs := k.rankPairs(d)
	for i := range pairs {
		switch k.reserve(c, k.plan(d, pairs, i)).Result {
		case SlotReserved:
			k.startDecode(c)
			return true
		case SlotPending:
			k.awaitSlot(c)
			return true
		}
	}
	return false
}
