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

// receive handles one message of the inbox.
func (d *Driver) receive(m message) {
	switch {
	case m.quiet != nil:
		d.quiet = append(d.quiet, m.quiet)
		d.checkQuiet()
	case m.exchange != nil:
		d.admit(m.exchange)
	case m.attempt != nil:
		d.report(m)
	default:
		d.external(m.event)
	}
}

// external handles an event from outside and keeps what the driver itself needs
// of it.
func (d *Driver) external(ev kernel.Event) {
	switch e := ev.(type) {
	case kernel.ViewChanged:
		clear(d.upstreams)
		for _, u := range e.View.Upstreams {
			d.upstreams[u.ID] = &u
		}
		d.step(ev)
	case kernel.LoadReported:
		d.seen(e)
		d.step(ev)
	case kernel.Configured:
		before := d.opts.Kernel.Version()
		d.step(ev)
		// The kernel ignores old versions and rejects those it cannot run.
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

// configure indexes the bundle content in force.
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

// step hands an event to the kernel and carries out what follows from it.
func (d *Driver) step(ev kernel.Event) {
	d.checkPause()
	d.stepOnce(ev)
	for len(d.backlog) > 0 {
		next := d.backlog[0]
		d.backlog = slices.Delete(d.backlog, 0, 1)
		d.stepOnce(next)
	}
	d.checkQuiet()
}

func (d *Driver) stepOnce(ev kernel.Event) {
	for _, a := range d.opts.Kernel.Step(time.Now(), ev) {
		d.do(a)
	}
	// Callers hear last, so that what they ask next finds all of it recorded.
	for i, e := range d.endings {
		e.exchange.finish(e.result)
		d.endings[i] = ending{}
	}
	d.endings = d.endings[:0]
}

// ending is an exchange and its result.
type ending struct {
	exchange *Exchange
	result   Result
}

// checkPause tells the kernel about a pause of the process before it decides
// anything else, and lets attempts that waited for this go on.
func (d *Driver) checkPause() {
	gap := d.gate.gap(time.Now())
	if gap > 0 {
		d.logLater(slog.LevelWarn, "process was paused", "gap", gap)
		d.stepOnce(kernel.Paused{Gap: gap})
		if d.opts.OnPause != nil {
			d.opts.OnPause(gap)
		}
	}
	d.gate.beat(time.Now())
}

// checkQuiet wakes those that wait for quiet.
func (d *Driver) checkQuiet() {
	if len(d.quiet) == 0 || len(d.exchanges) > 0 || d.opts.Kernel.PendingCancels() > 0 {
		return
	}
	for _, q := range d.quiet {
		close(q)
	}
	d.quiet = nil
}

// logLater logs in a goroutine of its own: a log that nobody reads must not
// hold up decisions.
func (d *Driver) logLater(level slog.Level, text string, args ...any) {
	d.workers.Go(func() { d.opts.Log.Log(context.Background(), level, text, args...) })
}
