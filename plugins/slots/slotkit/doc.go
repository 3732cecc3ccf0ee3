// Package slotkit contains the code that the decode slot policies share: the
// choice of the entry instance responsible for an upstream, an upstream's number
// of slots and amount of KV memory, and the encoding of reservation IDs in
// messages.
package slotkit
