package slottest

import (
	"encoding/json"
	"fmt"
	"time"

	"github.com/wardspool/wardspool/ident"
	"github.com/wardspool/wardspool/kernel"
)

// Network says how messages travel.
type Network struct {
	// Delay is the time each message takes; up to Jitter is added, which may
	// let messages overtake each other.
	Delay, Jitter time.Duration
	// Loss and Duplicate are the shares of messages lost and doubled.
	Loss, Duplicate float64
}

// Traffic counts what was sent.
type Traffic struct {
	Messages int
	// Bytes is the size of the JSON bodies.
	Bytes  int
	ByKind map[string]int
}

// link is a direction between two instances.
type link struct{ from, to ident.InstanceID }

// Cut stops the messages between two instances, in both directions. The sender
// is not told.
func (w *World) Cut(a, b *Node) {
	w.cuts[link{a.ID(), b.ID()}] = true
	w.cuts[link{b.ID(), a.ID()}] = true
}

// Heal undoes all cuts.
func (w *World) Heal() { clear(w.cuts) }

// SetNetwork replaces how messages travel from now on.
func (w *World) SetNetwork(n Network) { w.options.Network = n }

// send carries a message in its encoded form, so that nothing is shared.
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

func (w *World) chance(share float64) bool {
	return share > 0 && w.Rand.Float64() < share
}

func (w *World) delay() time.Duration {
	n := w.options.Network
	if n.Jitter <= 0 {
		return n.Delay
	}
	return n.Delay + time.Duration(w.Rand.Int64N(int64(n.Jitter)))
}

// deliver hands a message over. When the receiver's process is gone, the sender
// hears that its message was not delivered.
func (w *World) deliver(from *Node, to ident.InstanceID, kind string, body []byte) {
	m, err := kernel.DecodeMessage(kind, body)
	if err != nil {
		panic(fmt.Sprintf("slottest: decode: %v", err))
	}
	n := w.Node(to)
	if n == nil || n.killed {
		w.After(w.delay(), func() {
			from.do(func() { from.handler(func(h kernel.PeerHandler) { h.Undelivered(to, m) }) })
		})
		return
	}
	n.do(func() { n.handler(func(h kernel.PeerHandler) { h.Receive(from.ID(), m) }) })
}
