package entry

import (
	"time"

	"github.com/wardspool/wardspool/entry/driver"
	"github.com/wardspool/wardspool/entry/front"
	"github.com/wardspool/wardspool/entry/journal"
	"github.com/wardspool/wardspool/ident"
	"github.com/wardspool/wardspool/logs"
	"github.com/wardspool/wardspool/plugin"
	"github.com/wardspool/wardspool/plugins/engine/openai"
	"github.com/wardspool/wardspool/plugins/service/http"
	"github.com/wardspool/wardspool/settings"
	"github.com/wardspool/wardspool/settings/common"
	"github.com/wardspool/wardspool/ticket"
	"github.com/wardspool/wardspool/tlsconf"
)

// Settings are what an entry instance reads from its settings file.
// docs/settings.md describes each field.
type Settings struct {
	// Instance, Zone and Region say who and where this instance is.
	Instance ident.InstanceID `yaml:"instance"`
	Zone     ident.Zone       `yaml:"zone"`
	Region   ident.Region     `yaml:"region"`

	Callers   CallerSettings   `yaml:"callers"`
	Peers     PeerSettings     `yaml:"peers"`
	Feed      FeedSettings     `yaml:"feed"`
	Operators common.Operators `yaml:"operators"`
	// TLS protects the connections to other instances and from operators' tools;
	// empty means plain TCP.
	TLS     tlsconf.Settings `yaml:"tls"`
	Log     logs.Options     `yaml:"log"`
	Stop    StopSettings     `yaml:"stop"`
	Tickets TicketSettings   `yaml:"tickets"`

	// Engine and Service are the adapters to use.
	Engine  plugin.ID `yaml:"engine"`
	Service plugin.ID `yaml:"service"`
	// Plugins holds the adapters' settings by plug-in ID.
	Plugins map[plugin.ID]settings.Section `yaml:"plugins"`

	// ExplainRecords is how many decision records are kept for explain.
	ExplainRecords int `yaml:"explain_records"`
	// PauseAfter is how long the process must not have run to count as paused.
	PauseAfter time.Duration `yaml:"pause_after"`

	// Static takes the place of the agent; nil in operation.
	Static *StaticSettings `yaml:"static"`
}

// CallerSettings concern the HTTP interface to callers.
type CallerSettings struct {
	Listen string         `yaml:"listen"`
	TLS    TLSSettings    `yaml:"tls"`
	Limits LimitsSettings `yaml:"limits"`
}

// TLSSettings name a certificate and its key; both empty means plain text.
type TLSSettings struct {
	Certificate string `yaml:"certificate"`
	Key         string `yaml:"key"`
}

// LimitsSettings bound what callers can cost.
type LimitsSettings struct {
	BodyBytes     int64         `yaml:"body_bytes"`
	MemoryBytes   int64         `yaml:"memory_bytes"`
	Requests      int64         `yaml:"requests"`
	Connections   int           `yaml:"connections"`
	HeaderBytes   int           `yaml:"header_bytes"`
	HeaderTimeout time.Duration `yaml:"header_timeout"`
	BodyTimeout   time.Duration `yaml:"body_timeout"`
	WriteTimeout  time.Duration `yaml:"write_timeout"`
	IdleTimeout   time.Duration `yaml:"idle_timeout"`
	ResponseBytes int64         `yaml:"response_bytes"`
}

// PeerSettings concern the other instances.
type PeerSettings struct {
	// Listen is where peers' calls are taken; empty means none.
	Listen string `yaml:"listen"`
	// Known lists instances that are believed before the agent names them.
	Known []PeerAddress `yaml:"known"`
}

// PeerAddress is where another instance's entry takes calls.
type PeerAddress struct {
	Instance ident.InstanceID `yaml:"instance"`
	Address  string           `yaml:"address"`
}

// FeedSettings concern the agent beside the entry.
type FeedSettings struct {
	// Listen is a loopback address.
	Listen string `yaml:"listen"`
}

// StopSettings concern a graceful shutdown.
type StopSettings struct {
	// Grace is how long the instance is not ready before it refuses requests.
	Grace time.Duration `yaml:"grace"`
	// Timeout bounds the wait for requests in flight.
	Timeout time.Duration `yaml:"timeout"`
}

// TicketSettings concern tickets for calls that are not repeatable.
type TicketSettings struct {
	// Keys are the secrets that all instances share; the first one seals. Without
	// keys the instance issues and accepts no tickets.
	Keys []TicketKey `yaml:"keys"`
	// Lifetime is the time from a ticket's issue to its expiry.
	Lifetime time.Duration `yaml:"lifetime"`
}

// TicketKey is a secret and its name.
type TicketKey struct {
	ID string `yaml:"id"`
	// Secret is at least 32 bytes, in base64.
	Secret string `yaml:"secret"`
}

// StaticSettings describe a fixed fleet, for tests and first steps.
type StaticSettings struct {
	// Bundle is a bundle source in YAML; the path is relative to the working
	// directory.
	Bundle string `yaml:"bundle"`
	// Upstreams says where the bundle's upstreams are.
	Upstreams []StaticUpstream `yaml:"upstreams"`
}

// StaticUpstream is where an upstream is.
type StaticUpstream struct {
	ID      ident.UpstreamID `yaml:"id"`
	Zone    ident.Zone       `yaml:"zone"`
	Address string           `yaml:"address"`
}

// Defaults of Settings.
const (
	defaultConnections = 8192
	defaultGrace       = 2 * time.Second
	defaultTimeout     = 5 * time.Minute
)

// SetDefaults implements settings.Defaulter.
func (s *Settings) SetDefaults() {
	l := front.DefaultLimits()
	s.Callers.Limits = LimitsSettings{
		BodyBytes:     l.BodyBytes,
		MemoryBytes:   l.MemoryBytes,
		Requests:      l.Requests,
		Connections:   defaultConnections,
		HeaderBytes:   l.HeaderBytes,
		HeaderTimeout: l.HeaderTimeout,
		BodyTimeout:   l.BodyTimeout,
		WriteTimeout:  l.WriteTimeout,
		IdleTimeout:   l.IdleTimeout,
		ResponseBytes: l.ResponseBytes,
	}
	s.Tickets.Lifetime = ticket.DefaultLimits().Lifetime
	s.Stop = StopSettings{Grace: defaultGrace, Timeout: defaultTimeout}
	s.Engine = openai.ID
	s.Service = http.ID
	s.ExplainRecords = journal.DefaultSize
	s.PauseAfter = driver.DefaultPauseAfter
}

// limits returns the limits in the front's form.
func (l LimitsSettings) limits() front.Limits {
	return front.Limits{
		BodyBytes:     l.BodyBytes,
		MemoryBytes:   l.MemoryBytes,
		Requests:      l.Requests,
		HeaderBytes:   l.HeaderBytes,
		HeaderTimeout: l.HeaderTimeout,
		BodyTimeout:   l.BodyTimeout,
		WriteTimeout:  l.WriteTimeout,
		IdleTimeout:   l.IdleTimeout,
		ResponseBytes: l.ResponseBytes,
	}
}
