package dispatch

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/wardspool/wardspool/config"
	"github.com/wardspool/wardspool/ident"
	"github.com/wardspool/wardspool/kernel"
	_ "github.com/wardspool/wardspool/plugins/order/deadline"
)

const testModel = "reader"

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// answer is what a node's kernel was told about a reservation.
type answer struct {
	kind            string
	prefill, decode ident.UpstreamID
}

// node is one instance: a policy and the host that it uses.
type node struct {
	testBed *testBed
	self    kernel.Self
	policy  *Policy
	view    *kernel.View
	answers map[ident.AttemptID][]answer
	// retryDelays maps each refused reservation to the retry delay given with
	// its refusal.
	retryDelays map[ident.AttemptID]time.Duration
	// transfers are the transfer outcomes that were reported to the node's
	// kernel.
	transfers []transfer
	frozen    bool
	dead      bool
	inbox     []delivery
	seq       uint64
}

// transfer is the outcome of a KV transfer.
type transfer struct {
	prefill, decode ident.UpstreamID
	stalled         bool
}

// delivery is a message that was sent and has not arrived yet.
type delivery struct {
	at       time.Time
	order    int
	from, to *node
	m        kernel.PeerMessage
	failed   bool
}

type deliveries []delivery

func (d deliveries) Len() int { return len(d) }
func (d deliveries) Less(i, j int) bool {
	if !d[i].at.Equal(d[j].at) {
		return d[i].at.Before(d[j].at)
	}
	return d[i].order < d[j].order
}
func (d deliveries) Swap(i, j int) { d[i], d[j] = d[j], d[i] }
func (d *deliveries) Push(x any)   { *d = append(*d, x.(delivery)) }
func (d *deliveries) Pop() any {
	last := (*d)[len(*d)-1]
	*d = (*d)[:len(*d)-1]
	return last
}

// testBed is a test bed: several instances in virtual time, with a network that
// can lose, repeat and reorder messages.
type testBed struct {
	now      time.Time
	rand     *rand.Rand
	nodes    []*node
	content  *config.Content
	inFlight deliveries
	order    int
	// loss and repeat are the shares of the messages, from 0 to 1, that are lost
	// and repeated. jitter is the upper limit of the random delay added to the
	// fixed delay of one millisecond.
	loss, repeat float64
	jitter       time.Duration
	cut          map[[2]ident.InstanceID]bool
	// zone is the zone of a node or an engine whose zone is not "z".
	zone map[string]ident.Zone
}

// newTestBed returns a test bed with the given number of instances, two prefill
// engines (p1, p2) and two decode engines (d1, d2), which have the given numbers
// of slots and memory pieces each.
func newTestBed(seed uint64, instances, slots, pieces int) *testBed {
	b := &testBed{now: epoch, rand: rand.New(rand.NewPCG(seed, 1)), cut: map[[2]ident.InstanceID]bool{}}
	b.content = &config.Content{
		Models: []config.Model{{Name: testModel, PieceTokens: 2000, KVBytesPerToken: 1000}},
		Policy: config.Policy{Order: "order.deadline", KVLifetime: 900 * time.Millisecond},
	}
	for _, id := range []ident.UpstreamID{"p1", "p2", "d1", "d2"} {
		u := config.Upstream{ID: id, Role: config.RoleDecode, Models: []string{testModel}, Slots: slots, Pieces: pieces,
			PrefillTokensPerSecond: 20000, LinkBytesPerSecond: 1e9, DecodeStep: 20 * time.Millisecond}
		if id[0] == 'p' {
			u.Role = config.RolePrefill
		}
		b.content.Upstreams = append(b.content.Upstreams, u)
	}
	for i := range instances {
		n := &node{testBed: b, answers: map[ident.AttemptID][]answer{}, retryDelays: map[ident.AttemptID]time.Duration{}}
		n.self = kernel.Self{Instance: ident.InstanceID(fmt.Sprintf("e%d", i+1)), Incarnation: 1, Zone: "z"}
		b.nodes = append(b.nodes, n)
	}
	for _, n := range b.nodes {
		n.start()
	}
	return b
}

