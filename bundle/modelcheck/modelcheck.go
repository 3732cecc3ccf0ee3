// Package modelcheck is an explicit-state model checker for tests: it explores
// every reachable state of a small model and checks invariants on each step.
package modelcheck

import (
	"fmt"
	"strings"
)

// Step is a transition of the model to a successor state.
type Step[S any] struct {
	// Name describes the transition in the trace of a violation.
	Name  string
	State S
	// Violation is the invariant violation that the step causes, nil if none.
	Violation error
}

// Model is a transition system whose states can all be visited.
type Model[S any] struct {
	Start S
	// Key identifies a state. States with equal keys must behave identically.
	Key func(S) string
	// Next lists the transitions from a state. It must not modify the state.
	Next func(S) []Step[S]
	// Limit bounds the number of states visited.
	Limit int
}

// Result is the outcome of Explore.
type Result struct {
	// States is the number of distinct states visited, and Steps the number of
	// transitions taken.
	States, Steps int
	// Depth is the number of steps from the start to the most distant state.
	Depth int
	// Complete is false if Limit was reached before all states were visited.
	Complete bool
	// Violation is the first violation found, nil if there is none. No other
	// violation has a shorter trace.
	Violation *Violation
}

// Violation is a violated invariant and the trace that leads to it.
type Violation struct {
	Err error
	// Trace lists the names of the steps from the start state.
	Trace []string
}

// Error implements error.
func (v *Violation) Error() string {
	return fmt.Sprintf("%v after:\n  %s", v.Err, strings.Join(v.Trace, "\n  "))
}

// searchNode is a state in the search queue, with a link to its predecessor.
type searchNode[S any] struct {
	state  S
	name   string
	parent int
	depth  int
}

// Explore visits the model's states in breadth-first order until a step violates
// an invariant, no state is left, or Limit is reached.
func Explore[S any](m Model[S]) Result {
	queue := []searchNode[S]{{state: m.Start, parent: -1}}
	seen := map[string]bool{m.Key(m.Start): true}
	r := Result{Complete: true}
	for i := 0; i < len(queue); i++ {
		for _, step := range m.Next(queue[i].state) {
			r.Steps++
			if step.Violation != nil {
				r.States = len(queue)
				r.Violation = &Violation{Err: step.Violation, Trace: append(trace(queue, i), step.Name)}
				return r
			}
			key := m.Key(step.State)
			if seen[key] {
				continue
			}
			if len(queue) >= m.Limit {
				r.Complete = false
				continue
			}
			seen[key] = true
			queue = append(queue, searchNode[S]{state: step.State, name: step.Name, parent: i, depth: queue[i].depth + 1})
			r.Depth = queue[i].depth + 1
		}
		// After its expansion, only the trace of a state is needed; release its
		// memory.
		var none S
		queue[i].state = none
	}
	r.States = len(queue)
	return r
}

// trace lists the names of the steps from the start to a visited state.
func trace[S any](queue []searchNode[S], i int) []string {
	var names []string
	for ; queue[i].parent >= 0; i = queue[i].parent {
		names = append([]string{queue[i].name}, names...)
	}
	return names
}
