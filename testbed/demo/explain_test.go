package main

import (
	"errors"
	"fmt"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// asking returns an asker that knows only the given requests, and a counter of its
// calls.
func asking(known ...string) (asker, *int) {
	asked := 0
	return func(id string) (string, bool, error) {
		asked++
		for _, k := range known {
			if k == id {
				return "its decisions\n", true, nil
			}
		}
		return "no instance knows it\n", false, nil
	}, &asked
}

// complete returns records of n model requests that were answered completely.
func complete(n int) []record {
	var out []record
	for i := range n {
		out = append(out, record{ID: fmt.Sprint("r", i), Kind: "review", Model: true, Outcome: "complete", Sendings: 1})
	}
	return out
}

// TestLostRequestIsPassedOver checks that requests whose records were lost with the
// killed instance, here the first two, are skipped.
func TestLostRequestIsPassedOver(t *testing.T) {
	ask, asked := asking("r2", "r3")
	text, err := topics[0].explained(complete(5), ask)
	assert.NilError(t, err)
	assert.Equal(t, *asked, 3)
	assert.Assert(t, strings.HasPrefix(text, "Why did the review r2 end as \"complete\"?\nits decisions\n"), "%s", text)
	assert.Assert(t, strings.Contains(text, "(2 before it are known by no live instance"), "%s", text)
}

// TestNothingKnownIsAFailure checks that it is an error if no record is found: the
// records of all answered requests cannot have been lost with one instance.
func TestNothingKnownIsAFailure(t *testing.T) {
	ask, asked := asking()
	_, err := topics[0].explained(complete(2*maxAsked), ask)
	var unexplained *UnexplainedError
	assert.Assert(t, errors.As(err, &unexplained))
	assert.Equal(t, unexplained.Asked, maxAsked)
	assert.Equal(t, *asked, maxAsked)
}

// TestTroubleMayBeLost checks that missing records are reported and not an error
// where all requests of a topic may have been handled by the killed instance.
func TestTroubleMayBeLost(t *testing.T) {
	ask, _ := asking()
	all := append(complete(2), record{ID: "cut", Model: true, Outcome: "unknown", Sendings: 1})
	text, err := topics[1].explained(all, ask)
	assert.NilError(t, err)
	assert.Assert(t, strings.HasPrefix(text, "No live instance knows the 1 requests"), "%s", text)
}

func TestNoSuchRequestSaysNothing(t *testing.T) {
	ask, asked := asking()
	text, err := topics[2].explained(complete(2), ask)
	assert.NilError(t, err)
	assert.Equal(t, text, "")
	assert.Equal(t, *asked, 0)
}

// TestAskersFailureIsPassedOn checks that the asker's error is returned, for example
// when wardspoolctl cannot be run.
func TestAskersFailureIsPassedOn(t *testing.T) {
	failure := errors.New("no such program")
	_, err := topics[0].explained(complete(1), func(string) (string, bool, error) { return "", false, failure })
	assert.ErrorIs(t, err, failure)
}
