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

// Settings are what an agent reads from its settings file. docs/settings.md
// describes each field.
type Settings struct {
	// Instance, Zone and Region say whose agent this is, and where.
	Instance ident.InstanceID `yaml:"instance"`
	Zone     ident.Zone       `yaml:"zone"`
	Region   ident.Region     `yaml:"region"`

	Entry     EntrySettings    `yaml:"entry"`
	Peers     PeerSettings     `yaml:"peers"`
	Operators common.Operators `yaml:"operators"`
	Metrics   MetricsSettings  `yaml:"metrics"`
	// TLS protects the connections to other agents and from operators' tools;
	// empty means plain TCP.
	TLS      tlsconf.Settings `yaml:"tls"`
	Platform PlatformSettings `yaml:"platform"`
	// Approvers is the set whose quorum signs bundles, as of the deployment.
	Approvers ApproverSettings `yaml:"approvers"`
	// Preload is a folder with a packed bundle and its roll; empty for none.
	Preload string `yaml:"preload"`
	// Isolated says what to do at the start when neither the platform nor a
	// ready peer answers.
	Isolated ledger.IsolatedPolicy `yaml:"isolated"`

	Loads  LoadSettings `yaml:"loads"`
	Stop   StopSettings `yaml:"stop"`
	Log    logs.Options `yaml:"log"`
	Memory uint64       `yaml:"memory_bytes"`
	// PauseAfter is how long the process must not have run to count as paused.
	PauseAfter time.Duration `yaml:"pause_after"`
}

// EntrySettings concern the entry beside the agent.
type EntrySettings struct {
	// Feed is the entry's feed.listen.
	Feed string `yaml:"feed"`
	// Interval is the longest time between two updates.
	Interval time.Duration `yaml:"interval"`
}

// PeerSettings concern the agents of the other instances.
type PeerSettings struct {
	// Listen is where their calls are taken.
	Listen string `yaml:"listen"`
	// Seeds lists instances that are known before the platform names them.
	Seeds []Seed `yaml:"seeds"`
	// Budget bounds the bytes of all heartbeats sent and received, per second.
	Budget int `yaml:"budget"`
}

// Seed is another instance.
type Seed struct {
	Instance ident.InstanceID `yaml:"instance"`
	Zone     ident.Zone       `yaml:"zone"`
	// Address is its agent's, Entry its entry's address for peers.
	Address string `yaml:"address"`
	Entry   string `yaml:"entry"`
}

// MetricsSettings concern the metrics.
type MetricsSettings struct {
	// Listen is where GET /metrics is answered; empty means nowhere.
	Listen string `yaml:"listen"`
}

// PlatformSettings concern the platform's configuration service.
type PlatformSettings struct {
	// Adapter is the plug-in that reads it.
	Adapter plugin.ID `yaml:"adapter"`
	URLs    []string  `yaml:"urls"`
	// Readers is how many instances of a zone watch one key.
	Readers int `yaml:"readers"`
	// Wait is how long one poll of a watch waits.
	Wait time.Duration `yaml:"wait"`
	// FallbackAfter is how long no word of the platform may come by way of the
	// peers before this instance reads it itself.
	FallbackAfter time.Duration `yaml:"fallback_after"`
}

// ApproverSettings are the approvers whose quorum signs.
type ApproverSettings struct {
	Epoch  uint64        `yaml:"epoch"`
	Quorum int           `yaml:"quorum"`
	Keys   []ApproverKey `yaml:"keys"`
}

// ApproverKey is one approver and the public key, in hexadecimal.
type ApproverKey struct {
	Name string `yaml:"name"`
	Key  string `yaml:"key"`
}

// KeyError reports an approver's key that is none.
type KeyError struct {
	// Index is the key's place in the list.
	Index int
	Err   error
}

// Error implements error.
func (e *KeyError) Error() string { return e.Err.Error() }

// Unwrap returns the cause.
func (e *KeyError) Unwrap() error { return e.Err }

// set returns the approvers in the form of package bundle. Errors are *KeyError
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

// LoadSettings concern the upstreams' load reports.
type LoadSettings struct {
	// Interval is the time between two reads of one upstream's load.
	Interval time.Duration `yaml:"interval"`
	// Budget bounds the bytes of all reads, sent and received, per second; the
	// interval grows to keep it.
	Budget int `yaml:"budget"`
}

// StopSettings concern the end of the agent.
type StopSettings struct {
	// Grace is how long to wait for word that the entry is stopping as well.
	Grace time.Duration `yaml:"grace"`
	// Timeout bounds the wait for a stopping entry to end.
	Timeout time.Duration `yaml:"timeout"`
}

// Defaults of Settings.
const (
	defaultFeedInterval  = time.Second
	defaultHeartbeats    = 2200
	defaultReaders       = 2
	defaultFallbackAfter = 30 * time.Second
	defaultLoadInterval  = time.Second
	defaultLoadBudget    = 800
	defaultGrace         = 3 * time.Second
	defaultStopTimeout   = 6 * time.Minute
	defaultMemory        = 20 << 20
	defaultPauseAfter    = 2 * time.Second
)

// defaultAdapter reads the platform by the protocol of docs/protocols/platform.md.
const defaultAdapter plugin.ID = "platform.http"

// SetDefaults implements settings.Defaulter.
func (s *Settings) SetDefaults() {
	s.Entry.Interval = defaultFeedInterval
	s.Peers.Budget = defaultHeartbeats
	s.Platform = PlatformSettings{
		Adapter: defaultAdapter, Readers: defaultReaders, Wait: configservice.DefaultWait, FallbackAfter: defaultFallbackAfter,
	}
	s.Isolated = ledger.IsolatedWait
	s.Loads = LoadSettings{Interval: defaultLoadInterval, Budget: defaultLoadBudget}
	s.Stop = StopSettings{Grace: defaultGrace, Timeout: defaultStopTimeout}
	s.Memory = defaultMemory
	s.PauseAfter = defaultPauseAfter
}
