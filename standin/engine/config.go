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

// Config describes one stand-in engine.
type Config struct {
	ID   ident.UpstreamID
	Role config.Role
	// Models lists the models loaded at start, Adapters their adapters.
	Models   []string
	Adapters []string
	// Version names the version of the models loaded at start.
	Version string
	// Address is what KV-transfer parameters name as this engine, as IP:port.
	Address string
	Perf    perf.Params
	// QueueLimit bounds the prefills that wait; more are refused.
	QueueLimit int
	// LoadLag is the age of the report that GET /load answers.
	LoadLag time.Duration
	// CacheDelay is how late cache events are published.
	CacheDelay time.Duration
	// CacheLoss is the share of batches of cache events, 0 to 1, that are
	// never published, chosen by Seed.
	CacheLoss float64
	Seed      uint64
	// LoadWeights is how long it takes to carry out an order that changes
	// models, adapters, version or role.
	LoadWeights time.Duration
	// ChecksFencing makes the engine refuse orders with an old fence.
	ChecksFencing bool
	// Retention is how long a finished stream can still be resumed and its
	// attempt ID is remembered. Default: DefaultRetention.
	Retention time.Duration
	// JudgeCap bounds the correlation IDs that the judge keeps records of.
	// Default: DefaultJudgeCap.
	JudgeCap int
	// Client fetches KV from other engines. Default: a client of its own.
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

// withDefaults fills in what must not be zero.
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

// hostPort splits the address for the KV-transfer parameters; an address
// without a port gives port 0.
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
