// Package origin remembers the software versions of the engines that began streams. A stream may go on
// only at the version that began it, and its caller may resume it at any instance.
package origin

import (
	"sync"
	"time"
)

// TTL is how long the origin of a stream is remembered. Callers wait for up to 14 s for a stream,
// from their first attempt.
const TTL = 30 * time.Second

// maxOrigins limits the number of origins that are remembered.
const maxOrigins = 1 << 14

// maxAttemptBytes limits the length of the IDs of attempts, which callers choose.
const maxAttemptBytes = 256

// Origin is the beginning of a stream.
type Origin struct {
	// Attempt is the ID of the caller's attempt that brought the stream's first event.
	Attempt string `json:"a"`
	// Version is the software version of the engine that sent it.
	Version string `json:"v"`
}

// Source says how the origin of a stream is known.
type Source string

// The sources, as they appear in logs.
const (
	// Unknown means that nobody knows the origin.
	Unknown Source = "unknown"
	// SoleVersion means that only one version can have begun the stream.
	SoleVersion Source = "sole_version"
	// OwnRecord means that this instance began the stream or was told of it, PeerRecord that a peer did.
	OwnRecord  Source = "own_record"
	PeerRecord Source = "peer_record"
	// EngineTrace means that there is no record, and that engines show which version began the stream.
	EngineTrace Source = "engine_trace"
)

// Register remembers the origins of streams for TTL. It is safe for concurrent use.
type Register struct {
	mu      sync.Mutex
	origins map[string]*entry
	// queue holds the entries in the order in which they expire.
	queue []*entry
}

// entry is an origin that is remembered.
type entry struct {
	Origin
	service string
	at      time.Time
	// shared means that the instances responsible for the origin have been told.
	shared bool
}

// NewRegister returns an empty register.
func NewRegister() *Register { return &Register{origins: map[string]*entry{}} }

// Add remembers the origin of a stream of a service that this instance serves. An origin that is known is
// remembered for another TTL.
func (r *Register) Add(now time.Time, service string, o Origin) { r.add(now, service, o, false) }

// AddShared remembers an origin that a peer has shared.
func (r *Register) AddShared(now time.Time, o Origin) { r.add(now, "", o, true) }

func (r *Register) add(now time.Time, service string, o Origin, shared bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.expire(now)
	if o.Attempt == "" || len(o.Attempt) > maxAttemptBytes {
		return
	}
	if known := r.origins[o.Attempt]; known != nil && known.Version != o.Version {
		// Only the first event of an attempt is an origin.
		return
	}
	e := &entry{Origin: o, service: service, at: now, shared: shared}
	r.origins[o.Attempt] = e
	r.queue = append(r.queue, e)
}

// expire forgets entries that are older than TTL, and the oldest ones while there are too many.
func (r *Register) expire(now time.Time) {
	n := 0
	for n < len(r.queue) && (now.Sub(r.queue[n].at) > TTL || len(r.queue)-n >= maxOrigins) {
		e := r.queue[n]
		if r.origins[e.Attempt] == e {
			delete(r.origins, e.Attempt)
		}
		n++
	}
	r.queue = r.queue[n:]
}

// Find returns the software version that began a stream, named by the attempt that brought its first
// event. ok is false if it is not known.
func (r *Register) Find(now time.Time, attempt string) (version string, ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.expire(now)
	e := r.origins[attempt]
	if e == nil {
		return "", false
	}
	return e.Version, true
}

// Unshared returns the origins of the services for which share returns true that have not been shared, and
// marks them as shared. share is called once for each service.
func (r *Register) Unshared(now time.Time, share func(service string) bool) []Origin {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.expire(now)
	var out []Origin
	verdicts := map[string]bool{}
	for _, e := range r.queue {
		if e.shared {
			continue
		}
		verdict, asked := verdicts[e.service]
		if !asked {
			verdict = share(e.service)
			verdicts[e.service] = verdict
		}
		if verdict {
			e.shared = true
			out = append(out, e.Origin)
		}
	}
	return out
}

// Empty reports whether no origin is remembered.
func (r *Register) Empty(now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.expire(now)
	return len(r.queue) == 0
}
