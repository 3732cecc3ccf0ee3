package kernel

import (
	"time"

	"github.com/wardspool/wardspool/config"
)

// kvFresh reports whether the prefill result is likely to be still there.
func (k *Kernel) kvFresh(c *call) bool {
	return k.now.Sub(c.kvAt) < k.kvUsable()
}

// kvUsable is how long after its prefill a KV cache may still be imported.
func (k *Kernel) kvUsable() time.Duration {
	lifetime := defaultKVLifetime
	if p := k.catalog.content.Policy.KVLifetime; p > 0 {
		lifetime = p
	}
	return lifetime * kvFreshPercent / 100
}

const (
	// defaultKVLifetime is used where the bundle sets none.
	defaultKVLifetime = 900 * time.Millisecond
	// kvFreshPercent leaves time for the import to begin.
	kvFreshPercent = 80
)

// dropKV releases a prefill result that will not be used.
func (k *Kernel) dropKV(c *call) {
	k.release(c.prefill)
	c.prefill = nil
	c.kv = KVHandle{}
}

// decodeElsewhere finds another decode engine for a finished prefill, or gives
// the prefill up and puts the call back in the queue.
func (k *Kernel) decodeElsewhere(c *call, reason Reason) {
	k.giveSlotBack(c)
	c.active = nil
	if c.prefill != nil && k.kvFresh(c) && k.reserveForKV(c) {
		return
	}
	k.dropKV(c)
	k.requeue(c, reason, k.now)
}

// reserveForKV reserves a slot on another decode engine for the KV cache that
// the call holds, and starts the decode if it can.
func (k *Kernel) reserveForKV(c *call) bool {
	prefill := k.fleet.upstream(c.kv.Engine)
	if prefill == nil || !k.trusted() {
		return false
	}
	if jp := k.joint(c.request.Model); jp != nil {
		k.askPlacement(c, jp)
		return true
	}
	d := k.decide(c)
	k.shortlistDecodes(d, c, k.fleet.decodes[c.request.Model], config.RoleDecode)
	k.placer.prefills.reset()
	k.placer.prefills.offer(prefill.Index, 0)
	pairs := k.rankPairs(d)
	for i := range pairs {
		switch k.reserve(c, k.plan(d, pairs, i)).Verdict {
		case SlotHeld:
			k.startDecode(c)
			return true
		case SlotWaits:
			k.awaitSlot(c)
			return true
		}
	}
	return false
}
