// Package platform is a stand-in for the platform's configuration service, which the system
// can only read and watch. It counts calls and limits their rate, and can simulate a service
// that is down, stale, flapping or lagging. docs/protocols/platform.md describes the
// protocol.
package platform

import (
	"context"
	"strings"
	"sync"
	"time"

	"github.com/wardspool/wardspool/standin/control"
	"github.com/wardspool/wardspool/standin/judge"
)

// Config describes a stand-in platform.
type Config struct {
	// Rate is the limit of calls per second over all readers. Default: DefaultRate.
	Rate int
}

// DefaultRate is the default of Config.Rate.
const DefaultRate = 2000

// Platform is a stand-in platform. Create it with New and serve its Handler.
type Platform struct {
	ctx    context.Context
	cancel context.CancelFunc

	mu    sync.Mutex
	store *store
	meter *meter
	mode  control.PlatformMode
	// schedule is set in control.ModeFlapping only.
	schedule *schedule
	// changed is closed and replaced on each write and each change of mode.
	changed chan struct{}
	waiting int
}

// New returns a stand-in platform without keys. The caller must Close it.
func New(cfg Config) *Platform {
	if cfg.Rate == 0 {
		cfg.Rate = DefaultRate
	}
	p := &Platform{
		store:   newStore(),
		meter:   newMeter(cfg.Rate),
		mode:    control.PlatformMode{Mode: control.ModeUp},
		changed: make(chan struct{}),
	}
	p.ctx, p.cancel = context.WithCancel(context.Background())
	return p
}

// Close ends all pending watches.
func (p *Platform) Close() { p.cancel() }

// Put writes a key and returns its index.
func (p *Platform) Put(key string, value []byte) uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	index := p.store.put(key, value, time.Now())
	p.notifyWatchers()
	return index
}

// Delete removes a key and returns the index of the removal.
func (p *Platform) Delete(key string) uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	index := p.store.remove(key, time.Now())
	p.notifyWatchers()
	return index
}

// Mode returns the current mode.
func (p *Platform) Mode() control.PlatformMode {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.mode
}

// SetMode replaces the mode. It returns a *control.InvalidError if m is not valid.
func (p *Platform) SetMode(m control.PlatformMode) error {
	if err := m.Validate(); err != nil {
		return err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if m.Mode == control.ModeStale && m.StaleIndex == 0 {
		m.StaleIndex = p.store.index
	}
	p.schedule = nil
	if m.Mode == control.ModeFlapping {
		p.schedule = newSchedule(m, time.Now())
	}
	p.mode = m
	p.notifyWatchers()
	return nil
}

// notifyWatchers wakes all pending watches. The caller must hold the mutex.
func (p *Platform) notifyWatchers() {
	close(p.changed)
	p.changed = make(chan struct{})
}

// view returns the view that readers have at the given time. The caller must hold the
// mutex.
func (p *Platform) view(now time.Time) view {
	v := view{now: now, lag: p.lag}
	if p.mode.Mode == control.ModeStale {
		v.maxIndex = p.mode.StaleIndex
	}
	return v
}

// lag returns the visibility delay of a key. The caller must hold the mutex.
func (p *Platform) lag(key string) time.Duration {
	best := control.Lag{}
	for _, l := range p.mode.Lags {
		if strings.HasPrefix(key, l.Prefix) && len(l.Prefix) >= len(best.Prefix) {
			best = l
		}
	}
	return time.Duration(best.LagMS) * time.Millisecond
}

// down reports whether the platform is down, and when that changes by schedule (zero if it
// does not). The caller must hold the mutex.
func (p *Platform) down(now time.Time) (bool, time.Time) {
	switch p.mode.Mode {
	case control.ModeDown:
		return true, time.Time{}
	case control.ModeFlapping:
		return p.schedule.at(now)
	default:
		return false, time.Time{}
	}
}

// Judge returns the report of the calls that readers made.
func (p *Platform) Judge() judge.Platform {
	p.mu.Lock()
	defer p.mu.Unlock()
	report := p.meter.report()
	report.Waiting = p.waiting
	return report
}
