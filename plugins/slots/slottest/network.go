package slottest

import (
	"encoding/json"
	"fmt"
	"time"

	"github.com/wardspool/wardspool/ident"
	"github.com/wardspool/wardspool/kernel"
)

// Network describes the network between the instances.
type Network struct {
	// Delay is the time that each message takes. A random part of Jitter is
	// added to it, so that messages may arrive out of order.
	Delay, Jitter time.Duration
	// Loss and Duplicate are the shares of messages that are lost and
	// duplicated, from 0 to 1.
	Loss, Duplicate float64
}

// Traffic counts the messages sent.
type Traffic struct {
	Messages int
	// Bytes is the total size of the JSON bodies.
	Bytes  int
	ByKind map[string]int
}

// link is one direction between two instances.
type link struct{ from, to ident.InstanceID }

// Cut drops all messages between two instances, in both directions. The sender
// is not notified.
func (w *World) Cut(a, b *Node) {
	w.cuts[link{a.ID(), b.ID()}] = true
	w.cuts[link{b.ID(), a.ID()}] = true
}

// RemoveCuts undoes all calls of Cut.
func (w *World) RemoveCuts() { clear(w.cuts) }

// SetNetwork replaces the description of the network from now on.
func (w *World) SetNetwork(n Network) { w.options.Network = n }

// send sends a message in its encoded form, so that sender and receiver share no
// memory.
func (w *World) send(from *Node, to ident.InstanceID, m kernel.PeerMessage) {
	body, err := json.Marshal(m)
	if err != nil {
		panic(fmt.Sprintf("slottest: encode %s: %v", m.MessageKind(), err))
	}
	w.Traffic.Messages++
	w.Traffic.Bytes += len(body)
	w.Traffic.ByKind[m.MessageKind()]++
	if w.cuts[link{from.ID(), to}] || w.chance(w.options.Network.Loss) {
		return
	}
	w.After(w.delay(), func() { w.deliver(from, to, m.MessageKind(), body) })
	if w.chance(w.options.Network.Duplicate) {
		w.After(w.delay(), func() { w.deliver(from, to, m.MessageKind(), body) })
	}
}

// chance returns true with the given probability.
func (w *World) chance(share float64) bool {
	return share > 0 && w.Rand.Float64() < share
}

// delay returns the delay of the next message.
func (w *World) delay() time.Duration {
	n := w.options.Network
	if n.Jitter <= 0 {
		return n.Delay
	}
	return n.Delay + time.Duration(w.Rand.Int64N(int64(n.Jitter)))
}

// deliver decodes a message and passes it to the receiver. If the receiver's
// process has ended, the sender is told that the message was not delivered.
func (w *World) deliver(from *Node, to ident.InstanceID, kind string, body []byte) {
	m, err := kernel.DecodeMessage(kind, body)
	if err != nil {
		panic(fmt.Sprintf("slottest: decode message: %v", err))
	}
	n := w.Node(to)
	if n == nil || n.killed {
		w.After(w.delay(), func() {
			from.runEvent(func() { from.withHandler(func(h kernel.PeerHandler) { h.Undelivered(to, m) }) })
		})
		return
	}
	n.runEvent(func() { n.withHandler(func(h kernel.PeerHandler) { h.Receive(from.ID(), m) }) })
}