// start gives the node a new policy, as after a restart of its process.
func (n *node) start() {
	n.policy = &Policy{}
	n.setView(1, nil)
	n.policy.Attach(n)
	n.policy.Configure(n.testBed.content)
}

// setView sets the node's view. The listed instances are dead in it, all others
// live.
func (n *node) setView(version uint64, dead map[ident.InstanceID]bool) {
	v := &kernel.View{Version: version, Trusted: true}
	for _, other := range n.testBed.nodes {
		liveness := kernel.Live
		if dead[other.self.Instance] {
			liveness = kernel.Dead
		}
		v.Instances = append(v.Instances, kernel.Instance{ID: other.self.Instance, Zone: other.self.Zone, Incarnation: other.self.Incarnation, Liveness: liveness})
	}
	for i, u := range n.testBed.content.Upstreams {
		v.Upstreams = append(v.Upstreams, kernel.Upstream{Index: i, ID: u.ID, Zone: n.testBed.zoneOf(string(u.ID)), Incarnation: 1, Liveness: kernel.Live, Spec: u})
	}
	n.view = v
}

func (b *testBed) zoneOf(name string) ident.Zone {
	if z, ok := b.zone[name]; ok {
		return z
	}
	return "z"
}

// The methods below implement kernel.JointHost.
func (n *node) Now() time.Time                           { return n.testBed.now }
func (n *node) Self() kernel.Self                        { return n.self }
func (n *node) View() *kernel.View                       { return n.view }
func (n *node) Content() *config.Content                 { return n.testBed.content }
func (n *node) Rand() *rand.Rand                         { return n.testBed.rand }
func (n *node) QueueLength() int                         { return 0 }
func (n *node) Prefix() kernel.PrefixStore               { return nil }
func (n *node) Model(string) *config.Model               { return &n.testBed.content.Models[0] }
func (n *node) Estimate(*kernel.Request) kernel.Estimate { return kernel.Estimate{} }

func (n *node) Upstream(id ident.UpstreamID) *kernel.Upstream {
	for i := range n.view.Upstreams {
		if n.view.Upstreams[i].ID == id {
			return &n.view.Upstreams[i]
		}
	}
	return nil
}

func (n *node) record(id ident.AttemptID, a answer) { n.answers[id] = append(n.answers[id], a) }

func (n *node) SlotGranted(id ident.AttemptID)             { n.record(id, answer{kind: "granted"}) }
func (n *node) SlotDenied(id ident.AttemptID, _ time.Time) { n.record(id, answer{kind: "denied"}) }
func (n *node) TransferEnded(prefill, decode ident.UpstreamID, _ time.Time, stalled bool) {
	n.transfers = append(n.transfers, transfer{prefill: prefill, decode: decode, stalled: stalled})
}

func (n *node) PlacementRefused(id ident.AttemptID, comeBack time.Duration) {
	n.record(id, answer{kind: "refused"})
	n.retryDelays[id] = comeBack
}
func (n *node) PlacementGranted(id ident.AttemptID, p kernel.Placement) {
	n.record(id, answer{kind: "placed", prefill: p.Prefill, decode: p.Decode})
}
func (n *node) DecodeGranted(id ident.AttemptID, d ident.UpstreamID) {
	n.record(id, answer{kind: "decode", decode: d})
}

// Send sends a message, or drops it with the probability loss. Between nodes
// that are cut off, and to a dead node, the message fails, of which the sender
// is notified.
func (n *node) Send(to ident.InstanceID, m kernel.PeerMessage) {
	b := n.testBed
	for _, other := range b.nodes {
		if other.self.Instance != to {
			continue
		}
		lost := b.rand.Float64() < b.loss
		d := delivery{from: n, to: other, m: m, failed: b.cut[[2]ident.InstanceID{n.self.Instance, to}] || other.dead}
		if lost && !d.failed {
			return
		}
		b.post(d)
		if b.rand.Float64() < b.repeat && !d.failed {
			b.post(d)
		}
	}
}

