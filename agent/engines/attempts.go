package engines

import (
	"context"
	"net/http"
)

// heldBody is the answer to a read of the held attempts.
type heldBody struct {
	Requests []struct {
		ID string `json:"id"`
	} `json:"requests"`
}

// Held lists the IDs of the attempts that an engine holds.
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

// abortBody is the body of an abort.
type abortBody struct {
	Attempt string `json:"rid"`
}

// abortAnswer is the answer to an abort.
type abortAnswer struct {
	Released bool `json:"released"`
}

// Abort has an engine release an attempt. It reports whether this call released
// something; a nil error alone is the acknowledgement that nothing is held.
func (c *Client) Abort(ctx context.Context, address, attempt string) (bool, error) {
	var a abortAnswer
	_, err := c.call(ctx, http.MethodPost, address, pathAbort, abortBody{Attempt: attempt}, &a)
	return a.Released, err
}
