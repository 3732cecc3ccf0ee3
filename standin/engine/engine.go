package engine

import (
	"context"
	"sync"
	"time"

	"github.com/wardspool/wardspool/config"
	"github.com/wardspool/wardspool/ident"
	"github.com/wardspool/wardspool/standin/control"
	"github.com/wardspool/wardspool/standin/perf"
)

// Engine is a stand-in engine. Create it with New and serve its Handler.
type Engine struct {
	cfg Config
	// started is the time from which the link's time offsets count.
	started time.Time
	wake    chan struct{}
	ctx     context.Context
	stop    context.CancelFunc
	workers sync.WaitGroup

	mu     sync.Mutex
	state  *engineState
	faults control.EngineFaults
	ledger *ledger
	// down is true between a simulated crash and the restart.
	down bool
	// connected is cancelled while connections are dropped.
	connected    context.Context
	disconnect   context.CancelFunc
	batchDropper *batchDropper
}

// engineState is the state of one incarnation, which is lost in a crash.
type engineState struct {
	incarnation ident.Incarnation
	attempts    map[string]*attempt
	// ended lists the ended attempts that are still retained, oldest first.
	ended      []*attempt
	tombstones *tombstones

	queue prefillQueue
	// currentPrefill is the prefill that continues in the next step, nil if none.
	currentPrefill *attempt
	// prefilling is the number of attempts in StagePrefill.
	prefilling int
	// batch lists the running generations, joining those that start with the
	// next step.
	batch   []*attempt
	joining []*attempt

	slotsUsed  int
	piecesUsed int
	nextBlock  int64
	arrivals   uint64
	// resultsByBlock maps the ID of the first block to its prefill result.
	resultsByBlock map[int64]*attempt

	cache     *perf.Cache
	events    *eventLog
	transfers *transfers
	loads     loadHistory
	placement placement
}

// New starts a stand-in engine. Call Close to stop it.
func New(cfg Config) *Engine {
	cfg = cfg.withDefaults()
	e := &Engine{
		cfg:          cfg,
		started:      time.Now(),
		wake:         make(chan struct{}, 1),
		ledger:       newLedger(cfg.JudgeCap),
		batchDropper: newBatchDropper(cfg.Seed, cfg.CacheLoss),
	}
	e.ctx, e.stop = context.WithCancel(context.Background())
	e.connected, e.disconnect = context.WithCancel(e.ctx)
	e.state = e.newState(0)
	e.workers.Go(e.runSteps)
	e.workers.Go(e.sampleLoads)
	return e
}

// newState returns the state of a new incarnation, with a number higher than
// previous.
func (e *Engine) newState(previous ident.Incarnation) *engineState {
	state := &engineState{
		incarnation:    max(ident.NewIncarnation(time.Now()), previous+1),
		attempts:       make(map[string]*attempt),
		tombstones:     newTombstones(),
		resultsByBlock: make(map[int64]*attempt),
		nextBlock:      1,
		cache:          perf.NewCache(e.cfg.Perf.CachePieces),
		events:         newEventLog(e.cfg.CacheDelay, e.batchDropper),
	}
	state.transfers = newTransfers(e, state)
	state.placement = placement{
		role:     e.cfg.Role,
		models:   e.cfg.Models,
		adapters: e.cfg.Adapters,
		version:  e.cfg.Version,
	}
	return state
}

// Close stops the engine and waits for its goroutines. Connections of requests
// in progress are dropped.
func (e *Engine) Close() {
	e.stop()
	e.mu.Lock()
	e.closeState()
	e.mu.Unlock()
	e.workers.Wait()
	e.cfg.Client.CloseIdleConnections()
}

// closeState ends all attempts and stops all timers of the current incarnation.
func (e *Engine) closeState() {
	for _, a := range e.state.attempts {
		e.end(a, &failureStopped)
	}
	e.state.transfers.close()
	e.state.events.close()
	e.state.placement.close()
}

// wakeLoop wakes the step loop.
func (e *Engine) wakeLoop() {
	select {
	case e.wake <- struct{}{}:
	default:
	}
}

// role returns the current role. The caller holds the mutex.
func (e *Engine) role() config.Role { return e.state.placement.role }
