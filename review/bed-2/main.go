// Command bed-2 plays the cases of the second review: it starts gateways as processes, and stand-ins of the store, the
// runners and the clients, and judges what clients and runners saw.
package main

import (
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"time"
)

// Bed is what a case runs on.
type Bed struct {
	Record   *Record
	Store    *Store
	Runners  *Runners
	Gateways []*Gateway
	// Trouble is whether the disruption takes place.
	Trouble bool
	root    string
	dir     string
}

// Result is the verdict of a case.
type Result struct {
	Broken  bool
	Summary []string
}

func (r *Result) say(format string, a ...any) {
	r.Summary = append(r.Summary, fmt.Sprintf(format, a...))
}

var scenarios = map[string]func(*Bed) Result{
	"idgaps":     idGaps,
	"loneowners": loneOwners,
}

// Exit codes of a case.
const (
	held = iota
	broken
	cannotRun
)

func main() {
	if len(os.Args) != 4 {
		fmt.Println("usage: bed-2 SCENARIO REPOSITORY RECORD")
		os.Exit(cannotRun)
	}
	os.Exit(play(os.Args[1], os.Args[2], os.Args[3]))
}

func play(name, root, record string) (code int) {
	scenario := scenarios[name]
	root, err := filepath.Abs(root)
	dir, dirErr := os.MkdirTemp("", "review-")
	if scenario == nil || err != nil || dirErr != nil {
		return cannotRun
	}
	defer os.RemoveAll(dir)
	b := &Bed{Record: NewRecord(), Store: NewStore(), Runners: &Runners{byAddr: map[string]*Runner{}}, Trouble: os.Getenv("TROUBLE") != "0", root: root, dir: dir}
	defer func() {
		if v := recover(); v != nil {
			fmt.Println(v)
			code = cannotRun
		}
		for _, g := range b.Gateways {
			g.Kill()
		}
		if keep := os.Getenv("LOGS"); keep != "" {
			_ = os.CopyFS(keep, os.DirFS(dir))
		}
	}()
	result := scenario(b)
	result.Summary = append([]string{fmt.Sprintf("scenario %s, trouble %v", name, b.Trouble)}, result.Summary...)
	b.Record.Write(record, result.Summary)
	for _, line := range result.Summary {
		fmt.Println(line)
	}
	if result.Broken {
		return broken
	}
	return held
}

// startGateways starts gateways in the given zones and waits until they are ready.
func (b *Bed) startGateways(zones ...string) {
	b.Gateways = NewGateways(b.root, b.dir, b.Store.Addr, zones...)
	b.start(b.Gateways)
	time.Sleep(2 * time.Second)
}

// start starts gateways and waits until they are ready.
func (b *Bed) start(list []*Gateway) {
	for _, g := range list {
		g.Start()
		b.Record.Add("started", "gateway", g.Name)
	}
	for _, g := range list {
		if !g.AwaitReady(15 * time.Second) {
			panic("the case cannot run: " + g.Name + " is not ready")
		}
	}
	b.Record.Add("ready", "gateways", len(list))
}

// limits are those of the small deployments.
var limits = map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000}

// engineService returns the configuration of a service of model runners.
func engineService(name string) map[string]any {
	return map[string]any{"name": name, "healthPath": "/healthz", "maxConnections": 370, "protocol": "h1", "tls": false, "engine": map[string]any{
		"slots": 64, "kvTokens": 89659, "tokenKvBytes": 18432, "linkMbps": 1000000.0, "moves": true, "backups": true, "stride": 64, "most": 12,
		"kvTtlS": 0.5, "switchS": 6.0, "pinMs": 4000.0, "holdMs": 2000.0, "models": []any{map[string]any{"name": "m"}},
	}}
}

// streamRoute returns the configuration of a stream route.
func streamRoute(name, prefix, service string, attempts int, resumable bool) map[string]any {
	return map[string]any{"name": name, "host": "a.example", "prefix": prefix, "kind": "stream", "timeoutMs": 14000, "targetLatencyMs": 900,
		"priority": 1, "service": service, "maxAttempts": attempts, "sticky": true, "resumable": resumable, "gapTargetMs": 300}
}

// together runs functions at the same time and waits for all.
func together(n int, f func(i int)) {
	var wg sync.WaitGroup
	for i := range n {
		wg.Go(func() { f(i) })
	}
	wg.Wait()
}
