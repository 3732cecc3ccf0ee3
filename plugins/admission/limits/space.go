package limits

import (
	"math"
	"time"

	"github.com/wardspool/wardspool/ident"
	"github.com/wardspool/wardspool/internal/tokenbucket"
)

const (
	// demandTimeConstant is the time constant of the measured demand.
	demandTimeConstant = time.Second
	// headroom is the factor by which the capacity that an instance claims
	// exceeds its measured demand.
	headroom = 1.25
	// initialTokens is the number of tokens in the bucket of a new instance.
	initialTokens = 1
	// negligibleDemand is the demand, in requests per second or slots, below
	// which it counts as zero.
	negligibleDemand = 0.05
)

// workspaceState is this instance's state for one workspace that has limits.
type workspaceState struct {
	name ident.Workspace
	// limit applies to all instances together. A zero rate or number of slots
	// means no limit.
	limit Amount
	burst float64
	// active is the number of requests in flight at this instance.
	active int
	bucket tokenbucket.Bucket
	demand demand
	// base is this instance's equal share, computed for version baseVersion of
	// the division.
	base        Amount
	baseVersion uint64
	loans       peerMap[loan]
	borrowings  peerMap[borrowing]
}

// needs returns the amount that the instance needs for its own requests, with
// headroom, bounded by the workspace's limit.
func (s *workspaceState) needs(now time.Time) Amount {
	s.demand.decay(now)
	need := Amount{Rate: s.demand.rate * headroom}
	if need.Rate < negligibleDemand {
		need.Rate = 0
	}
	slots := max(s.demand.slots, float64(s.active))
	if slots >= negligibleDemand {
		need.Slots = int(math.Ceil(slots * headroom))
	}
	return need.atMost(s.limit)
}

// demand measures the requests offered by callers, whether or not they are
// admitted. All values decay exponentially with the time constant
// demandTimeConstant.
type demand struct {
	// rate is in requests per second, slots in concurrent requests.
	rate, slots float64
	// refused is the decayed number of requests refused for lack of slots.
	refused float64
	// at is the time up to which the decay has been applied.
	at time.Time
}

// decay applies the decay up to time now.
func (d *demand) decay(now time.Time) {
	if !d.at.IsZero() {
		left := math.Exp(-max(now.Sub(d.at).Seconds(), 0) / demandTimeConstant.Seconds())
		d.rate *= left
		d.slots *= left
		d.refused *= left
	}
	d.at = now
}

// recordArrival records the arrival of a request while active others are in
// flight.
func (d *demand) recordArrival(active int, now time.Time) {
	d.decay(now)
	d.rate += 1 / demandTimeConstant.Seconds()
	d.slots = max(d.slots, float64(active+1)+d.refused)
}

// recordRefusal records a request that was refused for lack of slots.
func (d *demand) recordRefusal() { d.refused++ }
