package limits

import (
	"github.com/wardspool/wardspool/ident"
	"github.com/wardspool/wardspool/kernel"
)

// maxAsks bounds the number of workspaces in one message, to keep it within the
// peer protocol's limit on frame size.
const maxAsks = 200

// outbox combines the asks of one round into as few messages as possible.
type outbox struct {
	incarnation ident.Incarnation
	// number is the number of the last message created.
	number uint64
	// full are the messages that hold maxAsks asks. open is the message to each
	// peer that can take more.
	full []outgoing
	open peerMap[Demand]
}

// outgoing is a complete message and its recipient.
type outgoing struct {
	to     ident.InstanceID
	demand *Demand
}

// add adds an ask to a message to the peer and returns the message's number.
func (o *outbox) add(to ident.InstanceID, ask Ask) uint64 {
	d := o.demandTo(to)
	d.Asks = append(d.Asks, ask)
	if len(d.Asks) == maxAsks {
		o.open.remove(to)
		o.full = append(o.full, outgoing{to: to, demand: d})
	}
	return d.Number
}

// demandTo returns the open message to a peer, and creates it if there is none.
func (o *outbox) demandTo(to ident.InstanceID) *Demand {
	d := o.open.get(to)
	if d == nil {
		o.number++
		d = &Demand{Incarnation: o.incarnation, Number: o.number}
		o.open.put(to, d)
	}
	return d
}

// send sends all messages.
func (o *outbox) send(h kernel.Host) {
	for _, m := range o.full {
		h.Send(m.to, m.demand)
	}
	for to, d := range o.open.all() {
		h.Send(to, d)
	}
}
