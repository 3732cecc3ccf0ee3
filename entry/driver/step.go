package driver

import (
	"context"
	"log/slog"
	"slices"
	"time"

	"github.com/wardspool/wardspool/config"
	"github.com/wardspool/wardspool/ident"
	"github.com/wardspool/wardspool/kernel"
)

// receive handles one inbox message.
func (d *Driver) receive(m message) {
	switch {
	case m.idle != nil:
		d.idleWaiters = append(d.idleWaiters, m.idle)
		d.notifyIdle()
	case m.exchange != nil:
		d.admit(m.exchange)
	case m.attempt != nil:
		d.report(m)
	default:
		d.handleExternal(m.event)
	}
}

// handleExternal passes an event from outside the driver to the kernel and
// updates the driver's own view of upstreams and configuration.
func (d *Driver) handleExternal(ev kernel.Event) {
	switch e := ev.(type) {
	case kernel.ViewChanged:
		clear(d.upstreams)
		for _, u := range e.View.Upstreams {
			d.upstreams[u.ID] = &u
		}
		d.step(ev)
	case kernel.LoadReported:
		d.updateLoad(e)
		d.step(ev)
	case kernel.Configured:
		before := d.opts.Kernel.Version()
		d.step(ev)
		// The kernel ignores older versions and rejects those that it cannot
		// run.
		if e.Version > before && d.opts.Kernel.Version() == e.Version {
			d.configure(e.Content)
			if d.opts.OnConfigured != nil {
				d.opts.OnConfigured(e.Version, e.Content)
			}
		}
	default:
		d.step(ev)
	}
}

// configure indexes the content of the bundle in force.
func (d *Driver) configure(c *config.Content) {
	d.content = c
	d.specs = make(map[ident.UpstreamID]*config.Upstream, len(c.Upstreams))
	for i := range c.Upstreams {
		d.specs[c.Upstreams[i].ID] = &c.Upstreams[i]
	}
	d.models = make(map[string]*config.Model, len(c.Models))
	for i := range c.Models {
		d.models[c.Models[i].Name] = &c.Models[i]
	}
	d.services = make(map[string]*config.Service, len(c.Services))
	for i := range c.Services {
		d.services[c.Services[i].Name] = &c.Services[i]
	}
}

// step passes an event, and the events that its actions queue, to the kernel
// and executes the resulting actions.
func (d *Driver) step(ev kernel.Event) {
	d.checkPause()
	d.stepOnce(ev)
	for len(d.backlog) > 0 {
		next := d.backlog[0]
		d.backlog = slices.Delete(d.backlog, 0, 1)
		d.stepOnce(next)
	}
	d.notifyIdle()
}

func (d *Driver) stepOnce(ev kernel.Event) {
	for _, a := range d.opts.Kernel.Step(time.Now(), ev) {
		d.execute(a)
	}
	// Results are delivered after all actions have run, so that a caller's next
	// request finds all effects recorded.
	for i, e := range d.finishedExchanges {
		e.exchange.finish(e.result)
		d.finishedExchanges[i] = finishedExchange{}
	}
	d.finishedExchanges = d.finishedExchanges[:0]
}

// finishedExchange is an exchange with its final result.
type finishedExchange struct {
	exchange *Exchange
	result   Result
}

// checkPause reports a detected pause of the process to the kernel before any
// other event, and then releases the attempts that wait at the gate.
func (d *Driver) checkPause() {
	gap := d.gate.gap(time.Now())
	if gap > 0 {
		d.logAsync(slog.LevelWarn, "process was paused", "gap", gap)
		d.stepOnce(kernel.Paused{Gap: gap})
		if d.opts.OnPause != nil {
			d.opts.OnPause(gap)
		}
	}
	d.gate.markRunning(time.Now())
}

// notifyIdle wakes the waiting Quiesce calls if nothing is in flight.
func (d *Driver) notifyIdle() {
	if len(d.idleWaiters) == 0 || len(d.exchanges) > 0 || d.opts.Kernel.PendingCancels() > 0 {
		return
	}
	for _, q := range d.idleWaiters {
		close(q)
	}
	d.idleWaiters = nil
}

// logAsync logs in a separate goroutine: a blocked log output must not delay
// decisions.
func (d *Driver) logAsync(level slog.Level, text string, args ...any) {
	d.workers.Go(func() { d.opts.Log.Log(context.Background(), level, text, args...) })
}
