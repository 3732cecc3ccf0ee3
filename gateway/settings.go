// Package gateway implements the gateway service, which runs on each instance of a deployment and
// answers its callers. It routes requests by host and path to plain services, and streams through
// separate prefill and decode engines. Routes, services and upstreams come from the deployment's
// store.
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

// Settings is the content of the gateway's settings file.
type Settings struct {
	// Instance is the ID of this instance, Zone the availability zone that it runs in.
	Instance ident.InstanceID `yaml:"instance"`
	Zone     ident.Zone       `yaml:"zone"`
	// Zones are all availability zones of the deployment. The limits of workspaces are divided
	// among them, even while some of them are partitioned.
	Zones []ident.Zone `yaml:"zones"`
	// Regions maps each zone to its region. Requests restricted to regions are never sent to
	// zones without one.
	Regions map[ident.Zone]ident.Region `yaml:"regions"`
	// Deployment is the name of the plug-in that implements the protocols of callers, upstreams
	// and the store.
	Deployment string `yaml:"deployment"`
	Listen     Listen `yaml:"listen"`
	// Seeds are the addresses at which some instances listen for peers, "IP:port".
	Seeds []string `yaml:"seeds"`
	Store Store    `yaml:"store"`
	// LinkMbps is the bandwidth of the machine's network link, in megabits per second; 0 if it
	// is unknown.
	LinkMbps float64 `yaml:"link_mbps"`
	// MemoryMB is how much memory the process may use, in MiB.
	MemoryMB int `yaml:"memory_mb"`
	// MaxFiles is how many descriptors the process may have open; 0 for the limit of the operating system.
	MaxFiles int          `yaml:"max_files"`
	Retries  Retries      `yaml:"retries"`
	Orders   Orders       `yaml:"orders"`
	Stop     Stop         `yaml:"stop"`
	Log      logs.Options `yaml:"log"`
}

// Listen holds the addresses to listen at, each "IP:port".
type Listen struct {
	Callers string `yaml:"callers"`
	// Ready is where the load balancer checks whether the instance is ready.
	Ready string `yaml:"ready"`
	Peers string `yaml:"peers"`
	// Relay is where requests of peers that reach no upstream are served; empty to serve none.
	Relay string `yaml:"relay"`
	// Metrics is where metrics, quarantined contents and limits are served; empty to not serve
	// them.
	Metrics string `yaml:"metrics"`
}

// Store holds the settings of the deployment's store.
type Store struct {
	Address string `yaml:"address"`
	// ConfigWithinMS is the time within which a change of the configuration must take effect on
	// all instances, LeavingWithinMS that for an upstream that begins to leave, in milliseconds.
	ConfigWithinMS  int `yaml:"config_within_ms"`
	LeavingWithinMS int `yaml:"leaving_within_ms"`
}

// maxChangeDelay returns the time within which any change in the store must take effect.
func (s Store) maxChangeDelay() time.Duration {
	return time.Duration(min(s.ConfigWithinMS, s.LeavingWithinMS)) * time.Millisecond
}

// Retries is the retry budget: it bounds the attempts beyond each request's first one, counted
// over all instances.
type Retries struct {
	// Ratio is the number of retries allowed per request.
	Ratio float64 `yaml:"ratio"`
	// WindowSeconds is the time over which requests and retries are counted, in seconds.
	WindowSeconds float64 `yaml:"window_seconds"`
	// Slack is the number of additional retries that all instances together may make within the
	// window, whatever the number of requests.
	Slack float64 `yaml:"slack"`
}

// budget returns the options of the scheduler's retry budget.
func (r Retries) budget() schedule.BudgetOptions {
	return schedule.BudgetOptions{
		Ratio: r.Ratio, Slack: r.Slack,
		Window: time.Duration(r.WindowSeconds * float64(time.Second)),
	}
}

// Orders holds the settings of stage orders to engines.
type Orders struct {
	// LeaseMS is how long an instance that has been assigned the duty of giving orders waits
	// before it gives the first one, in milliseconds.
	LeaseMS int `yaml:"lease_ms"`
}

// Stop holds the settings of the graceful stop.
type Stop struct {
	// GraceSeconds is how long the stop may take, in seconds.
	GraceSeconds float64 `yaml:"grace_seconds"`
}

// The defaults of Settings suit the smallest of the known deployments.
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
	common.CheckAddress(r, "listen.relay", s.Listen.Relay, common.Optional)
	common.CheckAddress(r, "listen.metrics", s.Listen.Metrics, common.Optional)
	common.CheckAddress(r, "store.address", s.Store.Address, common.Required)
	for i, seed := range s.Seeds {
		common.CheckAddress(r, fmt.Sprintf("seeds[%d]", i), seed, common.Required)
	}
	if s.Store.maxChangeDelay() <= 0 {
		r.Add("store", "config_within_ms or leaving_within_ms is not greater than 0", "set both to the number of milliseconds within which changes must take effect")
	}
	if s.Retries.WindowSeconds <= 0 {
		r.Add("retries.window_seconds", "is not greater than 0", "set it to the number of seconds over which retries are counted")
	}
}

// regionOf returns the region of a zone, or "" if the settings give none for it.
func (s *Settings) regionOf(zone ident.Zone) ident.Region { return s.Regions[zone] }

// required reports a field without a value.
func required(r *settings.Report, field, value string) {
	if value == "" {
		r.Add(field, "is missing", "set it to a value")
	}
}
