package main

import (
	"context"
	"fmt"
	"net/http"
	"net/url"
	"time"
)

// doubledSlash adds a route with the prefix "/" by a new version of the configuration. Clients then send
// unsafe requests whose path begins with two slashes, which this prefix begins, and others. Without the
// new version no route matches these paths, and all of them are answered 404.
func doubledSlash(b *bed, trouble bool) (verdict, error) {
	zones := []string{"hall-a", "hall-b", "hall-c"}
	if err := b.addGateways(zones, map[string]int{"hall-a": 1, "hall-b": 1, "hall-c": 1}); err != nil {
		return failed, err
	}
	if err := b.addPlainRunners(zones); err != nil {
		return failed, err
	}
	place := route("order-place", "/pule252/", "unsafe", "preorder-api", 1, 1500, 300)
	b.store.put("op/config", configuration(3, place))
	if err := b.startAll(); err != nil {
		return failed, err
	}
	time.Sleep(3 * time.Second)
	if trouble {
		b.rec.add("version 7 adds the route order-any with the prefix /")
		b.store.put("op/config", configuration(7, place, route("order-any", "/", "unsafe", "preorder-api", 1, 1500, 300)))
	}
	// configMs is 2000.
	time.Sleep(2500 * time.Millisecond)
	sent := map[string]request{}
	statuses := map[int]int{}
	for i := range 30 {
		for _, target := range []string{"/pule252/2f", fmt.Sprintf("//orders/%d?unit=%d", i, i), fmt.Sprintf("/orders/%d", i)} {
			q := request{id: newID(), method: http.MethodPost, host: hostName, target: target, body: fmt.Sprintf("order %d", i), header: http.Header{"Deadline-Ms": {"3000"}}}
			sent[q.id] = q
			ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
			a := b.send(ctx, b.gateways[i%3].front, q)
			cancel()
			b.rec.add("client sends %s: POST %s, Host %s: answer %d %q", q.id, q.target, q.host, a.status, a.body)
			statuses[a.status]++
		}
	}
	b.rec.add("answers by status: %v", statuses)
	return b.checkTargets(sent), nil
}

// checkTargets checks the rule UNASKED: all runs have an id that a client sent, and its method, path,
// query and body. A target in absolute form stands for the path and query that follow its authority.
func (b *bed) checkTargets(sent map[string]request) verdict {
	v, total := held, 0
	for _, r := range b.runners {
		r.mu.Lock()
		for _, got := range r.runs {
			total++
			q, ok := sent[got.id]
			target := got.target
			if u, err := url.Parse(target); err == nil && u.Scheme != "" {
				target = u.RequestURI()
			}
			if !ok || q.method != got.method || q.target != target || q.body != got.body {
				b.rec.add("UNASKED broken at %s: request %s was sent with %s %s and runs with %s %s of host %s", r.id, got.id, q.method, q.target, got.method, target, got.host)
				v = broken
			}
		}
		r.mu.Unlock()
	}
	b.rec.add("%d requests ran", total)
	return v
}
