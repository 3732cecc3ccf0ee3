package lease

import (
	"time"

	"github.com/wardspool/wardspool/ident"
	"github.com/wardspool/wardspool/kernel"
	"github.com/wardspool/wardspool/plugins/slots/slotkit"
)

// Message kinds, as sent on the wire.
const (
	KindAsk     = "slots.ask"
	KindGrant   = "slots.grant"
	KindQueued  = "slots.queued"
	KindDeny    = "slots.deny"
	KindRelease = "slots.release"
	KindRenew   = "slots.renew"
	KindRefused = "slots.refused"
)

// Milliseconds is a duration in a message.
type Milliseconds int64

// Duration returns m as a time.Duration.
func (m Milliseconds) Duration() time.Duration { return time.Duration(m) * time.Millisecond }

// millis converts a duration to milliseconds. It rounds up, so that a wait is
// never reported as too short.
func millis(d time.Duration) Milliseconds {
	return Milliseconds((d + time.Millisecond - 1) / time.Millisecond)
}

// Ask asks the grantor for a lease. Seq increases with each Ask, Release and
// Renew that a holder sends, so that the grantor knows in which order they were
// sent. Lead is the expected time until the slot is put to use. FirstOutputBy is
// when the first output is due, 0 if it has no due time.
type Ask struct {
	Reservation   slotkit.Reservation `json:"r"`
	Upstream      ident.UpstreamID    `json:"u"`
	Seq           uint64              `json:"s"`
	Pieces        int                 `json:"p,omitempty"`
	Lead          Milliseconds        `json:"l,omitempty"`
	FirstOutputBy int64               `json:"b,omitempty"` // Unix milliseconds
	// NoWait asks the grantor to deny the ask and not to queue it if no slot is
	// free, because the holder believes that another engine has a free slot.
	NoWait bool `json:"w,omitempty"`
}

// Grant answers an Ask: the slot is leased until the reservation's deadline.
// Free is the number of slots that can still be leased.
type Grant struct {
	Reservation slotkit.Reservation `json:"r"`
	Upstream    ident.UpstreamID    `json:"u"`
	Free        int                 `json:"f,omitempty"`
}

// Queued tells the holder that its Ask waits for a slot; a Grant or Deny will
// follow. NextFree is the expected wait.
type Queued struct {
	Reservation slotkit.Reservation `json:"r"`
	Upstream    ident.UpstreamID    `json:"u"`
	Seq         uint64              `json:"s"`
	NextFree    Milliseconds        `json:"n,omitempty"`
}

// Deny answers an Ask that gets no slot. The holder may ask again after RetryIn.
type Deny struct {
	Reservation slotkit.Reservation `json:"r"`
	Upstream    ident.UpstreamID    `json:"u"`
	Seq         uint64              `json:"s"`
	RetryIn     Milliseconds        `json:"t,omitempty"`
	Free        int                 `json:"f,omitempty"`
	NextFree    Milliseconds        `json:"n,omitempty"`
	// NotGrantor is set if the sender of the Deny is not the upstream's grantor
	// according to its own view.
	NotGrantor bool `json:"x,omitempty"`
}

// Release ends a lease or withdraws an ask.
type Release struct {
	Reservation slotkit.Reservation `json:"r"`
	Upstream    ident.UpstreamID    `json:"u"`
	Seq         uint64              `json:"s"`
	// Held is how long the slot was in use, 0 if it never was.
	Held Milliseconds `json:"h,omitempty"`
}

// Renew lists all leases and open asks that a holder has at one grantor. The
// grantor ends those that are not listed, unless they were asked for after the
// Renew was sent.
type Renew struct {
	Incarnation ident.Incarnation `json:"i"`
	Seq         uint64            `json:"s"`
	Engines     []RenewEngine     `json:"e,omitempty"`
}

// RenewEngine is the part of a Renew that concerns one engine.
type RenewEngine struct {
	Upstream ident.UpstreamID `json:"u"`
	Leases   []RenewLease     `json:"l"`
}

// RenewLease is one lease or open ask. Its reservation's instance and
// incarnation are the sender's.
type RenewLease struct {
	Sequence uint64 `json:"q"`
	Deadline int64  `json:"d"` // Unix milliseconds
	Pieces   int    `json:"p,omitempty"`
	// Used is how long the slot has been in use. If negative, it is the expected
	// time until the slot is put to use, with the sign reversed.
	Used Milliseconds `json:"t,omitempty"`
	// Open marks an ask that has been neither granted nor denied.
	Open bool `json:"w,omitempty"`
}

// Refused tells the grantor that the engine refused a holder's request because
// it had no free slot.
type Refused struct {
	Upstream ident.UpstreamID `json:"u"`
}

// MessageKind implements kernel.PeerMessage.
func (*Ask) MessageKind() string { return KindAsk }

// MessageKind implements kernel.PeerMessage.
func (*Grant) MessageKind() string { return KindGrant }

// MessageKind implements kernel.PeerMessage.
func (*Queued) MessageKind() string { return KindQueued }

// MessageKind implements kernel.PeerMessage.
func (*Deny) MessageKind() string { return KindDeny }

// MessageKind implements kernel.PeerMessage.
func (*Release) MessageKind() string { return KindRelease }

// MessageKind implements kernel.PeerMessage.
func (*Renew) MessageKind() string { return KindRenew }

// MessageKind implements kernel.PeerMessage.
func (*Refused) MessageKind() string { return KindRefused }

func init() {
	kernel.RegisterMessage(func() kernel.PeerMessage { return &Ask{} })
	kernel.RegisterMessage(func() kernel.PeerMessage { return &Grant{} })
	kernel.RegisterMessage(func() kernel.PeerMessage { return &Queued{} })
	kernel.RegisterMessage(func() kernel.PeerMessage { return &Deny{} })
	kernel.RegisterMessage(func() kernel.PeerMessage { return &Release{} })
	kernel.RegisterMessage(func() kernel.PeerMessage { return &Renew{} })
	kernel.RegisterMessage(func() kernel.PeerMessage { return &Refused{} })
}
