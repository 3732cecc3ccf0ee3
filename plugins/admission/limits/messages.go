package limits

import (
	"github.com/wardspool/wardspool/ident"
	"github.com/wardspool/wardspool/kernel"
)

// Message kinds exchanged by the instances of a zone.
const (
	kindDemand = "limits.demand"
	kindReply  = "limits.move"
)

// Amount is a part of a workspace's rate and concurrency limits.
type Amount struct {
	// Rate is in requests per second.
	Rate float64 `json:"rate,omitempty"`
	// Slots is a number of requests in flight.
	Slots int `json:"slots,omitempty"`
}

// add returns a plus b.
func (a Amount) add(b Amount) Amount {
	return Amount{Rate: a.Rate + b.Rate, Slots: a.Slots + b.Slots}
}

// minus returns a minus b. Negative results become zero.
func (a Amount) minus(b Amount) Amount {
	return Amount{Rate: max(a.Rate-b.Rate, 0), Slots: max(a.Slots-b.Slots, 0)}
}

// atLeast returns the larger rate and the larger number of slots of a and b.
func (a Amount) atLeast(b Amount) Amount {
	return Amount{Rate: max(a.Rate, b.Rate), Slots: max(a.Slots, b.Slots)}
}

// atMost returns the smaller rate and the smaller number of slots of a and b.
func (a Amount) atMost(b Amount) Amount {
	return Amount{Rate: min(a.Rate, b.Rate), Slots: min(a.Slots, b.Slots)}
}

// negligibleRate is the rate, in requests per second, below which a rate counts
// as zero. Differences of floating-point numbers are seldom exactly zero.
const negligibleRate = 1e-6

// isZero reports whether the amount has no slots and only a negligible rate.
func (a Amount) isZero() bool { return a.Rate < negligibleRate && a.Slots == 0 }

// valid reports whether an amount received from a peer is not negative.
func (a Amount) valid() bool { return a.Rate >= 0 && a.Slots >= 0 }

// Demand asks a peer to lend capacity or to renew its loans, or returns borrowed
// capacity to it.
type Demand struct {
	// Incarnation is the sender's incarnation.
	Incarnation ident.Incarnation `json:"incarnation"`
	// Number increases with each message of the incarnation.
	Number uint64 `json:"number"`
	Asks   []Ask  `json:"asks,omitempty"`
	// RequestConfirmation asks the peer to confirm that it includes the sender,
	// which is warming up, in its division of the limits.
	RequestConfirmation bool `json:"greet,omitempty"`
}

// Ask is the part of a Demand for one workspace.
type Ask struct {
	Workspace ident.Workspace `json:"workspace"`
	// Want is the total amount that the sender wants to borrow from the peer.
	Want Amount `json:"want"`
	// Hold is the amount that the sender has borrowed from the peer and keeps
	// whatever the answer is. The sender uses no more than Hold until a Reply
	// grants more.
	Hold Amount `json:"hold"`
}

// Reply answers a Demand with the amounts that are lent.
type Reply struct {
	// Incarnation and Number are those of the Demand.
	Incarnation ident.Incarnation `json:"incarnation"`
	Number      uint64            `json:"number"`
	Grants      []Grant           `json:"grants,omitempty"`
	// Members answers RequestConfirmation. It is the number of instances among
	// which the sender of the Reply divides the zone's share of the limits,
	// including the sender of the Demand. It is 0 while the sender of the Reply
	// still uses capacity that now belongs to the sender of the Demand.
	Members int `json:"members,omitempty"`
	// Zones answers RequestConfirmation with the zones among which the sender of
	// the Reply divides the limits. An instance of an earlier release names none.
	Zones []ZoneShare `json:"zones,omitempty"`
}

// ZoneShare is a zone that has a share of the limits.
type ZoneShare struct {
	Zone ident.Zone `json:"zone"`
	// MissingMS is the time for which the zone has been missing from the sender's
	// view, in milliseconds.
	MissingMS int64 `json:"missing_ms,omitempty"`
}

// Grant is the total amount lent of one workspace's limits.
type Grant struct {
	Workspace ident.Workspace `json:"workspace"`
	Amount    Amount          `json:"amount"`
}

// MessageKind implements kernel.PeerMessage.
func (*Demand) MessageKind() string { return kindDemand }

// MessageKind implements kernel.PeerMessage.
func (*Reply) MessageKind() string { return kindReply }

func init() {
	kernel.RegisterMessage(func() kernel.PeerMessage { return new(Demand) })
	kernel.RegisterMessage(func() kernel.PeerMessage { return new(Reply) })
}
