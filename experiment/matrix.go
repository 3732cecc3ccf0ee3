package experiment

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/wardspool/wardspool/plugin"
)

// Durations of the matrix's cells.
const (
	matrixWarmup   = 10 * time.Second
	matrixDuration = 90 * time.Second
	quickDuration  = 60 * time.Second
)

// defaultInstances is the default number of entry instances, which is what each
// user has today.
const defaultInstances = 8

// Loads lists the loads of the matrix, as fractions of capacity.
var Loads = []float64{0.5, 0.8, 1.0, 1.2, 1.5}

// slotPolicies lists the slot policies that are compared with each other, at
// each number of slotInstances.
var slotPolicies = []PolicyName{"slots.lease", "slots.dispatch", "slots.shares", "slots.probe", "slots.none"}

var slotInstances = []int{2, 8, 24}

// slotFaults lists the faults that hit the instance that grants the most slots.
var slotFaults = []Fault{FaultNone, FaultInstanceKill, FaultInstanceFreeze, FaultPeerCut}

// QuickCells returns a small matrix for tuning: one seed, three loads, no
// faults.
func QuickCells(deployments []*Deployment) []Cell {
	var cells []Cell
	for _, d := range deployments {
		for _, p := range []PolicyName{PolicyNaive, PolicyCurrent, PolicyIdeal} {
			for _, load := range []float64{0.8, 1.0, 1.5} {
				c := NewCell(d, p, load, FaultNone, 1)
				c.Duration = quickDuration
				cells = append(cells, c)
			}
		}
	}
	return cells
}

// FullCells returns the whole matrix with the given number of seeds: each policy
// at each load and with a surge; naive, current and ideal with each fault at
// capacity; each slot policy at each number of instances. All cells of one seed
// come before those of the next.
func FullCells(deployments []*Deployment, seeds int) []Cell {
	var cells []Cell
	for seed := uint64(1); seed <= uint64(seeds); seed++ {
		for _, d := range deployments {
			cells = append(cells, loadCells(d, seed)...)
			cells = append(cells, faultCells(d, seed)...)
			cells = append(cells, slotCells(d, seed)...)
			cells = append(cells, surgeCells(d, seed)...)
		}
	}
	return cells
}

// policies lists the policies of the matrix, from the weakest to the strongest.
func policies() []PolicyName {
	list := append([]PolicyName{PolicyNaive}, PolicyVersions()...)
	return append(list, PolicyCurrent, PolicyIdeal)
}

func loadCells(d *Deployment, seed uint64) []Cell {
	var cells []Cell
	for _, p := range policies() {
		for _, load := range Loads {
			cells = append(cells, NewCell(d, p, load, FaultNone, seed))
		}
	}
	return cells
}

func faultCells(d *Deployment, seed uint64) []Cell {
	var cells []Cell
	for _, p := range []PolicyName{PolicyNaive, PolicyCurrent, PolicyIdeal} {
		for _, f := range append(append([]Fault{}, SingleFaults...), DoubleFaults...) {
			cells = append(cells, NewCell(d, p, 1.0, f, seed))
		}
	}
	return cells
}

func slotCells(d *Deployment, seed uint64) []Cell {
	var cells []Cell
	for _, n := range slotInstances {
		for _, p := range registered(slotPolicies) {
			for _, f := range slotFaults {
				c := NewCell(d, p, 1.0, f, seed)
				c.Instances = n
				cells = append(cells, c)
			}
		}
	}
	return cells
}

// surgeBase is the load before and after a surge.
const surgeBase = 0.8

func surgeCells(d *Deployment, seed uint64) []Cell {
	var cells []Cell
	for _, p := range policies() {
		cells = append(cells, NewCell(d, p, surgeBase, FaultSurge, seed))
	}
	return cells
}

// registered returns those of the slot policies that are registered in this
// binary.
func registered(names []PolicyName) []PolicyName {
	var have []PolicyName
	for _, id := range plugin.InNamespace("slots") {
		if name := PolicyName(id); slices.Contains(names, name) {
			have = append(have, name)
		}
	}
	return have
}

// NewCell returns a cell with the default number of instances and durations.
func NewCell(d *Deployment, p PolicyName, load float64, f Fault, seed uint64) Cell {
	return Cell{
		Deployment: d.Name,
		Instances:  defaultInstances,
		Policy:     p,
		Load:       load,
		Fault:      f,
		Seed:       seed,
		Warmup:     matrixWarmup,
		Duration:   matrixDuration,
		LoadLag:    defaultLoadLag,
	}
}

// RunAll runs cells on the given number of parallel workers and returns the
// results in the cells' order. After each cell it calls progress, from one
// goroutine at a time. Cells that have not started when the context ends are
// left out. It returns the first error of Run in the cells' order.
func RunAll(ctx context.Context, cells []Cell, deployments []*Deployment, workers int, progress func(done int, r *Result)) ([]*Result, error) {
	m := matrixRun{
		cells: cells, byName: map[string]*Deployment{}, progress: progress,
		results: make([]*Result, len(cells)), errs: make([]error, len(cells)),
	}
	for _, d := range deployments {
		m.byName[d.Name] = d
	}
	todo := make(chan int)
	var wg sync.WaitGroup
	for range workers {
		wg.Go(func() {
			for i := range todo {
				m.run(i)
			}
		})
	}
	for i := range cells {
		if ctx.Err() != nil {
			break
		}
		todo <- i
	}
	close(todo)
	wg.Wait()
	return m.collect()
}

// matrixRun is the state of one call of RunAll.
type matrixRun struct {
	cells    []Cell
	byName   map[string]*Deployment
	progress func(done int, r *Result)

	mu      sync.Mutex
	done    int
	results []*Result
	errs    []error
}

func (m *matrixRun) run(i int) {
	r, err := Run(m.cells[i], m.byName[m.cells[i].Deployment])
	m.mu.Lock()
	defer m.mu.Unlock()
	m.results[i], m.errs[i] = r, err
	m.done++
	if m.progress != nil && err == nil {
		m.progress(m.done, r)
	}
}

// collect returns the results of the cells that ran, or the first error.
func (m *matrixRun) collect() ([]*Result, error) {
	var results []*Result
	for i, err := range m.errs {
		if err != nil {
			return nil, err
		}
		if m.results[i] != nil {
			results = append(results, m.results[i])
		}
	}
	return results, nil
}
