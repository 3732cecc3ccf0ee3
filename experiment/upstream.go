package experiment

import (
	"time"

	"github.com/wardspool/wardspool/config"
	"github.com/wardspool/wardspool/ident"
	"github.com/wardspool/wardspool/kernel"
)

// upstream is what every fake back end has.
type upstream struct {
	spec        config.Upstream
	zone        ident.Zone
	incarnation ident.Incarnation
	alive       bool
	// downAt is when it last died.
	downAt time.Duration
}

// backend is a fake back end of any role.
type backend interface {
	base() *upstream
	// accept takes an attempt in. It returns a failure if it refuses.
	accept(a *attempt) *kernel.AttemptFailed
	// cancel releases what is held for an attempt.
	cancel(id ident.AttemptID)
	// kill loses everything; attempts that were not done are reported broken.
	kill()
	load() kernel.Load
	// heldAttempts lists the attempts that hold memory.
	heldAttempts() []*attempt
}

func (u *upstream) base() *upstream { return u }

// markDead notes the death; revive begins the next life.
func (u *upstream) markDead(now time.Duration) {
	u.alive = false
	u.downAt = now
}

func (u *upstream) revive() {
	u.alive = true
	u.incarnation++
}

// attempt is one stage of a submission on a back end, as the driver that sent
// it and the back end that runs it share it.
type attempt struct {
	id    ident.AttemptID
	sub   *submission
	owner owner
	// upstream is the back end that it was sent to, in its life at that time.
	upstream    backend
	incarnation ident.Incarnation
	role        config.Role
	kv          *attempt
	from        int
	// generated is the next token, for decodes.
	generated int
	// unread is true while the connection to its owner is broken; received is
	// then what arrived before.
	unread   bool
	received int
	// ran says that the back end began to work on it.
	ran bool
	// computed counts the prompt tokens that were computed, for prefills;
	// used says that a decode imported the result.
	computed int
	used     bool
	// prefilled is when the prefill's result was ready.
	prefilled time.Duration
	over      bool
}

// offset is how many tokens have reached the owner.
func (a *attempt) offset() int {
	if a.unread {
		return a.received
	}
	return max(a.generated, a.from)
}

// breakOff notes that the connection between back end and owner is broken.
func (a *attempt) breakOff() {
	a.received = a.offset()
	a.unread = true
}
