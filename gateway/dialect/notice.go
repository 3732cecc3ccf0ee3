package dialect

import "time"

// Notice is what an upstream states about itself in the head of a response.
type Notice struct {
	// From is the upstream that responded.
	From Upstream
	// RequestedAt is when the request was sent. Responses on different connections may overtake
	// each other, so a response is only known to be newer than another one if its request was sent
	// after the other one had arrived.
	RequestedAt time.Time
	// RateLimit is how many requests per second the upstream accepts from all instances together,
	// nil if the response states no limit. LimitUnknown means that it states one that could not be
	// read.
	RateLimit    *float64
	LimitUnknown bool
	// Leaving means that the upstream is shutting down and accepts no new requests.
	Leaving bool
	// Rest is how long the upstream wants no requests from this instance, 0 if it states nothing.
	Rest time.Duration
	// Malformed names the headers that were ignored because of their values.
	Malformed []string
}
