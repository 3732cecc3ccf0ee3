// Package slotkit holds what the decode slot policies share: who of the entry
// instances answers for an upstream, how many slots and how much KV memory an
// upstream has, and how a reservation is named in a message.
package slotkit
