// Package service is a stand-in plain service: it takes any call, waits for a
// while and answers what it was asked, and counts how often each call really
// ran. docs/protocols/service.md describes the protocol.
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
	// Delay is how long a call runs.
	Delay time.Duration
	// Concurrency bounds the calls that run at once; 0 is no limit.
	Concurrency int
	// Deduplicates makes the service run each idempotency key once and answer
	// later calls with the stored answer.
	Deduplicates bool
	// ChecksFencing makes the service refuse a call whose fencing token is
	// lower than the highest that it has seen.
	ChecksFencing bool
	// Seed chooses the calls that fail by control.ServiceFaults.ErrorRate.
	Seed uint64
	// JudgeCap bounds the correlation IDs, and as many keys, that the judge
	// and the store of answers keep. Default: DefaultJudgeCap.
	JudgeCap int
}

// DefaultJudgeCap is the default of Config.JudgeCap.
const DefaultJudgeCap = 200_000

// Service is one stand-in service. Make it with New and serve its Handler.
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
	highest uint64 // fencing token
	// byCorrelation and byKey count runs.
	byCorrelation counts
	byKey         counts
	answers       map[string]*stored // by idempotency key
	// connected is done while the service plays dead.
	connected  context.Context
	disconnect context.CancelFunc
}

// stored is the answer to an idempotency key; done is closed when it is there.
type stored struct {
	done   chan struct{}
	status int
	answer Answer
}

// New returns a stand-in service. Close stops it.
func New(cfg Config) *Service {
	if cfg.JudgeCap == 0 {
		cfg.JudgeCap = DefaultJudgeCap
	}
	s := &Service{
		cfg:           cfg,
		random:        rand.New(rand.NewPCG(cfg.Seed, cfg.Seed)),
		byCorrelation: newCounts(cfg.JudgeCap),
		byKey:         newCounts(cfg.JudgeCap),
		answers:       make(map[string]*stored),
	}
	s.ctx, s.cancel = context.WithCancel(context.Background())
	s.connected, s.disconnect = context.WithCancel(s.ctx)
	return s
}

// Close ends the calls being served without an answer.
func (s *Service) Close() { s.cancel() }

// Judge reports what the service really did.
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

// SetFaults replaces the faults that the service shows.
func (s *Service) SetFaults(f control.ServiceFaults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
}

// Crash closes every connection without an answer and forgets the stored
// answers and fencing tokens, like a process that is killed; the judge's
// counters stay. Calls are taken again when the time is over.
func (s *Service) Crash(down time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.disconnect()
	s.answers = make(map[string]*stored)
	s.highest = 0
	time.AfterFunc(down, s.comeBack)
}

// comeBack ends the time for which a crashed service is away.
func (s *Service) comeBack() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.connected.Err() != nil {
		s.connected, s.disconnect = context.WithCancel(s.ctx)
	}
}
