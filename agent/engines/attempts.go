package engines

import (
	"context"
	"net/http"
)

// heldBody is the body of the response that lists the held attempts.
type heldBody struct {
	Requests []struct {
		ID string `json:"id"`
	} `json:"requests"`
}

// Held returns the IDs of the attempts that an engine holds.
func (c *Client) Held(ctx context.Context, address string) ([]string, error) {
	var b heldBody
	if _, err := c.call(ctx, http.MethodGet, address, pathRequests, nil, &b); err != nil {
		return nil, err
	}
	ids := make([]string, len(b.Requests))
	for i, r := range b.Requests {
		ids[i] = r.ID
	}
	return ids, nil
}

// abortBody is the body of an abort request.
type abortBody struct {
	Attempt string `json:"rid"`
}

// abortAnswer is the body of the response to an abort request.
type abortAnswer struct {
	Released bool `json:"released"`
}

// Abort makes an engine release an attempt. It reports whether this call released
// anything. A nil error acknowledges that the engine no longer holds the attempt,
// whatever the result.
func (c *Client) Abort(ctx context.Context, address, attempt string) (bool, error) {
	var a abortAnswer
	_, err := c.call(ctx, http.MethodPost, address, pathAbort, abortBody{Attempt: attempt}, &a)
	return a.Released, err
}
