package roundtrip

import (
	"net/http"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Matching tells the response to a request from late second responses to earlier requests of the connection.
type Matching struct {
	// ID identifies the request in responses. A request is not sent on a connection that has carried another one with
	// its ID. One without an ID gets a connection of its own.
	ID string
	// Accepts reports whether a response belongs to the request; nil accepts any response. Others are read to their
	// end and discarded, at most MaxSkipped.
	Accepts    func(*http.Response) bool
	MaxSkipped int
}

// maxStrayResponses is the number of responses to earlier requests that MatchingHeader skips. A faulty upstream sends one
// for each request.
const maxStrayResponses = 3

// MatchingHeader returns the Matching of a request whose ID upstreams repeat in a header of the response. Responses
// without the header are accepted; see Attributed.
func MatchingHeader(header, id string) Matching {
	accepts := func(r *http.Response) bool {
		named := r.Header.Get(header)
		return named == "" || named == id
	}
	return Matching{ID: id, Accepts: accepts, MaxSkipped: maxStrayResponses}
}

// Attributed reports whether a response to a request with a MatchingHeader can belong to no other request: it has the
// header, or its connection has carried no earlier request. The connection of any other response is not used again.
func Attributed(resp *http.Response, header string) bool {
	if resp.Header.Get(header) != "" || !OnUsedConnection(resp) {
		return true
	}
	DoNotReuse(resp)
	return false
}

// attribution is the Matching of a request. byID means that responses are matched by the request's ID; without it, the ID
// is not set.
type attribution struct {
	Matching
	byID bool
}

// alone reports whether the request needs a connection that carries no other one.
func (a attribution) alone() bool { return a.byID && a.ID == "" }

// maxCarriedIDs is the number of requests after which no late second response is expected.
const maxCarriedIDs = 32

// carriedIDs holds hashes of the IDs of the last requests of a connection.
type carriedIDs struct{ hashes []uint64 }

// add records a request.
func (c *carriedIDs) add(id string) {
	if len(c.hashes) >= maxCarriedIDs {
		c.hashes = slices.Delete(c.hashes, 0, 1)
	}
	c.hashes = append(c.hashes, xxhash.Sum64String(id))
}

// has reports whether one of the requests had the ID.
func (c *carriedIDs) has(id string) bool { return slices.Contains(c.hashes, xxhash.Sum64String(id)) }
