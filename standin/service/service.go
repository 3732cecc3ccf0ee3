// Package service is a stand-in plain service. It accepts any call, waits for a configured
// delay, echoes the call, and counts how often each call actually ran.
// docs/protocols/service.md describes the protocol.
package service

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/wardspool/wardspool/ident"
	"github.com/wardspool/wardspool/standin/control"
	"github.com/wardspool/wardspool/standin/judge"
)

// Config describes one stand-in service.
type Config struct {
	ID ident.UpstreamID
	// Service is the name of the service that the upstream runs.
	Service string
	// Delay is the duration of a call.
	Delay time.Duration
	// Concurrency is the maximum number of concurrent calls; 0 means no limit.
	Concurrency int
	// Deduplicates makes the service run each idempotency key once and send the stored
	// response to later calls with the key.
	Deduplicates bool
	// ChecksFencing makes the service refuse calls whose fencing token is lower than
	// the highest one seen.
	ChecksFencing bool
	// Seed is the random seed that selects the calls that fail because of
	// control.ServiceFaults.ErrorRate.
	Seed uint64
	// JudgeCap bounds, separately, the number of correlation IDs in the report, of
	// idempotency keys in the report, and of stored responses. Default:
	// DefaultJudgeCap.
	JudgeCap int
}

// DefaultJudgeCap is the default of Config.JudgeCap.
const DefaultJudgeCap = 200_000

// Service is a stand-in service. Create it with New and serve its Handler.
type Service struct {
	cfg    Config
	ctx    context.Context
	cancel context.CancelFunc

	mu      sync.Mutex
	random  *rand.Rand
	faults  control.ServiceFaults
	runs    int
	running int
	refused int
	replays int
	highest uint64 // highest fencing token seen
	// byCorrelation and byKey count runs by correlation ID and by idempotency key.
	byCorrelation counts
	byKey         counts
	answers       map[string]*storedAnswer // by idempotency key
	// connected is done while the service is down because of a simulated crash.
	connected  context.Context
	disconnect context.CancelFunc
}

// storedAnswer is the response to an idempotency key. done is closed when status and answer are
// set.
type storedAnswer struct {
	done   chan struct{}
	status int
	answer CallResponse
}

// New returns a stand-in service. The caller must Close it.
func New(cfg Config) *Service {
	if cfg.JudgeCap == 0 {
		cfg.JudgeCap = DefaultJudgeCap
	}
	s := &Service{
		cfg:           cfg,
		random:        rand.New(rand.NewPCG(cfg.Seed, cfg.Seed)),
		byCorrelation: newCounts(cfg.JudgeCap),
		byKey:         newCounts(cfg.JudgeCap),
		answers:       make(map[string]*storedAnswer),
	}
	s.ctx, s.cancel = context.WithCancel(context.Background())
	s.connected, s.disconnect = context.WithCancel(s.ctx)
	return s
}

// Close ends the calls in progress without a response.
func (s *Service) Close() { s.cancel() }

// Judge returns the report of what the service actually ran.
func (s *Service) Judge() judge.Service {
	s.mu.Lock()
	defer s.mu.Unlock()
	return judge.Service{
		ID:            s.cfg.ID,
		Service:       s.cfg.Service,
		Runs:          s.runs,
		Refused:       s.refused,
		Replayed:      s.replays,
		Running:       s.running,
		ByCorrelation: s.byCorrelation.list(),
		ByKey:         s.byKey.list(),
		Dropped:       s.byCorrelation.dropped + s.byKey.dropped,
	}
}

// SetFaults replaces the injected faults.
func (s *Service) SetFaults(f control.ServiceFaults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
}

// Crash simulates a killed process: it closes every connection without a response and
// discards the stored responses and the highest fencing token. The counters of the report
// are kept. The service accepts calls again once the duration down has passed.
func (s *Service) Crash(down time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.disconnect()
	s.answers = make(map[string]*storedAnswer)
	s.highest = 0
	time.AfterFunc(down, s.restart)
}

// restart makes a crashed service accept calls again.
func (s *Service) restart() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.connected.Err() != nil {
		s.connected, s.disconnect = context.WithCancel(s.ctx)
	}
}
