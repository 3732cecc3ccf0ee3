package main

import (
	"context"
	"strings"
	"sync"
	"time"
)

const (
	// silence is how long a runner sends nothing: "a second or so".
	silence = 1200 * time.Millisecond
	// sharedWork is how long a runner may work on a stream that goes on at another one.
	sharedWork = 400 * time.Millisecond
)

// silentRunner has four of six decode runners fall silent one after the other, and go on. Two of the six don't drop a
// stream when its connection closes.
func silentRunner(b *bed, trouble bool) (verdict, error) {
	zones := []string{"hall-a", "hall-b", "hall-c"}
	if err := b.addGateways(zones, map[string]int{"hall-a": 1, "hall-b": 1, "hall-c": 1}); err != nil {
		return failed, err
	}
	if err := b.addModelRunners(zones, 3); err != nil {
		return failed, err
	}
	b.runners[3].keeps, b.runners[5].keeps = true, true
	resumable := route("bond-reconcile", "/gono990/", "stream", "manifest-llm", 2, 14000, 900)
	resumable["resumable"] = true
	b.store.put("op/config", configuration(3, resumable))
	if err := b.startAll(); err != nil {
		return failed, err
	}
	time.Sleep(3 * time.Second)
	var answers sync.WaitGroup
	statuses, whole := map[int]int{}, 0
	var mu sync.Mutex
	for i := range 30 {
		answers.Go(func() {
			time.Sleep(time.Duration(i) * 400 * time.Millisecond)
			ctx, cancel := context.WithTimeout(context.Background(), 14*time.Second)
			defer cancel()
			q := streamRequest("/gono990/2f", 5000, 8192, 6400)
			a := b.send(ctx, b.gateways[i%3].front, q)
			b.rec.add("stream %s: status %d, complete %v, %d events", q.id, a.status, a.complete, strings.Count(a.body, "id: "))
			mu.Lock()
			defer mu.Unlock()
			statuses[a.status]++
			if a.complete && strings.Count(a.body, "id: ") == 6400/stride {
				whole++
			}
		})
	}
	if trouble {
		for i := range 4 {
			time.Sleep(3 * time.Second)
			r := b.runners[3+i]
			b.rec.add("runner %s falls silent for %v", r.id, silence)
			r.fallSilent(silence)
		}
	}
	answers.Wait()
	time.Sleep(6 * time.Second)
	b.rec.add("answers by status: %v, whole: %d", statuses, whole)
	return b.checkSharedWork(), nil
}

// checkSharedWork checks the rule TWICE among the model runners: when a stream goes on at another runner,
// the runner before doesn't work on it sharedWork later. A run begins with its first token.
func (b *bed) checkSharedWork() verdict {
	byID := map[string][]work{}
	where := map[work]string{}
	for _, r := range b.runners {
		r.mu.Lock()
		for _, w := range r.work {
			byID[w.id] = append(byID[w.id], w)
			where[w] = r.id
		}
		r.mu.Unlock()
	}
	v := held
	for id, list := range byID {
		for _, before := range list {
			for _, next := range list {
				if before.begin.Before(next.begin) && before.end.Sub(next.begin) > sharedWork {
					b.rec.add("TWICE broken: stream %s goes on at %s, and %s still worked on it %d ms later", id, where[next], where[before], before.end.Sub(next.begin).Milliseconds())
					v = broken
				}
			}
		}
	}
	b.rec.add("%d streams ran", len(byID))
	return v
}
