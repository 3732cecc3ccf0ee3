package lease

import (
	"time"

	"github.com/wardspool/wardspool/ident"
	"github.com/wardspool/wardspool/kernel"
	"github.com/wardspool/wardspool/plugins/slots/slotkit"
)

// lease is the grantor's record of one leased slot.
type lease struct {
	key     slotkit.Key
	expires time.Time
	pieces  int
	// seq is the sequence number of the Ask or Renew that created the lease.
	seq     uint64
	granted time.Time
	// usedAt is when the use of the slot began or is expected to begin.
	usedAt time.Time
}

// endedLease records when a past lease was granted and when it ended. A load
// report that was made before the end still counts the lease's request.
type endedLease struct{ granted, endedAt time.Time }

// Bounds on the size of a ledger, in multiples of the engine's slots.
const (
	// maxLeases leaves room for the leases of two grantors, which are merged
	// when one of them takes over.
	maxLeases = 4
	// maxEnded is enough for the leases that end while a load report is delayed.
	maxEnded = 4
)

// ledger is a grantor's record of the leases and queued asks of one engine.
type ledger struct {
	upstream    ident.UpstreamID
	incarnation ident.Incarnation
	leases      []lease
	ended       []endedLease
	queue       askQueue
	// peak is the highest number of foreign requests seen recently, and peakAt
	// when it was last seen. See foreign and foreignWindow.
	peak   int
	peakAt time.Time
	// meanHoldTime is the moving average of how long slots are in use, 0 before
	// the first observation.
	meanHoldTime time.Duration
	// takeOverStart is when the take-over began: when this instance became the
	// grantor or resumed after a pause.
	takeOverStart time.Time
	// takeOverDone is set when the take-over has ended and all leases are taken
	// to be known.
	takeOverDone bool
	// renewedBy are the instances that have sent a Renew since the take-over
	// began.
	renewedBy map[ident.InstanceID]struct{}
	// penalty is the number of slots that are not leased until penaltyEnd
	// because the engine refused requests.
	penalty    int
	penaltyEnd time.Time
	// meanPieces is the moving average of the pieces asked for.
	meanPieces float64
}

// newLedger returns an empty ledger whose take-over begins now.
func newLedger(u *kernel.Upstream, now time.Time) *ledger {
	return &ledger{
		upstream:      u.ID,
		incarnation:   u.Incarnation,
		takeOverStart: now,
		renewedBy:     map[ident.InstanceID]struct{}{},
	}
}

// restart clears the leases of an engine that has restarted and therefore lost
// its requests.
func (l *ledger) restart(incarnation ident.Incarnation) {
	l.incarnation = incarnation
	l.leases = l.leases[:0]
	l.ended = l.ended[:0]
	l.penalty = 0
	l.peak = 0
}

// find returns the index of the lease, or -1 if there is none.
func (l *ledger) find(key slotkit.Key) int {
	for i := range l.leases {
		if l.leases[i].key == key {
			return i
		}
	}
	return -1
}

// add records a lease unless the ledger is full, and reports whether it did.
func (l *ledger) add(n lease, slots int) bool {
	if len(l.leases) >= maxLeases*max(slots, 1) {
		return false
	}
	l.leases = append(l.leases, n)
	return true
}

// end removes the lease at index i and records it as ended.
func (l *ledger) end(i int, now time.Time, slots int) {
	l.ended = append(l.ended, endedLease{granted: l.leases[i].granted, endedAt: now})
	if drop := len(l.ended) - maxEnded*max(slots, 1); drop > 0 {
		l.ended = append(l.ended[:0], l.ended[drop:]...)
	}
	l.leases = append(l.leases[:i], l.leases[i+1:]...)
}

// expire ends the leases whose deadline has passed and reports whether any did.
func (l *ledger) expire(now time.Time, slots int) bool {
	before := len(l.leases)
	for i := len(l.leases) - 1; i >= 0; i-- {
		if !l.leases[i].expires.After(now) {
			l.end(i, now, slots)
		}
	}
	return len(l.leases) < before
}

// pieces returns the KV memory of all leases, in pieces.
func (l *ledger) pieces() int {
	total := 0
	for i := range l.leases {
		total += l.leases[i].pieces
	}
	return total
}

// leasesAt returns how many of the known leases existed at a past time.
func (l *ledger) leasesAt(at time.Time) int {
	n := 0
	for i := range l.leases {
		if !l.leases[i].granted.After(at) {
			n++
		}
	}
	for i := range l.ended {
		if !l.ended[i].granted.After(at) && l.ended[i].endedAt.After(at) {
			n++
		}
	}
	return n
}