func (b *testBed) post(d delivery) {
	b.order++
	d.order = b.order
	d.at = b.now.Add(time.Millisecond)
	if b.jitter > 0 {
		d.at = d.at.Add(time.Duration(b.rand.Int64N(int64(b.jitter))))
	}
	heap.Push(&b.inFlight, d)
}

// run advances virtual time by d, delivers the messages due by then, and wakes
// the policies as they ask for it.
func (b *testBed) run(d time.Duration) {
	end := b.now.Add(d)
	for {
		at, ok := b.nextEvent()
		if !ok || at.After(end) {
			b.now = end
			return
		}
		b.now = at
		if len(b.inFlight) > 0 && !b.inFlight[0].at.After(at) {
			b.deliver(heap.Pop(&b.inFlight).(delivery))
			continue
		}
		for _, n := range b.nodes {
			n.wakeIfDue()
		}
	}
}

func (b *testBed) nextEvent() (time.Time, bool) {
	var at time.Time
	found := false
	if len(b.inFlight) > 0 {
		at, found = b.inFlight[0].at, true
	}
	for _, n := range b.nodes {
		t, ok := n.policy.NextWake()
		if n.dead || n.frozen || !ok {
			continue
		}
		if t.Before(b.now) {
			t = b.now
		}
		if !found || t.Before(at) {
			at, found = t, true
		}
	}
	return at, found
}

func (n *node) wakeIfDue() {
	t, ok := n.policy.NextWake()
	if ok && !n.dead && !n.frozen && !t.After(n.testBed.now) {
		n.policy.Wake()
	}
}

func (b *testBed) deliver(d delivery) {
	switch {
	case d.failed:
		if !d.from.dead {
			d.from.policy.Undelivered(d.to.self.Instance, d.m)
		}
	case d.to.dead:
	case d.to.frozen:
		d.to.inbox = append(d.to.inbox, d)
	default:
		d.to.policy.Receive(d.from.self.Instance, d.m)
	}
}

// thaw resumes a frozen node and delivers the messages that arrived meanwhile.
func (n *node) thaw() {
	n.frozen = false
	inbox := n.inbox
	n.inbox = nil
	for _, d := range inbox {
		n.testBed.deliver(d)
	}
}

// place requests a placement whose first output is due in the given time. avoid
// lists the engines that failed the request before.
func (n *node) place(due time.Duration, avoid ...ident.UpstreamID) ident.AttemptID {
	return n.placeVersion(due, nil, avoid...)
}

// placeVersion is place for a stream that goes on at the given software version, or
// has not begun if that is nil.
func (n *node) placeVersion(due time.Duration, version *string, avoid ...ident.UpstreamID) ident.AttemptID {
	n.seq++
	id := ident.AttemptID{Instance: n.self.Instance, Incarnation: n.self.Incarnation, Sequence: n.seq,
		Deadline: n.testBed.now.Add(20 * time.Second)}
	n.policy.Place(kernel.PlacementRequest{
		Reservation: id,
		Pieces:      4,
		Avoid:       avoid,

		SoftwareVersion: version,
		Request: &kernel.Request{ID: ident.RequestID(id.String()), Model: testModel, Workspace: "w",
			PromptTokens: 4000, MaxOutputTokens: 100, FirstOutputBy: n.testBed.now.Add(due), Deadline: id.Deadline},
	})
	return id
}

// last returns the newest answer to a reservation, or a zero answer.
func (n *node) last(id ident.AttemptID) answer {
	list := n.answers[id]
	if len(list) == 0 {
		return answer{}
	}
	return list[len(list)-1]
}

// dispatcherNode returns the dispatcher from the point of view of the first node
// that is not dead.
func (b *testBed) dispatcherNode() *node {
	for _, n := range b.nodes {
		if n.dead {
			continue
		}
		n.policy.refresh()
		for _, d := range b.nodes {
			if d.self.Instance == n.policy.dispatcherID(testModel) {
				return d
			}
		}
	}
	return nil
}

// holderNode returns a node that is neither dead nor the dispatcher.
func (b *testBed) holderNode() *node {
	for _, n := range b.nodes {
		if n != b.dispatcherNode() && !n.dead {
			return n
		}
	}
	return nil
}
