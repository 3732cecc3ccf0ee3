package lease

import (
	"time"

	"github.com/wardspool/wardspool/ident"
	"github.com/wardspool/wardspool/kernel"
	"github.com/wardspool/wardspool/plugins/slots/slotkit"
)

// lease is one slot given out, as its grantor knows it.
type lease struct {
	key     slotkit.Key
	expires time.Time
	pieces  int
	// seq is the number of the message that brought the lease about.
	seq     uint64
	granted time.Time
	// usedAt is when the slot was, or is expected to be, put to use.
	usedAt time.Time
}

// ended remembers when a lease that is over was granted and when it ended, so
// that a load report from before its end can be understood.
type ended struct{ granted, at time.Time }

// Bounds of a ledger, in multiples of the engine's slots.
const (
	// maxLeases is reached when two grantors' leases are put together.
	maxLeases = 4
	// maxEnded covers the leases that end during the lag of a load report.
	maxEnded = 4
)

// ledger is what a grantor knows of one engine's slots.
type ledger struct {
	upstream    ident.UpstreamID
	incarnation ident.Incarnation
	leases      []lease
	ended       []ended
	queue       askQueue
	// peak is the most foreign requests seen, last at peakAt.
	peak   int
	peakAt time.Time
	// hold is a running mean of the time slots are held, 0 until one was.
	hold time.Duration
	// since is when this instance became the grantor.
	since time.Time
	// settled is set when the take-over is over.
	settled bool
	// heard are the instances that sent a Renew since then.
	heard map[ident.InstanceID]struct{}
	// penalty is the number of slots not believed to exist, because the engine
	// refused, until penaltyEnd.
	penalty    int
	penaltyEnd time.Time
	// need is a running mean of the pieces asked for.
	need float64
}

func newLedger(u *kernel.Upstream, now time.Time) *ledger {
	return &ledger{
		upstream:    u.ID,
		incarnation: u.Incarnation,
		since:       now,
		heard:       map[ident.InstanceID]struct{}{},
	}
}

// restart forgets the leases of an engine that has lost its memory.
func (l *ledger) restart(incarnation ident.Incarnation) {
	l.incarnation = incarnation
	l.leases = l.leases[:0]
	l.ended = l.ended[:0]
	l.penalty = 0
	l.peak = 0
}

// find returns the lease's place, -1 if there is none.
func (l *ledger) find(key slotkit.Key) int {
	for i := range l.leases {
		if l.leases[i].key == key {
			return i
		}
	}
	return -1
}

// add enters a lease unless the ledger is full.
func (l *ledger) add(n lease, slots int) bool {
	if len(l.leases) >= maxLeases*max(slots, 1) {
		return false
	}
	l.leases = append(l.leases, n)
	return true
}

// end removes the lease at place i.
func (l *ledger) end(i int, now time.Time, slots int) {
	l.ended = append(l.ended, ended{granted: l.leases[i].granted, at: now})
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

// pieces returns the KV memory leased out.
func (l *ledger) pieces() int {
	total := 0
	for i := range l.leases {
		total += l.leases[i].pieces
	}
	return total
}

// liveAt returns how many known leases existed at a past time.
func (l *ledger) liveAt(at time.Time) int {
	n := 0
	for i := range l.leases {
		if !l.leases[i].granted.After(at) {
			n++
		}
	}
	for i := range l.ended {
		if !l.ended[i].granted.After(at) && l.ended[i].at.After(at) {
			n++
		}
	}
	return n
}

// foreign returns how many requests the engine runs, by its load report, that
// no known lease accounts for: those of instances with another view, of static
// shares, or of an instance that is dead.
func (l *ledger) foreign(u *kernel.Upstream) int {
	if u.Load.At.IsZero() {
		return 0
	}
	return max(u.Load.Running+u.Load.Waiting-l.liveAt(u.Load.At), 0)
}

// foreignMemory is how long the most foreign requests seen are reckoned with.
// Reports are late, and whoever runs them is about to run more.
const foreignMemory = 1 * time.Second

// foreignPeak returns the most foreign requests seen of late.
func (l *ledger) foreignPeak(u *kernel.Upstream, now time.Time) int {
	n := l.foreign(u)
	if n >= l.peak || now.Sub(l.peakAt) > foreignMemory {
		l.peak, l.peakAt = n, now
	}
	return l.peak
}

// refused notes that the engine had no slot where one was believed free.
func (l *ledger) refused(now time.Time, slots int) {
	if now.After(l.penaltyEnd) {
		l.penalty = 0
	}
	l.penalty = min(l.penalty+1, max(slots/2, 1))
	l.penaltyEnd = now.Add(penaltyTime)
}

// penaltyTime is how long a refusal lowers the belief in free slots. Load
// reports that show the cause arrive well within it.
const penaltyTime = 1 * time.Second

// foreignMargin is the number of slots kept back while somebody else seems to
// give out the engine's slots too.
const foreignMargin = 1

// limit returns how many slots this instance may have leased out.
func (l *ledger) limit(u *kernel.Upstream, now time.Time, margin int) int {
	limit := slotkit.Slots(u)
	if foreign := l.foreignPeak(u, now); foreign > 0 {
		limit -= foreign + foreignMargin
	}
	if !now.After(l.penaltyEnd) {
		limit -= l.penalty
	}
	if l.settled {
		return limit
	}
	return min(limit, l.unsettledLimit(u, margin))
}

// unsettledLimit is the limit of a new grantor that may not know all leases
// yet: what the load report says is free, less a margin for slots leased but
// not in use when it was made. Without a report nothing is free.
func (l *ledger) unsettledLimit(u *kernel.Upstream, margin int) int {
	if u.Load.At.IsZero() {
		return 0
	}
	reported := slotkit.Slots(u) - u.Load.Running - u.Load.Waiting - margin
	return reported + l.usedBefore(u.Load.At)
}

// usedBefore returns how many leases the load report should already count.
func (l *ledger) usedBefore(at time.Time) int {
	n := 0
	for i := range l.leases {
		if !l.leases[i].usedAt.After(at) {
			n++
		}
	}
	return n
}

// newestShare is the inverse weight of the newest observation in running means.
const newestShare = 8

// noteAsk adds an ask to the running mean of the memory needed.
func (l *ledger) noteAsk(ask *Ask) {
	l.need += (float64(ask.Pieces) - l.need) / newestShare
}

// noteHold adds the time a slot was held to the running mean.
func (l *ledger) noteHold(d time.Duration) {
	if l.hold == 0 {
		l.hold = d
		return
	}
	l.hold += (d - l.hold) / newestShare
}

// guessHold is taken as the time a slot is held until one was observed.
const guessHold = 2 * time.Second

// nextFree returns the expected time until one of the leased slots falls free.
func (l *ledger) nextFree() time.Duration {
	hold := l.hold
	if hold == 0 {
		hold = guessHold
	}
	return hold / time.Duration(max(len(l.leases), 1))
}

// wait returns the expected wait of an ask made now.
func (l *ledger) wait() time.Duration {
	return l.nextFree() * time.Duration(len(l.queue)+1)
}
