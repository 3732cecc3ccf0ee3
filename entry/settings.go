package entry

import (
	"time"

	"github.com/wardspool/wardspool/entry/driver"
	"github.com/wardspool/wardspool/entry/front"
	"github.com/wardspool/wardspool/entry/journal"
	"github.com/wardspool/wardspool/ident"
	"github.com/wardspool/wardspool/internal/connlimit"
	"github.com/wardspool/wardspool/logs"
	"github.com/wardspool/wardspool/plugin"
	"github.com/wardspool/wardspool/plugins/engine/openai"
	"github.com/wardspool/wardspool/plugins/service/http"
	"github.com/wardspool/wardspool/settings"
	"github.com/wardspool/wardspool/settings/common"
	"github.com/wardspool/wardspool/ticket"
	"github.com/wardspool/wardspool/tlsconf"
)

// Settings are the settings of an entry instance, as read from its settings file.
// docs/settings.md describes each field.
type Settings struct {
	// Instance, Zone and Region identify this instance and its location.
	Instance ident.InstanceID `yaml:"instance"`
	Zone     ident.Zone       `yaml:"zone"`
	Region   ident.Region     `yaml:"region"`

	Callers   CallerSettings   `yaml:"callers"`
	Peers     PeerSettings     `yaml:"peers"`
	Feed      FeedSettings     `yaml:"feed"`
	Operators common.Operators `yaml:"operators"`
	// TLS configures the connections to other instances and from operators' tools; if
	// it is empty, they use plain TCP.
	TLS     tlsconf.Settings `yaml:"tls"`
	Log     logs.Options     `yaml:"log"`
	Stop    StopSettings     `yaml:"stop"`
	Tickets TicketSettings   `yaml:"tickets"`

	// Engine and Service are the adapters to use.
	Engine  plugin.ID `yaml:"engine"`
	Service plugin.ID `yaml:"service"`
	// Plugins holds the adapters' settings by plug-in ID.
	Plugins map[plugin.ID]settings.Section `yaml:"plugins"`

	// ExplainRecords is the number of decision records that are kept for explain.
	ExplainRecords int `yaml:"explain_records"`
	// PauseAfter is the gap in execution from which the process counts as paused.
	PauseAfter time.Duration `yaml:"pause_after"`

	// Static replaces the agent in tests and trial set-ups; it is nil in production.
	Static *StaticSettings `yaml:"static"`
}

// CallerSettings configure the HTTP interface for callers.
type CallerSettings struct {
	Listen string         `yaml:"listen"`
	TLS    TLSSettings    `yaml:"tls"`
	Limits LimitsSettings `yaml:"limits"`
}

// TLSSettings name a certificate file and its key file; if both are empty, plain HTTP
// is used.
type TLSSettings struct {
	Certificate string `yaml:"certificate"`
	Key         string `yaml:"key"`
}

// LimitsSettings limit the resources that callers can use.
type LimitsSettings struct {
	BodyBytes   int64 `yaml:"body_bytes"`
	MemoryBytes int64 `yaml:"memory_bytes"`
	Requests    int64 `yaml:"requests"`
	Connections int   `yaml:"connections"`
	// ConnectionBytes is the maximum memory of all connections and of the heads of their requests.
	ConnectionBytes int64         `yaml:"connection_bytes"`
	HeaderBytes     int           `yaml:"header_bytes"`
	HeaderTimeout   time.Duration `yaml:"header_timeout"`
	BodyTimeout     time.Duration `yaml:"body_timeout"`
	WriteTimeout    time.Duration `yaml:"write_timeout"`
	IdleTimeout     time.Duration `yaml:"idle_timeout"`
	ResponseBytes   int64         `yaml:"response_bytes"`
}

// PeerSettings configure the connections with other instances.
type PeerSettings struct {
	// Listen is the address for calls from peers; if it is empty, none are accepted.
	Listen string `yaml:"listen"`
	// Known lists instances that are accepted as peers before the agent's first view.
	Known []PeerAddress `yaml:"known"`
}

// PeerAddress is the address at which another instance's entry accepts calls.
type PeerAddress struct {
	Instance ident.InstanceID `yaml:"instance"`
	Address  string           `yaml:"address"`
}

// FeedSettings configure the connection from the agent on the same host.
type FeedSettings struct {
	// Listen is a loopback address.
	Listen string `yaml:"listen"`
}

// StopSettings configure the graceful shutdown.
type StopSettings struct {
	// Grace is the time for which the instance reports not ready but still accepts
	// requests.
	Grace time.Duration `yaml:"grace"`
	// Timeout limits the wait for requests in flight.
	Timeout time.Duration `yaml:"timeout"`
}

// TicketSettings configure tickets for calls that are not repeatable.
type TicketSettings struct {
	// Keys are the secrets that all instances share; new tickets are sealed with the
	// first one. Without keys the instance issues and accepts no tickets.
	Keys []TicketKey `yaml:"keys"`
	// Lifetime is the time from the issue of a ticket to its expiry.
	Lifetime time.Duration `yaml:"lifetime"`
}

// TicketKey is a named secret.
type TicketKey struct {
	ID string `yaml:"id"`
	// Secret is at least 32 bytes, in base64.
	Secret string `yaml:"secret"`
}

// StaticSettings describe a fixed fleet without an agent, for tests and for trying out an
// entry.
type StaticSettings struct {
	// Bundle is the path of a bundle source in YAML, relative to the working directory.
	Bundle string `yaml:"bundle"`
	// Upstreams gives the addresses of the bundle's upstreams.
	Upstreams []StaticUpstream `yaml:"upstreams"`
}

// StaticUpstream is the zone and address of an upstream.
type StaticUpstream struct {
	ID      ident.UpstreamID `yaml:"id"`
	Zone    ident.Zone       `yaml:"zone"`
	Address string           `yaml:"address"`
}

// Default values of Settings that no other package defines.
const (
	defaultConnections = 8192
	// defaultConnectionBytes is enough for defaultConnections, of which a quarter has a head of usual size.
	defaultConnectionBytes = 128 << 20
	defaultStopGrace       = 2 * time.Second
	defaultStopTimeout     = 5 * time.Minute
)

// SetDefaults implements settings.Defaulter.
func (s *Settings) SetDefaults() {
	l := front.DefaultLimits()
	s.Callers.Limits = LimitsSettings{
		BodyBytes:       l.BodyBytes,
		MemoryBytes:     l.MemoryBytes,
		Requests:        l.Requests,
		Connections:     defaultConnections,
		ConnectionBytes: defaultConnectionBytes,
		HeaderBytes:     l.HeaderBytes,
		HeaderTimeout:   l.HeaderTimeout,
		BodyTimeout:     l.BodyTimeout,
		WriteTimeout:    l.WriteTimeout,
		IdleTimeout:     l.IdleTimeout,
		ResponseBytes:   l.ResponseBytes,
	}
	s.Tickets.Lifetime = ticket.DefaultLimits().Lifetime
	s.Stop = StopSettings{Grace: defaultStopGrace, Timeout: defaultStopTimeout}
	s.Engine = openai.ID
	s.Service = http.ID
	s.ExplainRecords = journal.DefaultSize
	s.PauseAfter = driver.DefaultPauseAfter
}

// connections converts the settings to connlimit.Limits.
func (l LimitsSettings) connections() connlimit.Limits {
	return connlimit.Limits{Connections: l.Connections, MemoryBytes: l.ConnectionBytes}
}

// limits converts the settings to front.Limits.
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
