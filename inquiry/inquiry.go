// Package inquiry asks several of wardspool's processes the same, all at once, for
// operators' tools.
package inquiry

import (
	"context"
	"fmt"
	"io"

	"github.com/wardspool/wardspool/peer"
)

// Unreached is a process that gave no answer.
type Unreached struct {
	Address string `json:"address"`
	Error   string `json:"error"`
}

// result is how one call ended.
type result[Reply any] struct {
	reply Reply
	err   error
}

// All calls a method at all addresses ("ip:port") at once. It returns the answers and
// those who gave none, both in the order of the addresses.
func All[Reply any](ctx context.Context, pool *peer.Pool, addresses []string, method string, req any) ([]Reply, []Unreached) {
	results := make([]chan result[Reply], len(addresses))
	for i, addr := range addresses {
		results[i] = make(chan result[Reply], 1)
		go func() {
			reply, err := peer.Call[Reply](ctx, pool, addr, method, req)
			results[i] <- result[Reply]{reply, err}
		}()
	}
	var replies []Reply
	var unreached []Unreached
	for i, addr := range addresses {
		r := <-results[i]
		if r.err != nil {
			unreached = append(unreached, Unreached{Address: addr, Error: r.err.Error()})
			continue
		}
		replies = append(replies, r.reply)
	}
	return replies, unreached
}

// WriteUnreached writes a line for each that gave no answer.
func WriteUnreached(w io.Writer, list []Unreached) {
	for _, u := range list {
		fmt.Fprintf(w, "not reached: %s: %s\n", u.Address, u.Error)
	}
}
