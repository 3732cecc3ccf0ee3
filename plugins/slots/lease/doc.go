// Package lease is the slot policy "slots.lease": for each decode engine one
// entry instance, its grantor, leases out the engine's slots to all instances.
//
// The grantor is chosen by rendezvous hashing among the live instances of the
// engine's zone, so that all instances with the same view agree on it without
// talking. A holder asks it for a lease; it grants one, queues the ask until a
// slot falls free, or denies it. Holders list their leases to the grantor
// regularly, so that a new grantor learns of them and nothing stays leased
// after a message was lost. A holder that cannot reach the grantor uses a
// static share of the slots.
//
// Two instances that believe themselves grantor of one engine can lease more
// slots than it has. The engine then refuses, which costs the prefill and
// nothing else.
package lease
