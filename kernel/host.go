package kernel

import (
	"math/rand/v2"
	"time"

	"github.com/wardspool/wardspool/config"
	"github.com/wardspool/wardspool/ident"
)

// host is the Host and JointHost that the kernel offers its plug-ins.
type host struct{ k *Kernel }

var _ Host = host{}

func (h host) Now() time.Time           { return h.k.now }
func (h host) Self() Self               { return h.k.self }
func (h host) View() *View              { return &h.k.fleet.view }
func (h host) Content() *config.Content { return h.k.catalog.content }
func (h host) Rand() *rand.Rand         { return h.k.rand }
func (h host) QueueLength() int         { return h.k.queueLength() }

func (h host) Upstream(id ident.UpstreamID) *Upstream { return h.k.fleet.upstream(id) }
func (h host) Model(name string) *config.Model        { return h.k.catalog.models[name] }
func (h host) Estimate(r *Request) Estimate           { return h.k.estimate(r) }

func (h host) Send(to ident.InstanceID, m PeerMessage) {
	h.k.emit(SendPeer{To: to, Message: m})
}

func (h host) SlotGranted(id ident.AttemptID) {
	h.k.verdict(slotVerdict{id: id, kind: verdictGranted})
}

func (h host) SlotDenied(id ident.AttemptID, retryAt time.Time) {
	h.k.verdict(slotVerdict{id: id, kind: verdictDenied, retryAt: retryAt})
}

// slotVerdict is a slot policy's asynchronous answer to a reservation or a
// placement request. The kernel processes it only after the policy's call has
// returned, since a policy may answer one request while the slot of another one
// is being released.
type slotVerdict struct {
	id        ident.AttemptID
	kind      verdictKind
	retryAt   time.Time
	comeBack  time.Duration
	placement Placement
	decode    ident.UpstreamID
}

// verdictKind is the kind of a slotVerdict, one for each method of Host and
// JointHost by which a policy answers.
type verdictKind int

const (
	verdictGranted verdictKind = iota + 1
	verdictDenied
	verdictPlaced
	verdictDecode
	verdictRefused
)

func (k *Kernel) verdict(v slotVerdict) { k.verdicts = append(k.verdicts, v) }

// settleSlots processes the queued answers of the slot policy, including those
// that are added meanwhile.
func (k *Kernel) settleSlots() {
	for i := 0; i < len(k.verdicts); i++ {
		v := k.verdicts[i]
		switch v.kind {
		case verdictGranted:
			k.slotGranted(v.id)
		case verdictDenied:
			k.slotDenied(v.id, v.retryAt)
		case verdictPlaced:
			k.placementGranted(v)
		case verdictDecode:
			k.decodeGranted(v)
		case verdictRefused:
			k.placementRefused(v)
		}
	}
	k.verdicts = k.verdicts[:0]
}

func (k *Kernel) peerReceived(e PeerReceived) {
	if p, ok := k.policy.handlers[e.Message.MessageKind()]; ok {
		p.Receive(e.From, e.Message)
		k.dirty = true
	}
}

func (k *Kernel) peerUndelivered(e PeerUndelivered) {
	if p, ok := k.policy.handlers[e.Message.MessageKind()]; ok {
		p.Undelivered(e.To, e.Message)
		k.dirty = true
	}
}
