package quarantine

import "time"

const (
	// acquittalPeriod is how long before a crash an answer must have begun to acquit the parts of
	// its prompt. It protects the parts that most prompts have while crashes leave few answers. A
	// part that begins to crash upstreams is recognized later by this time.
	acquittalPeriod = 5 * time.Second
	// maxRecentAnswers bounds the number of parts whose last answer is remembered, which take 400 KB.
	maxRecentAnswers = 8192
)

// recentAnswers remembers for at least acquittalPeriod when a service last began an answer to a prompt
// with a part. The zero value is ready to use.
type recentAnswers struct {
	current, previous map[servicePart]time.Time
	since             time.Time
}

// add records that an answer has begun.
func (b *recentAnswers) add(now time.Time, p servicePart) {
	if b.current == nil || now.Sub(b.since) >= acquittalPeriod {
		b.previous, b.current, b.since = b.current, map[servicePart]time.Time{}, now
	}
	if _, known := b.current[p]; known || len(b.current) < maxRecentAnswers/2 {
		b.current[p] = now
	}
}

// last returns when an answer last began, zero if that is not known.
func (b *recentAnswers) last(p servicePart) time.Time {
	if at, ok := b.current[p]; ok {
		return at
	}
	return b.previous[p]
}
