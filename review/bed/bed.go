package main

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"time"
)

// bed holds the stand-ins and the machines of one case.
type bed struct {
	rec  *record
	root string
	// temp is the folder for settings files.
	temp     string
	store    *store
	address  string
	servers  []*http.Server
	gateways []*gateway
	runners  []*runner
	stop     chan struct{}
	beats    sync.WaitGroup
	closing  sync.Once
}

// newBed starts the store. The working directory is the repository's root.
func newBed(rec *record) (*bed, error) {
	root, err := os.Getwd()
	if err != nil {
		return nil, err
	}
	if _, err := os.Stat(filepath.Join(root, program)); err != nil {
		return nil, err
	}
	temp, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	b := &bed{rec: rec, root: root, temp: temp, store: newStore(), stop: make(chan struct{})}
	b.address, err = b.listen("127.0.0.1", b.store)
	return b, err
}

// listen serves a handler at a free port of an address.
func (b *bed) listen(ip string, h http.Handler) (string, error) {
	l, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return "", err
	}
	s := &http.Server{Handler: h}
	b.servers = append(b.servers, s)
	go func() { _ = s.Serve(l) }()
	return l.Addr().String(), nil
}

// freePorts returns free ports of an address.
func freePorts(ip string, n int) ([]string, error) {
	var out []string
	for range n {
		l, err := net.Listen("tcp", ip+":0")
		if err != nil {
			return nil, err
		}
		defer l.Close()
		out = append(out, l.Addr().String())
	}
	return out, nil
}

// addGateways makes machines with the given names in the given zones, and writes their settings. The
// first machine of each of the first three zones is a seed.
func (b *bed) addGateways(zones []string, perZone map[string]int) error {
	var seeds []string
	number := 10
	for _, z := range zones {
		for i := range perZone[z] {
			number++
			g := &gateway{name: fmt.Sprintf("front-%s-%d", z, i+1), zone: z, ip: fmt.Sprintf("127.0.0.%d", number)}
			ports, err := freePorts(g.ip, 5)
			if err != nil {
				return err
			}
			g.front, g.ready, g.control, g.relay, g.metrics = ports[0], ports[1], ports[2], ports[3], ports[4]
			if i == 0 && len(seeds) < 3 {
				seeds = append(seeds, g.control)
			}
			b.gateways = append(b.gateways, g)
		}
	}
	for _, g := range b.gateways {
		g.settings = filepath.Join(b.temp, g.name+".yaml")
		if err := os.WriteFile(g.settings, []byte(settingsOf(g, zones, seeds, b.address)), 0o600); err != nil {
			return err
		}
		b.rec.add("machine %s in %s: front %s, control %s, seeds %v", g.name, g.zone, g.front, g.control, seeds)
	}
	return nil
}

// awaitReady waits until the given machines answer their readiness probe with 200.
func (b *bed) awaitReady(list []*gateway, limit time.Duration) error {
	end := time.Now().Add(limit)
	for _, g := range list {
		for {
			resp, err := http.Get("http://" + g.ready + "/wardspool/readyz")
			if err == nil {
				resp.Body.Close()
				if resp.StatusCode == http.StatusOK {
					break
				}
			}
			if time.Now().After(end) {
				return fmt.Errorf("machine %s is not ready after %v", g.name, limit)
			}
			time.Sleep(50 * time.Millisecond)
		}
		b.rec.add("machine %s is ready", g.name)
	}
	return nil
}

// startAll starts all machines and waits until they are ready.
func (b *bed) startAll() error {
	for _, g := range b.gateways {
		if err := b.start(g); err != nil {
			return err
		}
	}
	return b.awaitReady(b.gateways, 10*time.Second)
}

// close ends all processes and stand-ins and removes the temporary folder. Only the first call has an effect.
func (b *bed) close() { b.closing.Do(b.end) }

// end implements close.
func (b *bed) end() {
	for _, g := range b.gateways {
		b.kill(g)
	}
	close(b.stop)
	b.beats.Wait()
	for _, s := range b.servers {
		_ = s.Close()
	}
	_ = os.RemoveAll(b.temp)
}
