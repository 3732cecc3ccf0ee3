package main

import (
	"context"
	"fmt"
	"net/http"
	"time"
)

// losingTime is how long runners lose answers.
const losingTime = 6 * time.Second

// encodedSlash has two of three runners lose answers. Clients send unsafe requests whose path holds an
// encoded slash: order-place is the only route whose prefix begins these paths. Decoded, the path
// would begin with the prefix of the safe route order-confirm too.
func encodedSlash(b *bed, trouble bool) (verdict, error) {
	zones := []string{"hall-a", "hall-b", "hall-c"}
	if err := b.addGateways(zones, map[string]int{"hall-a": 1, "hall-b": 1, "hall-c": 1}); err != nil {
		return failed, err
	}
	if err := b.addPlainRunners(zones); err != nil {
		return failed, err
	}
	b.store.put("op/config", configuration(3,
		route("order-place", "/pule252/", "unsafe", "preorder-api", 1, 1500, 300),
		route("order-confirm", "/pule252/confirm/", "safe", "preorder-api", 2, 1500, 300)))
	if err := b.startAll(); err != nil {
		return failed, err
	}
	time.Sleep(3 * time.Second)
	unsafeIDs, statuses := map[string]string{}, map[int]int{}
	end := time.Now().Add(losingTime + time.Second)
	if trouble {
		for _, r := range b.runners[:2] {
			b.rec.add("runner %s begins to lose answers", r.id)
			r.setLosing(true)
			time.AfterFunc(losingTime, func() { r.setLosing(false) })
		}
	}
	for i := 0; time.Now().Before(end); i++ {
		for _, target := range []string{"/pule252/2f", fmt.Sprintf("/pule252/confirm%%2F%d", i)} {
			q := request{id: newID(), method: http.MethodPost, host: hostName, target: target, body: fmt.Sprintf("order %d", i), header: http.Header{"Deadline-Ms": {"3000"}}}
			unsafeIDs[q.id] = target
			ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
			a := b.send(ctx, b.gateways[i%3].front, q)
			cancel()
			b.rec.add("client sends %s: POST %s: answer %d %q", q.id, q.target, a.status, a.body)
			statuses[a.status]++
		}
	}
	b.rec.add("answers by status: %v", statuses)
	return b.checkOnce(unsafeIDs), nil
}

// checkOnce checks the rule TWICE: none of the given requests, which aren't idempotent, ran more than once.
func (b *bed) checkOnce(unsafeIDs map[string]string) verdict {
	v, total, times := held, 0, map[string]int{}
	for _, r := range b.runners {
		r.mu.Lock()
		for _, got := range r.runs {
			total++
			times[got.id]++
		}
		r.mu.Unlock()
	}
	for id, target := range unsafeIDs {
		if times[id] > 1 {
			b.rec.add("TWICE broken: the unsafe request %s, POST %s, ran %d times", id, target, times[id])
			v = broken
		}
	}
	b.rec.add("%d requests ran %d times", len(times), total)
	return v
}
