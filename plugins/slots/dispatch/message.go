package dispatch

import (
	"time"

	"github.com/wardspool/wardspool/ident"
	"github.com/wardspool/wardspool/kernel"
	"github.com/wardspool/wardspool/plugins/slots/slotkit"
)

// The kinds of the messages, as named on the wire.
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

// Milliseconds is a duration in a message. Messages give times relative to when
// they are sent, since instances have no common clock.
type Milliseconds int64

// Duration returns m as a time.Duration.
func (m Milliseconds) Duration() time.Duration { return time.Duration(m) * time.Millisecond }

// millis converts a duration to whole milliseconds, rounded toward zero.
func millis(d time.Duration) Milliseconds { return Milliseconds(d.Milliseconds()) }

// Ask requests a placement. It may be sent repeatedly: the dispatcher repeats
// its answer.
type Ask struct {
	Reservation slotkit.Reservation `json:"r"`
	Model       string              `json:"m"`
	Workspace   ident.Workspace     `json:"w,omitempty"`
	Kind        string              `json:"k,omitempty"`
	Zone        ident.Zone          `json:"z,omitempty"`
	// Prompt is the number of tokens to compute, which includes output that was
	// already delivered when the request is resumed. Output is the maximum
	// number of tokens still to be generated.
	Prompt int `json:"p"`
	Output int `json:"o"`
	// Pieces is the KV memory that the request needs.
	Pieces int `json:"n,omitempty"`
	// Blocks are the prompt's leading block hashes, at most maxBlocks.
	Blocks   []uint64 `json:"b,omitempty"`
	Priority int      `json:"y,omitempty"`
	// Delivered is the number of output tokens that the caller already has.
	Delivered int `json:"d,omitempty"`
	// DueIn is the time left until the first output is due, negative if that
	// time has passed. DeadlineIn is the time for which the caller still waits.
	DueIn      Milliseconds       `json:"t"`
	DeadlineIn Milliseconds       `json:"e"`
	Avoid      []ident.UpstreamID `json:"a,omitempty"`
	// SoftwareVersion is the only version of the decode engine at which the stream
	// may go on, nil if it has not begun or the holder does not know versions.
	SoftwareVersion *string `json:"s,omitempty"`
	// KV is the prefill engine that holds the finished prefill's KV cache. It is
	// set when only a decode engine is requested. KVFor is how long the cache
	// can still be imported.
	KV    ident.UpstreamID `json:"v,omitempty"`
	KVFor Milliseconds     `json:"f,omitempty"`
}

// mayContinueAt reports whether the software version of a decode engine is one at which
// the stream may go on.
func (a *Ask) mayContinueAt(u *kernel.Upstream) bool {
	return a.SoftwareVersion == nil || *a.SoftwareVersion == u.SoftwareVersion
}

// Queued answers an Ask that has to wait.
type Queued struct {
	Reservation slotkit.Reservation `json:"r"`
	// Wait is the expected wait.
	Wait Milliseconds `json:"t,omitempty"`
}

// Placed answers an Ask with a prefill engine and, if a decode slot is already
// taken for it, a decode engine.
type Placed struct {
	Reservation slotkit.Reservation `json:"r"`
	Model       string              `json:"m"`
	Prefill     ident.UpstreamID    `json:"p"`
	Decode      ident.UpstreamID    `json:"d,omitempty"`
	// Cost is the expected time until the prefill is done.
	Cost Milliseconds `json:"c"`
	// RunnersUp are the best engines that were not chosen, best first, at most
	// maxRunnersUp.
	RunnersUp []Alternative `json:"o,omitempty"`
}

// Alternative is a prefill engine that was not chosen, with the expected time
// until it would have finished the prefill.
type Alternative struct {
	Prefill ident.UpstreamID `json:"p"`
	Cost    Milliseconds     `json:"c"`
}

// maxRunnersUp is the maximum number of engines in Placed.RunnersUp.
const maxRunnersUp = 2

// placement converts the message to the kernel's form.
func (m *Placed) placement() kernel.Placement {
	p := kernel.Placement{Prefill: m.Prefill, Decode: m.Decode, Cost: m.Cost.Duration().Seconds()}
	for _, o := range m.RunnersUp {
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
	// Infeasible is set if the request cannot meet its target. RetryIn is then
	// when the caller should send the request again; otherwise it is when the
	// holder may ask again.
	Infeasible bool         `json:"x,omitempty"`
	RetryIn    Milliseconds `json:"t"`
}

// Release ends a placement or withdraws an Ask.
type Release struct {
	Reservation slotkit.Reservation `json:"r"`
	Model       string              `json:"m"`
	// Transfer is the outcome of the placement's KV transfer, zero if it is not
	// known.
	Transfer TransferEnd `json:"x,omitempty"`
}

// TransferEnd is the outcome of a KV transfer. The zero value means that it is
// not known.
type TransferEnd int

// The known outcomes of a transfer.
const (
	// TransferDone means that all data was transferred.
	TransferDone TransferEnd = iota + 1
	// TransferStalled means that the transfer stopped making progress.
	TransferStalled
)

// Renew tells the dispatcher which placements of a model a holder has: only
// their count and digest, or the full list if Full is set. The dispatcher ends
// placements that a full renewal does not list.
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
	// Decoding is set if the slot is in use rather than only promised.
	Decoding bool `json:"s,omitempty"`
}

// Resync asks for a full renewal. It answers a renewal whose count or digest
// does not match the dispatcher's state.
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
