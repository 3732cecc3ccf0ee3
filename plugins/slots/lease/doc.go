// Package lease is the slot policy "slots.lease": for each decode engine one
// entry instance, its grantor, leases out the engine's slots to all instances.
//
// The grantor is chosen by rendezvous hashing among the live instances of the
// engine's zone, so that all instances with the same view agree on it without
// exchanging messages. The instance that needs a slot, the holder, sends the
// grantor an ask. The grantor grants a lease, queues the ask until a slot
// becomes free, or denies it. Each holder regularly sends the grantor the full
// list of its leases (a Renew), so that a new grantor learns about them and a
// lost message cannot leave a slot leased. A holder that cannot reach the
// grantor uses its static share of the slots instead.
//
// If instances have different views, two of them can act as grantor of the same
// engine and together lease more slots than it has. The engine then refuses the
// excess requests. This wastes the prefill of a refused request and has no
// other effect.
package lease
