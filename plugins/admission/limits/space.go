package limits

import (
	"math"
	"time"

	"github.com/wardspool/wardspool/ident"
	"github.com/wardspool/wardspool/internal/tokenbucket"
)

const (
	// demandMemory is the time constant of the measured demand.
	demandMemory = time.Second
	// headroom is the factor by which the capacity that an instance claims
	// exceeds its measured demand.
	headroom = 1.25
	// newBucket is the number of tokens in the bucket of a new instance.
	newBucket = 1
	// forgotten is the demand, in requests per second or slots, below which it
	// counts as zero.
	forgotten = 0.05
)

// space is this instance's state for one workspace that has limits.
type space struct {
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
	loans       roster[loan]
	debts       roster[debt]
}

// needs returns the amount that the instance needs for its own requests, with
// headroom, bounded by the workspace's limit.
func (s *space) needs(now time.Time) Amount {
	s.demand.fade(now)
	need := Amount{Rate: s.demand.rate * headroom}
	if need.Rate < forgotten {
		need.Rate = 0
	}
	slots := max(s.demand.slots, float64(s.active))
	if slots >= forgotten {
		need.Slots = int(math.Ceil(slots * headroom))
	}
	return need.atMost(s.limit)
}

// demand measures the requests offered by callers, whether or not they are
// admitted. All values decay exponentially with demandMemory.
type demand struct {
	// rate is in requests per second, slots in concurrent requests.
	rate, slots float64
	// refused is the decayed number of requests refused for lack of slots.
	refused float64
	// at is the time up to which the decay has been applied.
	at time.Time
}

// fade applies the decay up to time now.
func (d *demand) fade(now time.Time) {
	if !d.at.IsZero() {
		left := math.Exp(-max(now.Sub(d.at).Seconds(), 0) / demandMemory.Seconds())
		d.rate *= left
		d.slots *= left
		d.refused *= left
	}
	d.at = now
}

// arrival records the arrival of a request while active others are in flight.
func (d *demand) arrival(active int, now time.Time) {
	d.fade(now)
	d.rate += 1 / demandMemory.Seconds()
	d.slots = max(d.slots, float64(active+1)+d.refused)
}

// refuse records a request that was refused for lack of slots.
func (d *demand) refuse() { d.refused++ }
