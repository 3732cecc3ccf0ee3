package engines

import (
	"context"
	"net/http"
)

// attemptsBody is the body of the response that lists the held attempts.
type attemptsBody struct {
	Requests []struct {
		ID string `json:"id"`
	} `json:"requests"`
}

// HeldAttempts returns the IDs of the attempts that an engine holds.
func (c *Client) HeldAttempts(ctx context.Context, address string) ([]string, error) {
	var b attemptsBody
	if _, err := c.call(ctx, http.MethodGet, address, pathRequests, nil, &b); err != nil {
		return nil, err
	}
	ids := make([]string, len(b.Requests))
	for i, r := range b.Requests {
		ids[i] = r.ID
	}
	return ids, nil
}

// abortRequest is the body of an abort request.
type abortRequest struct {
	Attempt string `json:"rid"`
}

// abortResponse is the body of the response to an abort request.
type abortResponse struct {
	Released bool `json:"released"`
}

// Abort makes an engine release an attempt. It reports whether this call released
// anything. A nil error acknowledges that the engine no longer holds the attempt,
// whatever the result.
func (c *Client) Abort(ctx context.Context, address, attempt string) (bool, error) {
	var a abortResponse
	_, err := c.call(ctx, http.MethodPost, address, pathAbort, abortRequest{Attempt: attempt}, &a)
	return a.Released, err
}
