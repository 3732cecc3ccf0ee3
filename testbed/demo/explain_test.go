package main

import (
	"errors"
	"fmt"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// fakeLookup returns a lookupFunc that knows only the given requests, and a counter
// of its calls.
func fakeLookup(known ...string) (lookupFunc, *int) {
	lookups := 0
	return func(id string) (string, bool, error) {
		lookups++
		for _, k := range known {
			if k == id {
				return "its decisions\n", true, nil
			}
		}
		return "no instance knows it\n", false, nil
	}, &lookups
}

// completeRecords returns records of n model requests that were answered completely.
func completeRecords(n int) []record {
	var out []record
	for i := range n {
		out = append(out, record{ID: fmt.Sprint("r", i), Kind: "review", Model: true, Outcome: "complete", Sendings: 1})
	}
	return out
}

// TestLostRequestIsPassedOver checks that requests whose records were lost with the
// killed instance, here the first two, are skipped.
func TestLostRequestIsPassedOver(t *testing.T) {
	lookUp, lookups := fakeLookup("r2", "r3")
	text, err := requestClasses[0].explain(completeRecords(5), lookUp)
	assert.NilError(t, err)
	assert.Equal(t, *lookups, 3)
	assert.Assert(t, strings.HasPrefix(text, "Why did the review r2 end as \"complete\"?\nits decisions\n"), "%s", text)
	assert.Assert(t, strings.Contains(text, "(2 before it are known by no live instance"), "%s", text)
}

// TestNothingKnownIsAFailure checks that it is an error if no record is found: the
// records of all answered requests cannot have been lost with one instance.
func TestNothingKnownIsAFailure(t *testing.T) {
	lookUp, lookups := fakeLookup()
	_, err := requestClasses[0].explain(completeRecords(2*maxLookups), lookUp)
	var unexplained *UnexplainedError
	assert.Assert(t, errors.As(err, &unexplained))
	assert.Equal(t, unexplained.Lookups, maxLookups)
	assert.Equal(t, *lookups, maxLookups)
}

// TestTroubleMayBeLost checks that missing records are reported and not an error
// where all requests of a class may have been handled by the killed instance.
func TestTroubleMayBeLost(t *testing.T) {
	lookUp, _ := fakeLookup()
	all := append(completeRecords(2), record{ID: "cut", Model: true, Outcome: "unknown", Sendings: 1})
	text, err := requestClasses[1].explain(all, lookUp)
	assert.NilError(t, err)
	assert.Assert(t, strings.HasPrefix(text, "No live instance knows the 1 requests"), "%s", text)
}

func TestNoSuchRequestSaysNothing(t *testing.T) {
	lookUp, lookups := fakeLookup()
	text, err := requestClasses[2].explain(completeRecords(2), lookUp)
	assert.NilError(t, err)
	assert.Equal(t, text, "")
	assert.Equal(t, *lookups, 0)
}

// TestAskersFailureIsPassedOn checks that the error of a lookup is returned, for
// example when wardspoolctl cannot be run.
func TestAskersFailureIsPassedOn(t *testing.T) {
	failure := errors.New("no such program")
	_, err := requestClasses[0].explain(completeRecords(1), func(string) (string, bool, error) { return "", false, failure })
	assert.ErrorIs(t, err, failure)
}