// foreign returns how many requests in the engine's load report are not covered
// by a known lease. They come from another grantor (if instances have different
// views), from static shares or from a dead instance.
func (l *ledger) foreign(u *kernel.Upstream) int {
	if u.Load.At.IsZero() {
		return 0
	}
	return max(u.Load.Running+u.Load.Waiting-l.leasesAt(u.Load.At), 0)
}

// foreignWindow is how long the highest number of foreign requests is taken into
// account after it was seen. Load reports are delayed, and the instances that
// sent those requests are likely to send more.
const foreignWindow = 1 * time.Second

// foreignPeak returns the highest number of foreign requests seen within
// foreignWindow.
func (l *ledger) foreignPeak(u *kernel.Upstream, now time.Time) int {
	n := l.foreign(u)
	if n >= l.peak || now.Sub(l.peakAt) > foreignWindow {
		l.peak, l.peakAt = n, now
	}
	return l.peak
}

// recordRefusal records that the engine refused a request for lack of a slot.
// Each refusal within penaltyTime of the one before lowers the limit by one
// more slot, up to half of the slots but at least one.
func (l *ledger) recordRefusal(now time.Time, slots int) {
	if now.After(l.penaltyEnd) {
		l.penalty = 0
	}
	l.penalty = min(l.penalty+1, max(slots/2, 1))
	l.penaltyEnd = now.Add(penaltyTime)
}

// penaltyTime is how long a refusal reduces the slots taken to be free. It is
// well above the time in which a load report that shows the cause arrives.
const penaltyTime = 1 * time.Second

// foreignMargin is the number of slots that are not leased while another
// instance appears to use or lease slots of the same engine.
const foreignMargin = 1

// limit returns the maximum number of leases that this grantor may have now. It
// may be negative.
func (l *ledger) limit(u *kernel.Upstream, now time.Time, margin int) int {
	limit := slotkit.Slots(u)
	if foreign := l.foreignPeak(u, now); foreign > 0 {
		limit -= foreign + foreignMargin
	}
	if !now.After(l.penaltyEnd) {
		limit -= l.penalty
	}
	if l.takeOverDone {
		return limit
	}
	return min(limit, l.takeOverLimit(u, margin))
}

// takeOverLimit returns the limit for a grantor that may not know all leases
// yet: the known leases that the load report already counts, plus the slots that
// it shows as free, less a margin for slots that were leased but not in use when
// the report was made. Without a load report it is 0.
func (l *ledger) takeOverLimit(u *kernel.Upstream, margin int) int {
	if u.Load.At.IsZero() {
		return 0
	}
	reported := slotkit.Slots(u) - u.Load.Running - u.Load.Waiting - margin
	return reported + l.inUseAt(u.Load.At)
}

// inUseAt returns how many leases were in use at the given time, so that a
// load report made then counts them.
func (l *ledger) inUseAt(at time.Time) int {
	n := 0
	for i := range l.leases {
		if !l.leases[i].usedAt.After(at) {
			n++
		}
	}
	return n
}

// averageDivisor is the inverse of the weight that the newest observation has in
// an (exponentially weighted) moving average.
const averageDivisor = 8

// observeAsk adds the memory that an ask needs to the moving average.
func (l *ledger) observeAsk(ask *Ask) {
	l.meanPieces += (float64(ask.Pieces) - l.meanPieces) / averageDivisor
}

// observeHoldTime adds the time for which a slot was in use to the moving
// average.
func (l *ledger) observeHoldTime(d time.Duration) {
	if l.meanHoldTime == 0 {
		l.meanHoldTime = d
		return
	}
	l.meanHoldTime += (d - l.meanHoldTime) / averageDivisor
}

// defaultHoldTime is the assumed time for which a slot is in use, before any was
// observed.
const defaultHoldTime = 2 * time.Second

// nextFree returns the expected time until one of the leased slots becomes free.
func (l *ledger) nextFree() time.Duration {
	hold := l.meanHoldTime
	if hold == 0 {
		hold = defaultHoldTime
	}
	return hold / time.Duration(max(len(l.leases), 1))
}

// wait returns the expected waiting time of a new ask behind those in the queue.
func (l *ledger) wait() time.Duration {
	return l.nextFree() * time.Duration(len(l.queue)+1)
}
