package dispatch

import (
	"time"

	"github.com/wardspool/wardspool/ident"
	"github.com/wardspool/wardspool/kernel"
	"github.com/wardspool/wardspool/plugins/slots/slotkit"
)

// The kinds of message.
const (
	KindAsk      = "dispatch.ask"
	KindQueued   = "dispatch.queued"
	KindPlaced   = "dispatch.placed"
	KindComputed = "dispatch.computed"
	KindDecode   = "dispatch.decode"
	KindDeny     = "dispatch.deny"
	KindRelease  = "dispatch.release"
	KindRenew    = "dispatch.renew"
	KindResync   = "dispatch.resync"
)

// Milliseconds is a duration as messages carry it. Times are sent relative to
// the sending, since instances have no common clock.
type Milliseconds int64

// Duration returns m as a time.Duration.
func (m Milliseconds) Duration() time.Duration { return time.Duration(m) * time.Millisecond }

func millis(d time.Duration) Milliseconds { return Milliseconds(d.Milliseconds()) }

// Ask asks for a placement. It may be repeated: the dispatcher repeats its
// answer.
type Ask struct {
	Reservation slotkit.Reservation `json:"r"`
	Model       string              `json:"m"`
	Workspace   ident.Workspace     `json:"w,omitempty"`
	Kind        string              `json:"k,omitempty"`
	Zone        ident.Zone          `json:"z,omitempty"`
	// Prompt is the prompt to compute, resumed output included; Output is the
	// most that will be generated; both in tokens.
	Prompt int `json:"p"`
	Output int `json:"o"`
	Pieces int `json:"n,omitempty"`
	// Blocks are the prompt's leading block hashes, at most maxBlocks.
	Blocks    []uint64 `json:"b,omitempty"`
	Priority  int      `json:"y,omitempty"`
	Delivered int      `json:"d,omitempty"`
	// DueIn is the time left to the first output's target, negative when it
	// has passed; DeadlineIn is the time the caller still waits.
	DueIn      Milliseconds       `json:"t"`
	DeadlineIn Milliseconds       `json:"e"`
	Avoid      []ident.UpstreamID `json:"a,omitempty"`
	// KV is set when the prefill is done and only a decode engine is asked
	// for; KVFor is how long the result can still be imported.
	KV    ident.UpstreamID `json:"v,omitempty"`
	KVFor Milliseconds     `json:"f,omitempty"`
}

// Queued answers an Ask that has to wait.
type Queued struct {
	Reservation slotkit.Reservation `json:"r"`
	// Wait is the expected wait.
	Wait Milliseconds `json:"t,omitempty"`
}

// Placed names a prefill engine and, if its slot is certain, a decode engine.
type Placed struct {
	Reservation slotkit.Reservation `json:"r"`
	Model       string              `json:"m"`
	Prefill     ident.UpstreamID    `json:"p"`
	Decode      ident.UpstreamID    `json:"d,omitempty"`
	// Cost is the expected time until the prefill is done.
	Cost Milliseconds `json:"c"`
	// Others are the best engines not chosen, best first, at most maxOthers.
	Others []Other `json:"o,omitempty"`
}

// Other is a prefill engine that was not chosen, and its cost.
type Other struct {
	Prefill ident.UpstreamID `json:"p"`
	Cost    Milliseconds     `json:"c"`
}

// maxOthers bounds the engines in a Placed that were not chosen.
const maxOthers = 2

// placement is the message as the kernel takes it.
func (m *Placed) placement() kernel.Placement {
	p := kernel.Placement{Prefill: m.Prefill, Decode: m.Decode, Cost: m.Cost.Duration().Seconds()}
	for _, o := range m.Others {
		p.RunnersUp = append(p.RunnersUp, kernel.Alternative{Prefill: o.Prefill, Cost: o.Cost.Duration().Seconds()})
	}
	return p
}

// Computed reports that a prefill is done.
type Computed struct {
	Reservation slotkit.Reservation `json:"r"`
	Model       string              `json:"m"`
	KV          ident.UpstreamID    `json:"v"`
}

