package main

import (
	"context"
	"fmt"
	"sync"
	"time"
)

const (
	// leaseTime is leaseMs, stableWindow stableWindowMs of the site crdf-preorder.
	leaseTime    = 3 * time.Second
	stableWindow = 3 * time.Second
)

// twoHolders kills all machines and starts again only those that are not seeds. With and without that, the
// load is the same: streams with long answers, for which some of the prefill runners should decode.
func twoHolders(b *bed, trouble bool) (verdict, error) {
	zones := []string{"hall-a", "hall-b", "hall-c"}
	if err := b.addGateways(zones, map[string]int{"hall-a": 2, "hall-b": 2, "hall-c": 1}); err != nil {
		return failed, err
	}
	if err := b.addModelRunners(zones, 5); err != nil {
		return failed, err
	}
	b.store.put("op/config", configuration(3, route("manifest-review", "/lohu930/", "stream", "manifest-llm", 1, 14000, 900)))
	if err := b.startAll(); err != nil {
		return failed, err
	}
	// The machines that stay: the second ones of hall-a and hall-b.
	staying := []*gateway{b.gateways[1], b.gateways[3]}
	time.Sleep(3 * time.Second)
	if trouble {
		for _, g := range b.gateways {
			b.kill(g)
		}
		time.Sleep(500 * time.Millisecond)
		for _, g := range staying {
			if err := b.start(g); err != nil {
				return failed, err
			}
		}
		if err := b.awaitReady(staying, 10*time.Second); err != nil {
			return failed, err
		}
	}
	back := time.Now()
	time.Sleep(2 * time.Second)
	b.rec.add("traffic begins")
	ctx, cancel := context.WithTimeout(context.Background(), 35*time.Second)
	defer cancel()
	var mu sync.Mutex
	statuses := map[int]int{}
	var offering sync.WaitGroup
	for _, g := range staying {
		offering.Go(func() {
			b.offerStreams(ctx, g.front, 22, "/lohu930/2f", 5000, 4096, func(status int) {
				mu.Lock()
				defer mu.Unlock()
				statuses[status]++
			})
		})
	}
	offering.Wait()
	time.Sleep(200 * time.Millisecond)
	mu.Lock()
	b.rec.add("answers by status: %v", statuses)
	served := statuses[200]
	mu.Unlock()
	if served == 0 {
		return failed, fmt.Errorf("no stream was served: %v", statuses)
	}
	return b.checkHolders(back), nil
}

// checkHolders checks the rule ONE: at no runner does an order of one holder follow that of another one
// within leaseTime. All machines run undisturbed since back, so that they are in touch stableWindow later.
func (b *bed) checkHolders(back time.Time) verdict {
	v, total := held, 0
	for _, r := range b.runners {
		r.mu.Lock()
		for i, o := range r.orders {
			total++
			if i == 0 {
				continue
			}
			before := r.orders[i-1]
			inTouch := before.At.Sub(back) > stableWindow
			switch {
			case before.Holder == o.Holder:
			case before.Fence == o.Fence:
				b.rec.add("ONE broken at %s: %s and %s used the fencing token %d", r.id, before.Holder, o.Holder, o.Fence)
				v = broken
			case inTouch && o.At.Sub(before.At) < leaseTime:
				b.rec.add("ONE broken at %s: an order of %s came %d ms after one of %s, less than leaseMs; both are in touch", r.id, o.Holder, o.At.Sub(before.At).Milliseconds(), before.Holder)
				v = broken
			}
		}
		r.mu.Unlock()
	}
	b.rec.add("%d orders reached the runners", total)
	return v
}
