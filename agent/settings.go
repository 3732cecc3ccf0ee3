package agent

import (
	"time"

	"github.com/wardspool/wardspool/bundle"
	"github.com/wardspool/wardspool/bundle/ledger"
	"github.com/wardspool/wardspool/configservice"
	"github.com/wardspool/wardspool/ident"
	"github.com/wardspool/wardspool/logs"
	"github.com/wardspool/wardspool/plugin"
	"github.com/wardspool/wardspool/settings/common"
	"github.com/wardspool/wardspool/tlsconf"
)

// Settings is the agent's settings file. docs/settings.md describes each field.
type Settings struct {
	// Instance, Zone and Region identify the instance of this agent and its
	// location.
	Instance ident.InstanceID `yaml:"instance"`
	Zone     ident.Zone       `yaml:"zone"`
	Region   ident.Region     `yaml:"region"`

	Entry     EntrySettings    `yaml:"entry"`
	Peers     PeerSettings     `yaml:"peers"`
	Operators common.Operators `yaml:"operators"`
	Metrics   MetricsSettings  `yaml:"metrics"`
	// TLS secures the connections to other agents and from operators' tools;
	// empty means plain TCP.
	TLS      tlsconf.Settings `yaml:"tls"`
	Platform PlatformSettings `yaml:"platform"`
	// Approvers is the set whose quorum signs bundles, as of the deployment.
	Approvers ApproverSettings `yaml:"approvers"`
	// Preload is a folder with a packed bundle and its roll; empty for none.
	Preload string `yaml:"preload"`
	// Isolated is the policy at the start if neither the platform nor a ready
	// peer responds.
	Isolated ledger.IsolatedPolicy `yaml:"isolated"`

	Loads  LoadSettings `yaml:"loads"`
	Stop   StopSettings `yaml:"stop"`
	Log    logs.Options `yaml:"log"`
	Memory uint64       `yaml:"memory_bytes"`
	// PauseAfter is the time without running after which the process counts as
	// paused.
	PauseAfter time.Duration `yaml:"pause_after"`
}

// EntrySettings configures the feed to the entry beside the agent.
type EntrySettings struct {
	// Feed is the address in the entry's feed.listen.
	Feed string `yaml:"feed"`
	// Interval is the longest time between two updates.
	Interval time.Duration `yaml:"interval"`
}

// PeerSettings configures the communication with the agents of other instances.
type PeerSettings struct {
	// Listen is the address for calls from peers.
	Listen string `yaml:"listen"`
	// Seeds lists instances that are known before the platform's list is.
	Seeds []Seed `yaml:"seeds"`
	// Budget limits the bytes of all heartbeats, sent and received, per second.
	Budget int `yaml:"budget"`
}

// Seed is another instance that the settings name.
type Seed struct {
	Instance ident.InstanceID `yaml:"instance"`
	Zone     ident.Zone       `yaml:"zone"`
	// Address is the address of its agent, Entry that of its entry for peers.
	Address string `yaml:"address"`
	Entry   string `yaml:"entry"`
}

// MetricsSettings configures the metrics.
type MetricsSettings struct {
	// Listen is the address that serves GET /metrics; empty disables it.
	Listen string `yaml:"listen"`
}

// PlatformSettings configures the access to the platform's configuration service.
type PlatformSettings struct {
	// Adapter is the plug-in that reads the service.
	Adapter plugin.ID `yaml:"adapter"`
	URLs    []string  `yaml:"urls"`
	// Readers is the number of instances of a zone that watch one key.
	Readers int `yaml:"readers"`
	// Wait is the duration of one long poll of a watch.
	Wait time.Duration `yaml:"wait"`
	// FallbackAfter is the time without a response of the platform, to this
	// instance or to peers, after which this instance reads the platform itself.
	FallbackAfter time.Duration `yaml:"fallback_after"`
}

// ApproverSettings configures the approvers whose quorum signs bundles.
type ApproverSettings struct {
	Epoch  uint64        `yaml:"epoch"`
	Quorum int           `yaml:"quorum"`
	Keys   []ApproverKey `yaml:"keys"`
}

// ApproverKey is an approver's name and public key, in hexadecimal.
type ApproverKey struct {
	Name string `yaml:"name"`
	Key  string `yaml:"key"`
}

// KeyError reports an invalid approver key.
type KeyError struct {
	// Index is the key's position in the list.
	Index int
	Err   error
}

// Error implements error.
func (e *KeyError) Error() string { return e.Err.Error() }

// Unwrap returns the cause.
func (e *KeyError) Unwrap() error { return e.Err }

// set converts the approvers to the form of package bundle. Errors are *KeyError
// and *bundle.ApproversError.
func (a ApproverSettings) set() (bundle.Approvers, error) {
	set := bundle.Approvers{Epoch: a.Epoch, Quorum: a.Quorum}
	for i, k := range a.Keys {
		approver := bundle.Approver{Name: k.Name}
		if err := approver.Key.UnmarshalText([]byte(k.Key)); err != nil {
			return set, &KeyError{Index: i, Err: err}
		}
		set.Keys = append(set.Keys, approver)
	}
	set = set.Sorted()
	return set, set.Check()
}

// LoadSettings configures reading the upstreams' load.
type LoadSettings struct {
	// Interval is the time between two reads of one upstream's load.
	Interval time.Duration `yaml:"interval"`
	// Budget limits the bytes of all reads, sent and received, per second; the
	// interval grows to stay within it.
	Budget int `yaml:"budget"`
}

// StopSettings configures the shutdown of the agent.
type StopSettings struct {
	// Grace is how long to wait for the entry to report that it is stopping as
	// well.
	Grace time.Duration `yaml:"grace"`
	// Timeout limits the wait for a stopping entry to end.
	Timeout time.Duration `yaml:"timeout"`
}

// Default settings.
const (
	defaultFeedInterval    = time.Second
	defaultHeartbeatBudget = 2200
	defaultReaders         = 2
	defaultFallbackAfter   = 30 * time.Second
	defaultLoadInterval    = time.Second
	defaultLoadBudget      = 800
	defaultGrace           = 3 * time.Second
	defaultStopTimeout     = 6 * time.Minute
	defaultMemory          = 20 << 20
	defaultPauseAfter      = 2 * time.Second
)

// defaultAdapter reads the platform by the protocol of
// docs/protocols/platform.md.
const defaultAdapter plugin.ID = "platform.http"

// SetDefaults implements settings.Defaulter.
func (s *Settings) SetDefaults() {
	s.Entry.Interval = defaultFeedInterval
	s.Peers.Budget = defaultHeartbeatBudget
	s.Platform = PlatformSettings{
		Adapter: defaultAdapter, Readers: defaultReaders, Wait: configservice.DefaultWait, FallbackAfter: defaultFallbackAfter,
	}
	s.Isolated = ledger.IsolatedWait
	s.Loads = LoadSettings{Interval: defaultLoadInterval, Budget: defaultLoadBudget}
	s.Stop = StopSettings{Grace: defaultGrace, Timeout: defaultStopTimeout}
	s.Memory = defaultMemory
	s.PauseAfter = defaultPauseAfter
}
