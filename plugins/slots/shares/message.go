package shares

import (
	"github.com/wardspool/wardspool/ident"
	"github.com/wardspool/wardspool/kernel"
)

// Message kinds, as sent on the wire.
const (
	KindBorrow  = "shares.borrow"
	KindLend    = "shares.lend"
	KindNone    = "shares.none"
	KindRecall  = "shares.recall"
	KindConfirm = "shares.confirm"
)

// Borrow asks the owner of a share to lend a slot. Seq identifies the request;
// the answer repeats it.
type Borrow struct {
	Upstream ident.UpstreamID `json:"u"`
	Seq      uint64           `json:"s"`
}

// Lend answers a Borrow: the slot is on loan.
type Lend struct {
	Upstream ident.UpstreamID `json:"u"`
	Seq      uint64           `json:"s"`
}

// None answers a Borrow: no slot of the share is idle.
type None struct {
	Upstream ident.UpstreamID `json:"u"`
	Seq      uint64           `json:"s"`
}

// Recall asks a borrower to return one slot when it has one that is not in use.
type Recall struct {
	Upstream ident.UpstreamID `json:"u"`
}

// Confirm tells an owner how many slots (Count) the sender has on loan from it,
// and how many it has received so far (Got). A lower Count than before returns
// slots to the owner.
type Confirm struct {
	Upstream ident.UpstreamID `json:"u"`
	Seq      uint64           `json:"s"`
	Count    int              `json:"c"`
	Got      int              `json:"g"`
}

// MessageKind implements kernel.PeerMessage.
func (*Borrow) MessageKind() string { return KindBorrow }

// MessageKind implements kernel.PeerMessage.
func (*Lend) MessageKind() string { return KindLend }

// MessageKind implements kernel.PeerMessage.
func (*None) MessageKind() string { return KindNone }

// MessageKind implements kernel.PeerMessage.
func (*Recall) MessageKind() string { return KindRecall }

// MessageKind implements kernel.PeerMessage.
func (*Confirm) MessageKind() string { return KindConfirm }

func init() {
	kernel.RegisterMessage(func() kernel.PeerMessage { return &Borrow{} })
	kernel.RegisterMessage(func() kernel.PeerMessage { return &Lend{} })
	kernel.RegisterMessage(func() kernel.PeerMessage { return &None{} })
	kernel.RegisterMessage(func() kernel.PeerMessage { return &Recall{} })
	kernel.RegisterMessage(func() kernel.PeerMessage { return &Confirm{} })
}
