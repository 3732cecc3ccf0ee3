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
	h.k.queueReply(policyReply{id: id, kind: replySlotGranted})
}

func (h host) SlotDenied(id ident.AttemptID, retryAt time.Time) {
	h.k.queueReply(policyReply{id: id, kind: replySlotDenied, retryAt: retryAt})
}

// policyReply is a slot policy's asynchronous reply to a reservation or a
// placement request. The kernel processes it only after the policy's call has
// returned, since a policy may answer one request while the slot of another one
// is being released.
type policyReply struct {
	id         ident.AttemptID
	kind       policyReplyKind
	retryAt    time.Time
	retryAfter time.Duration
	placement  Placement
	decode     ident.UpstreamID
}

// policyReplyKind is the kind of a policyReply, one for each method of Host and
// JointHost by which a policy answers.
type policyReplyKind int

const (
	replySlotGranted policyReplyKind = iota + 1
	replySlotDenied
	replyPlacementGranted
	replyDecodeGranted
	replyPlacementRefused
)

func (k *Kernel) queueReply(reply policyReply) { k.pendingReplies = append(k.pendingReplies, reply) }

// processReplies processes the queued replies of the slot policy, including those
// that are added meanwhile.
func (k *Kernel) processReplies() {
	for i := 0; i < len(k.pendingReplies); i++ {
		reply := k.pendingReplies[i]
		switch reply.kind {
		case replySlotGranted:
			k.slotGranted(reply.id)
		case replySlotDenied:
			k.slotDenied(reply.id, reply.retryAt)
		case replyPlacementGranted:
			k.placementGranted(reply)
		case replyDecodeGranted:
			k.decodeGranted(reply)
		case replyPlacementRefused:
			k.placementRefused(reply)
		}
	}
	k.pendingReplies = k.pendingReplies[:0]
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
