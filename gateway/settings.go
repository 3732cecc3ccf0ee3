// Package gateway is the service that callers reach at each instance of a
// deployment whose store lists routes, services and upstreams: it routes
// requests by host and path to plain services, and streams through separate
// prefill and decode engines.
package gateway

import (
	"fmt"
	"time"

	"github.com/wardspool/wardspool/gateway/schedule"
	"github.com/wardspool/wardspool/ident"
	"github.com/wardspool/wardspool/logs"
	"github.com/wardspool/wardspool/settings"
	"github.com/wardspool/wardspool/settings/common"
)

// Settings are what the gateway reads from its settings file.
type Settings struct {
	// Instance and Zone say which instance this is, and where.
	Instance ident.InstanceID `yaml:"instance"`
	Zone     ident.Zone       `yaml:"zone"`
	// Zones are all availability zones of the deployment: limits of workspaces are divided
	// among them, also while some are cut off.
	Zones []ident.Zone `yaml:"zones"`
	// Regions maps each zone to its region. Requests restricted to regions are never sent to
	// zones without one.
	Regions map[ident.Zone]ident.Region `yaml:"regions"`
	// Deployment names the plug-in that speaks to callers, upstreams and store.
	Deployment string `yaml:"deployment"`
	Listen     Listen `yaml:"listen"`
	// Seeds are addresses at which some instances answer their peers.
	Seeds []string `yaml:"seeds"`
	Store Store    `yaml:"store"`
	// LinkMbps is the rate of the machine's link, in megabits a second; 0 if it isn't known.
	LinkMbps float64 `yaml:"link_mbps"`
	// MemoryMB is what the process may take, in megabytes.
	MemoryMB int          `yaml:"memory_mb"`
	Retries  Retries      `yaml:"retries"`
	Orders   Orders       `yaml:"orders"`
	Stop     Stop         `yaml:"stop"`
	Log      logs.Options `yaml:"log"`
}

// Listen holds addresses, each "IP:port".
type Listen struct {
	Callers string `yaml:"callers"`
	// Ready is where the balancer asks whether the instance takes connections.
	Ready string `yaml:"ready"`
	Peers string `yaml:"peers"`
	// Metrics may be empty for none.
	Metrics string `yaml:"metrics"`
}

// Store is the deployment's store.
type Store struct {
	Address string `yaml:"address"`
	// ConfigWithinMS and LeavingWithinMS are how soon a change of the configuration, or
	// that an upstream leaves, has to be in force, in milliseconds.
	ConfigWithinMS  int `yaml:"config_within_ms"`
	LeavingWithinMS int `yaml:"leaving_within_ms"`
}

// inForce is the time in which any change in the store has to be in force.
func (s Store) inForce() time.Duration {
	return time.Duration(min(s.ConfigWithinMS, s.LeavingWithinMS)) * time.Millisecond
}

// Retries bound sends beyond a request's first, of all instances together.
type Retries struct {
	Ratio         float64 `yaml:"ratio"`
	WindowSeconds float64 `yaml:"window_seconds"`
	Slack         float64 `yaml:"slack"`
}

// budget returns the options of the retry budget.
func (r Retries) budget() schedule.BudgetOptions {
	return schedule.BudgetOptions{
		Ratio: r.Ratio, Slack: r.Slack,
		Window: time.Duration(r.WindowSeconds * float64(time.Second)),
	}
}

// Orders bound the orders to engines.
type Orders struct {
	// LeaseMS is how long an instance waits after it became the one to give
	// orders, in milliseconds.
	LeaseMS int `yaml:"lease_ms"`
}

// Stop says how long a graceful stop may take.
type Stop struct {
	GraceSeconds float64 `yaml:"grace_seconds"`
}

// Defaults of Settings, as for the smallest of the known deployments.
const (
	defaultMemoryMB     = 128
	defaultRetryRatio   = 0.1
	defaultRetryWindow  = 10
	defaultLeaseMS      = 3000
	defaultGraceSeconds = 8
	defaultWithinMS     = 2000
)

// SetDefaults implements settings.Defaulter.
func (s *Settings) SetDefaults() {
	s.MemoryMB = defaultMemoryMB
	s.Store.ConfigWithinMS, s.Store.LeavingWithinMS = defaultWithinMS, defaultWithinMS
	s.Retries = Retries{Ratio: defaultRetryRatio, WindowSeconds: defaultRetryWindow}
	s.Orders.LeaseMS = defaultLeaseMS
	s.Stop.GraceSeconds = defaultGraceSeconds
}

// CheckSettings implements settings.Checker.
func (s *Settings) CheckSettings(r *settings.Report) {
	required(r, "instance", string(s.Instance))
	required(r, "zone", string(s.Zone))
	required(r, "deployment", s.Deployment)
	common.CheckAddress(r, "listen.callers", s.Listen.Callers, common.Required)
	common.CheckAddress(r, "listen.ready", s.Listen.Ready, common.Required)
	common.CheckAddress(r, "listen.peers", s.Listen.Peers, common.Required)
	common.CheckAddress(r, "listen.metrics", s.Listen.Metrics, common.Optional)
	common.CheckAddress(r, "store.address", s.Store.Address, common.Required)
	for i, seed := range s.Seeds {
		common.CheckAddress(r, fmt.Sprintf("seeds[%d]", i), seed, common.Required)
	}
	if s.Store.inForce() <= 0 {
		r.Add("store", "config_within_ms or leaving_within_ms is not above 0", "give the milliseconds within which changes have to be in force")
	}
	if s.Retries.WindowSeconds <= 0 {
		r.Add("retries.window_seconds", "is not above 0", "give the seconds over which retries are counted")
	}
}

// regionOf returns the region of a zone, "" if it has none.
func (s *Settings) regionOf(zone ident.Zone) ident.Region { return s.Regions[zone] }

// required reports an empty field.
func required(r *settings.Report, field, value string) {
	if value == "" {
		r.Add(field, "is missing", "give it a value")
	}
}
