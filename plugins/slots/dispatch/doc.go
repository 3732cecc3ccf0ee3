// Package dispatch is the slot policy "slots.dispatch". For each model one entry
// instance, the dispatcher, places the prompts of all instances.
//
// The dispatcher is chosen by rendezvous hashing among the live instances, so
// that instances with the same view choose the same one without exchanging
// messages. The instances that carry the requests, called holders, ask the
// dispatcher for placements. The dispatcher keeps one queue for the model,
// sorted by the bundle's queue order. It gives a prefill engine its next prompt
// shortly before the engine would become idle, and it starts a prefill only if a
// decode slot is free or is expected to be free in time. It chooses the decode
// engine when the prefill is done, so that no decode slot stays empty during the
// prefill.
//
// The dispatcher stores nothing. Its state consists of what the holders report,
// and a new dispatcher rebuilds it from the holders' renewals. A holder that
// cannot reach the dispatcher asks the next instance in the hash order, and
// finally itself. While two instances act as dispatcher for one model, they can
// together promise more slots than exist. The engines then refuse the excess
// requests, which costs repeated work but has no other effect.
package dispatch
