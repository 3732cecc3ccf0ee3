package experiment

import (
	"time"

	"github.com/wardspool/wardspool/config"
	"github.com/wardspool/wardspool/ident"
	"github.com/wardspool/wardspool/kernel"
)

// upstream is the state common to all simulated upstreams.
type upstream struct {
	spec        config.Upstream
	zone        ident.Zone
	incarnation ident.Incarnation
	alive       bool
	// downAt is the time at which it was last killed.
	downAt time.Duration
}

// backend is a simulated upstream of any role.
type backend interface {
	base() *upstream
	// accept takes an attempt in, or returns the failure with which it refuses
	// it.
	accept(a *attempt) *kernel.AttemptFailed
	// cancel releases everything held for an attempt.
	cancel(id ident.AttemptID)
	// kill discards all state; attempts that were not done are reported as
	// broken.
	kill()
	load() kernel.Load
	// heldAttempts lists the attempts that hold memory.
	heldAttempts() []*attempt
}

func (u *upstream) base() *upstream { return u }

// markDead marks the upstream as dead; restart revives it in a new incarnation.
func (u *upstream) markDead(now time.Duration) {
	u.alive = false
	u.downAt = now
}

func (u *upstream) restart() {
	u.alive = true
	u.incarnation++
}

// attempt is one stage of a submission on an upstream. It is shared by the
// driver that sent it and the upstream that runs it.
type attempt struct {
	id    ident.AttemptID
	sub   *submission
	owner owner
	// upstream is the upstream that it was sent to, incarnation the upstream's
	// incarnation at that time.
	upstream    backend
	incarnation ident.Incarnation
	role        config.Role
	kv          *attempt
	startOffset int
	// generated is the offset of the next token, for decodes.
	generated int
	// disconnected is true while the connection to the owner is broken;
	// receivedTokens is then the offset up to which output had arrived.
	disconnected   bool
	receivedTokens int
	// started is set once the upstream has started work on it.
	started bool
	// computedTokens is the number of prompt tokens computed, for prefills; used
	// is set once a decode has imported the result.
	computedTokens int
	used           bool
	// prefilledAt is the time at which the prefill's result was ready.
	prefilledAt time.Duration
	ended       bool
}

// offset returns how many tokens have reached the owner.
func (a *attempt) offset() int {
	if a.disconnected {
		return a.receivedTokens
	}
	return max(a.generated, a.startOffset)
}

// disconnect marks the connection between upstream and owner as broken.
func (a *attempt) disconnect() {
	a.receivedTokens = a.offset()
	a.disconnected = true
}
