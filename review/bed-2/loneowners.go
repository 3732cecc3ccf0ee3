package main

import (
	"fmt"
	"sort"
	"strings"
	"sync"
	"syscall"
	"time"
)

// The tenant's quota, in tokens, and the bounds of the site's sheet.
const (
	quotaRate      = 200_000.0
	quotaBurst     = 200_000.0
	requestTokens  = 10_000.0
	quotaWindow    = 8 * time.Second
	quotaOvershoot = 0.25
	quotaSlack     = 120_000.0
)

// loneOwners kills all machines at once. Those that are seeds don't come back, and the others start again.
func loneOwners(b *Bed) (result Result) {
	for _, zone := range []string{"hall-a", "hall-b", "hall-c"} {
		for range 2 {
			StartRunner(b.Store, b.Record, b.Runners, "orders", zone, "", Profile{WorkTime: 5 * time.Millisecond})
		}
	}
	b.Store.Put("op/config", map[string]any{
		"version": 7, "limits": limits,
		"routes": []any{map[string]any{"name": "r-1", "host": "a.example", "prefix": "/order/", "kind": "unsafe", "timeoutMs": 1500, "targetLatencyMs": 300,
			"priority": 2, "service": "orders", "maxAttempts": 1}},
		"services": []any{map[string]any{"name": "orders", "healthPath": "/healthz", "maxConnections": 420, "protocol": "h1", "tls": false}},
		"tenants":  []any{map[string]any{"name": "tenant-1", "apiKeys": []string{"key-1"}, "unit": "token_stream", "plainTokens": requestTokens, "ratePerS": quotaRate, "burst": quotaBurst}},
	})
	const seeds = 3
	b.startGateways("hall-a", "hall-b", "hall-c", "hall-a", "hall-b", "hall-c", "hall-a", "hall-b", "hall-c")
	survivors := b.Gateways[seeds:]
	if b.Trouble {
		for _, g := range b.Gateways {
			g.Signal(syscall.SIGKILL)
			b.Record.Add("killed", "gateway", g.Name)
		}
		for _, g := range b.Gateways {
			<-g.exited
		}
		time.Sleep(500 * time.Millisecond)
		b.start(survivors)
	}
	time.Sleep(2 * stableWindow)

	end := b.Record.Now() + 16*time.Second
	const connections = 1
	var mu sync.Mutex
	statuses := map[string]int{}
	together(len(survivors)*connections, func(i int) {
		g := survivors[i%len(survivors)]
		c := &Conn{to: g.Callers}
		defer c.Close()
		for b.Record.Now() < end {
			o := c.Do(b.Record, "POST", "a.example", "/order/1", map[string]string{"Authorization": "Bearer key-1"}, "an order", 3*time.Second)
			mu.Lock()
			statuses[fmt.Sprintf("%s %d", g.Name, o.Status)]++
			mu.Unlock()
			time.Sleep(50 * time.Millisecond)
		}
	})
	for _, k := range sortedKeys(statuses) {
		result.say("%s: %d", k, statuses[k])
	}
	most, at := b.Record.mostRuns(quotaWindow)
	allowed := (quotaRate*quotaWindow.Seconds()+quotaBurst)*(1+quotaOvershoot) + quotaSlack
	result.Broken = float64(most)*requestTokens > allowed
	result.say("most tokens run in %v: %.0f, from %.1f s on; allowed %.0f: QUOTA broken %v", quotaWindow, float64(most)*requestTokens, at.Seconds(), allowed, result.Broken)
	return result
}

func sortedKeys(m map[string]int) []string {
	var keys []string
	for k := range m {
		keys = append(keys, k)
	}
	sort.Strings(keys)
	return keys
}

// mostRuns returns the largest number of runs that began within a window, and when that window began.
func (r *Record) mostRuns(window time.Duration) (most int, at time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	var times []time.Duration
	for _, line := range r.lines {
		var seconds float64
		if !strings.Contains(line, "  run          runner=") {
			continue
		}
		if _, err := fmt.Sscanf(strings.TrimSpace(line), "%f", &seconds); err != nil {
			continue
		}
		times = append(times, time.Duration(seconds*float64(time.Second)))
	}
	sort.Slice(times, func(i, j int) bool { return times[i] < times[j] })
	first := 0
	for i, t := range times {
		for t-times[first] > window {
			first++
		}
		if i-first+1 > most {
			most, at = i-first+1, times[first]
		}
	}
	return most, at
}
