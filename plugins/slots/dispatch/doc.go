// Package dispatch is the slot policy "slots.dispatch": for each model one
// entry instance, its dispatcher, places the prompts of all instances.
//
// The dispatcher is chosen by rendezvous hashing among the live instances, so
// that all with the same view agree on it without talking. Holders, the
// instances that carry the requests, ask it for a placement. It keeps one queue
// for the model, in the bundle's queue order; gives a prefill engine the next
// prompt just before it would fall idle; starts a prefill only when a decode
// slot is free or expected to fall free in time; and names the decode engine
// when the prefill is done, so that no slot is held empty meanwhile.
//
// Nothing is stored: a dispatcher's state is the sum of what holders tell it. A
// new one rebuilds it from the holders' renewals. A holder that cannot reach
// the dispatcher asks the next one, and at last itself. Two
// dispatchers at once can promise more than there is; the engines then refuse,
// which costs work and nothing else.
package dispatch
