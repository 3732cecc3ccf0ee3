package main

import (
	"sync"
	"time"
)

// idGaps moves a stream route to a service whose events hold several tokens, so that their IDs increase by more than
// one. The runners of both services are sound.
func idGaps(b *Bed) (result Result) {
	one := func(int) int { return 1 }
	several := func(index int) int { return min(1+2*index, 3) }
	base := Profile{Engine: true, Events: 20, EventTime: 25 * time.Millisecond, PrefillTime: 20 * time.Millisecond}
	for _, s := range []struct {
		name   string
		tokens func(int) int
	}{{"words", one}, {"chunks", several}} {
		p := base
		p.TokensInEvent = s.tokens
		for _, zone := range []string{"hall-a", "hall-b"} {
			StartRunner(b.Store, b.Record, b.Runners, s.name, zone, "prefill", p)
			StartRunner(b.Store, b.Record, b.Runners, s.name, zone, "decode", p)
			StartRunner(b.Store, b.Record, b.Runners, s.name, zone, "decode", p)
		}
	}
	config := func(version int, service string) {
		b.Store.Put("op/config", map[string]any{
			"version": version, "routes": []any{streamRoute("r-1", "/review/", service, 1, false)},
			"services": []any{engineService("words"), engineService("chunks")}, "limits": limits,
		})
		b.Record.Add("config", "version", version, "service", service)
	}
	config(7, "words")
	b.startGateways("hall-a", "hall-b", "hall-a")

	const before, after = 6 * time.Second, 12 * time.Second
	start := b.Record.Now()
	var sentAt, until time.Duration
	end := start + before + after
	type seen struct {
		gateway int
		Outcome
	}
	var mu sync.Mutex
	var all []seen
	go func() {
		time.Sleep(before)
		mu.Lock()
		defer mu.Unlock()
		sentAt = b.Record.Now()
		if b.Trouble {
			config(12, "chunks")
		}
		until = b.Record.Now() + configTime + time.Second
	}()
	const connections = 2
	together(len(b.Gateways)*connections, func(i int) {
		g := i % len(b.Gateways)
		c := &Conn{to: b.Gateways[g].Callers}
		defer c.Close()
		for b.Record.Now() < end {
			o := c.Do(b.Record, "POST", "a.example", "/review/1", map[string]string{
				"Model": "m", "Token-Usage": "1460,80", "Prompt-Prefix": "5c1e07a2:200,e4402b7d:1260",
			}, "the prompt", 14*time.Second)
			mu.Lock()
			all = append(all, seen{g, o})
			mu.Unlock()
		}
	})

	for g, gateway := range b.Gateways {
		var requests, cut [2]int
		var length [2]time.Duration
		length[0], length[1] = until-sentAt, end-start-(until-sentAt)
		for _, o := range all {
			if o.gateway != g {
				continue
			}
			at := 1
			if o.Ended >= sentAt && o.Ended <= until {
				at = 0
			}
			requests[at]++
			// The gateway had begun to pass on a runner's answer and closed the connection. The request has used
			// less than seven tenths of its time.
			if o.Signed && !o.Complete && o.Ended-o.Sent < 9800*time.Millisecond {
				cut[at]++
			}
		}
		rate := func(at int) float64 { return float64(cut[at]) / length[at].Seconds() }
		lost := b.Trouble && cut[0] > 0 && rate(0) > 3*rate(1)
		result.Broken = result.Broken || lost
		result.say("%s: around the configuration %d of %d answers cut (%.2f a second), at other times %d of %d (%.2f a second): LOST broken %v",
			gateway.Name, cut[0], requests[0], rate(0), cut[1], requests[1], rate(1), lost)
	}
	return result
}
