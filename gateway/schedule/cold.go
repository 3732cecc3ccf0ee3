package schedule

import (
	"time"

	"github.com/wardspool/wardspool/ident"
	"github.com/wardspool/wardspool/internal/tokenbucket"
)

// ColdQuota is the rate at which an instance may send to a cold upstream, in requests per
// second; 0 means that it may send none.
type ColdQuota float64

// coldBurst is the number of requests that an instance may send to a cold upstream at once. All
// instances with a quota may send their bursts at the same time.
const coldBurst = 1

// SetCold sets this instance's quotas for cold upstreams. Upstreams without a quota are not
// limited.
func (b *Scheduler) SetCold(quotas map[ident.UpstreamID]ColdQuota) {
	b.mu.Lock()
	defer b.mu.Unlock()
	cold := map[ident.UpstreamID]*coldLimit{}
	for id, quota := range quotas {
		l := b.coldLimits[id]
		if l == nil {
			l = &coldLimit{}
		}
		l.rate = float64(quota)
		cold[id] = l
	}
	b.coldLimits = cold
}

// coldLimit enforces an instance's quota for one cold upstream. A nil limit allows all requests.
type coldLimit struct {
	rate   float64
	bucket tokenbucket.Bucket
}

// allows reports whether one more request may be sent now.
func (l *coldLimit) allows(now time.Time) bool {
	if l == nil {
		return true
	}
	if l.rate <= 0 {
		return false
	}
	l.bucket.Fill(now, l.rate, coldBurst, coldBurst)
	return l.bucket.Tokens >= 1
}

// take charges one request to the quota.
func (l *coldLimit) take() {
	if l != nil {
		l.bucket.Tokens--
	}
}
