// Package inquiry sends the same call to several wardspool processes in parallel,
// for operators' tools.
package inquiry

import (
	"context"
	"fmt"
	"io"

	"github.com/wardspool/wardspool/peer"
)

// Unreachable is a process that returned no reply, and the error of the call.
type Unreachable struct {
	Address string `json:"address"`
	Error   string `json:"error"`
}

// result is the reply or error of one call.
type result[Reply any] struct {
	reply Reply
	err   error
}

// CallAll calls a method at all addresses ("ip:port") in parallel. It returns the
// replies and the processes that returned none, both in the order of the addresses.
func CallAll[Reply any](ctx context.Context, pool *peer.Pool, addresses []string, method string, req any) ([]Reply, []Unreachable) {
	results := make([]chan result[Reply], len(addresses))
	for i, addr := range addresses {
		results[i] = make(chan result[Reply], 1)
		go func() {
			reply, err := peer.Call[Reply](ctx, pool, addr, method, req)
			results[i] <- result[Reply]{reply, err}
		}()
	}
	var replies []Reply
	var unreachable []Unreachable
	for i, addr := range addresses {
		r := <-results[i]
		if r.err != nil {
			unreachable = append(unreachable, Unreachable{Address: addr, Error: r.err.Error()})
			continue
		}
		replies = append(replies, r.reply)
	}
	return replies, unreachable
}

// WriteUnreachable writes one line for each process that returned no reply.
func WriteUnreachable(w io.Writer, list []Unreachable) {
	for _, u := range list {
		fmt.Fprintf(w, "not reached: %s: %s\n", u.Address, u.Error)
	}
}