// Decode names the decode engine for a finished prefill.
type Decode struct {
	Reservation slotkit.Reservation `json:"r"`
	Model       string              `json:"m"`
	Decode      ident.UpstreamID    `json:"d"`
}

// Deny answers an Ask that gets no placement.
type Deny struct {
	Reservation slotkit.Reservation `json:"r"`
	// Infeasible says that the target cannot be met; RetryIn is then when the
	// caller should come back, and else when to ask again.
	Infeasible bool         `json:"x,omitempty"`
	RetryIn    Milliseconds `json:"t"`
}

// Release gives a placement back or withdraws an ask.
type Release struct {
	Reservation slotkit.Reservation `json:"r"`
	Model       string              `json:"m"`
	// Transfer is how the placement's KV transfer ended, if it did.
	Transfer TransferEnd `json:"x,omitempty"`
}

// TransferEnd is how a KV transfer ended.
type TransferEnd int

// The ends; the zero value says nothing.
const (
	TransferMoved TransferEnd = iota + 1
	TransferStalled
)

// Renew tells the dispatcher what a holder holds of a model: by count and
// digest, or whole when Full is set. What a full renewal does not list is over.
type Renew struct {
	Incarnation ident.Incarnation `json:"i"`
	Model       string            `json:"m"`
	Count       int               `json:"c"`
	Digest      uint64            `json:"h"`
	Full        bool              `json:"u,omitempty"`
	Held        []Held            `json:"l,omitempty"`
}

// Held is one placement in a full renewal.
type Held struct {
	Reservation slotkit.Reservation `json:"r"`
	Prefill     ident.UpstreamID    `json:"p,omitempty"`
	Decode      ident.UpstreamID    `json:"d,omitempty"`
	Pieces      int                 `json:"n,omitempty"`
	// Used is how long the decode engine's slot has been taken.
	Used Milliseconds `json:"u,omitempty"`
	// Decoding says that the slot is in use, and not only promised.
	Decoding bool `json:"s,omitempty"`
}

// Resync asks for a full renewal, after one whose digest did not fit.
type Resync struct {
	Model string `json:"m"`
}

// MessageKind implements kernel.PeerMessage.
func (*Ask) MessageKind() string { return KindAsk }

// MessageKind implements kernel.PeerMessage.
func (*Queued) MessageKind() string { return KindQueued }

// MessageKind implements kernel.PeerMessage.
func (*Placed) MessageKind() string { return KindPlaced }

// MessageKind implements kernel.PeerMessage.
func (*Computed) MessageKind() string { return KindComputed }

// MessageKind implements kernel.PeerMessage.
func (*Decode) MessageKind() string { return KindDecode }

// MessageKind implements kernel.PeerMessage.
func (*Deny) MessageKind() string { return KindDeny }

// MessageKind implements kernel.PeerMessage.
func (*Release) MessageKind() string { return KindRelease }

// MessageKind implements kernel.PeerMessage.
func (*Renew) MessageKind() string { return KindRenew }

// MessageKind implements kernel.PeerMessage.
func (*Resync) MessageKind() string { return KindResync }

func init() {
	kernel.RegisterMessage(func() kernel.PeerMessage { return &Ask{} })
	kernel.RegisterMessage(func() kernel.PeerMessage { return &Queued{} })
	kernel.RegisterMessage(func() kernel.PeerMessage { return &Placed{} })
	kernel.RegisterMessage(func() kernel.PeerMessage { return &Computed{} })
	kernel.RegisterMessage(func() kernel.PeerMessage { return &Decode{} })
	kernel.RegisterMessage(func() kernel.PeerMessage { return &Deny{} })
	kernel.RegisterMessage(func() kernel.PeerMessage { return &Release{} })
	kernel.RegisterMessage(func() kernel.PeerMessage { return &Renew{} })
	kernel.RegisterMessage(func() kernel.PeerMessage { return &Resync{} })
}
