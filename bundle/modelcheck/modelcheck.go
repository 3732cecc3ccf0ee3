// Package modelcheck explores every state that a small model can reach and
// checks a promise in each. It is for tests.
package modelcheck

import (
	"fmt"
	"strings"
)

// Step is one thing that can happen next, and the state it leads to.
type Step[S any] struct {
	// Name says what happens, for the trace of a violation.
	Name  string
	State S
	// Broken is the promise that the step breaks, nil if none.
	Broken error
}

// Model is a system small enough to visit all its states.
type Model[S any] struct {
	Start S
	// Key identifies a state. States with one key must behave alike.
	Key func(S) string
	// Next lists what can happen in a state. It must not change the state.
	Next func(S) []Step[S]
	// Limit bounds the states visited.
	Limit int
}

// Result is what Explore found.
type Result struct {
	// States and Steps count the distinct states visited and the steps taken.
	States, Steps int
	// Depth is the number of steps to the farthest state.
	Depth int
	// Complete is false if Limit was reached first.
	Complete bool
	// Violation is the first broken promise found, nil if there is none. Its
	// trace is among the shortest.
	Violation *Violation
}

// Violation is a broken promise and how it came about.
type Violation struct {
	Broken error
	// Trace names the steps from the start.
	Trace []string
}

// Error implements error.
func (v *Violation) Error() string {
	return fmt.Sprintf("%v after:\n  %s", v.Broken, strings.Join(v.Trace, "\n  "))
}

// visited is a state on the search's queue, with the way to it.
type visited[S any] struct {
	state  S
	name   string
	parent int
	depth  int
}

// Explore visits the model's states breadth first until a promise is broken, no
// state is left, or Limit is reached.
func Explore[S any](m Model[S]) Result {
	queue := []visited[S]{{state: m.Start, parent: -1}}
	seen := map[string]bool{m.Key(m.Start): true}
	r := Result{Complete: true}
	for i := 0; i < len(queue); i++ {
		for _, step := range m.Next(queue[i].state) {
			r.Steps++
			if step.Broken != nil {
				r.States = len(queue)
				r.Violation = &Violation{Broken: step.Broken, Trace: append(trace(queue, i), step.Name)}
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
			queue = append(queue, visited[S]{state: step.State, name: step.Name, parent: i, depth: queue[i].depth + 1})
			r.Depth = queue[i].depth + 1
		}
		// A state that was expanded is needed for its trace only.
		var none S
		queue[i].state = none
	}
	r.States = len(queue)
	return r
}

// trace names the steps from the start to a visited state.
func trace[S any](queue []visited[S], i int) []string {
	var names []string
	for ; queue[i].parent >= 0; i = queue[i].parent {
		names = append([]string{queue[i].name}, names...)
	}
	return names
}
