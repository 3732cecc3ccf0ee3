package engine

import (
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/wardspool/wardspool/config"
	"github.com/wardspool/wardspool/ident"
	"github.com/wardspool/wardspool/standin/perf"
)

// Config configures a stand-in engine.
type Config struct {
	ID   ident.UpstreamID
	Role config.Role
	// Models lists the models loaded at start, Adapters the adapters loaded
	// with them.
	Models   []string
	Adapters []string
	// Version is the version of the models loaded at start.
	Version string
	// Address is the address of this engine in KV-transfer parameters, as
	// IP:port.
	Address string
	Perf    perf.Params
	// QueueLimit is the maximum number of waiting prefills; more are refused.
	// Default: DefaultQueueLimit.
	QueueLimit int
	// LoadLag is the age of the load report that GET /load returns.
	LoadLag time.Duration
	// CacheDelay is the delay between a cache change and its publication.
	CacheDelay time.Duration
	// CacheLoss is the share of cache event batches, 0 to 1, that are never
	// published. Seed seeds their random selection.
	CacheLoss float64
	Seed      uint64
	// LoadWeights is the time that it takes to apply an order that changes
	// models, adapters, version or role.
	LoadWeights time.Duration
	// ChecksFencing makes the engine refuse orders with a fencing number lower
	// than the highest one seen.
	ChecksFencing bool
	// Retention is the time after the end of an attempt for which its stream
	// can be resumed and its ID counts as a duplicate. Default:
	// DefaultRetention.
	Retention time.Duration
	// JudgeCap is the maximum number of correlation IDs with a record in the
	// judge's report. Default: DefaultJudgeCap.
	JudgeCap int
	// Client pulls KV caches from other engines. Default: a new client.
	Client *http.Client
}

// Defaults of Config.
const (
	DefaultRetention  = 30 * time.Second
	DefaultJudgeCap   = 200_000
	DefaultQueueLimit = 64
	DefaultLoadLag    = 500 * time.Millisecond
	DefaultCacheDelay = 500 * time.Millisecond
	DefaultLoadTime   = 2 * time.Second
)

// withDefaults replaces the zero values of fields that have a default.
func (c Config) withDefaults() Config {
	if c.Perf == (perf.Params{}) {
		c.Perf = perf.Defaults()
	}
	if c.Retention == 0 {
		c.Retention = DefaultRetention
	}
	if c.JudgeCap == 0 {
		c.JudgeCap = DefaultJudgeCap
	}
	if c.QueueLimit == 0 {
		c.QueueLimit = DefaultQueueLimit
	}
	if c.Client == nil {
		c.Client = &http.Client{Transport: &http.Transport{
			MaxIdleConnsPerHost: c.Perf.Slots,
			DisableCompression:  true,
		}}
	}
	return c
}

// hostPort splits the address into host and port for the KV-transfer
// parameters. If the address has no valid port, the port is 0.
func (c Config) hostPort() (string, int) {
	host, port, err := net.SplitHostPort(c.Address)
	if err != nil {
		return c.Address, 0
	}
	n, err := strconv.Atoi(port)
	if err != nil {
		return host, 0
	}
	return host, n
}
