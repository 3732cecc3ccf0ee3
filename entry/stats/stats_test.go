package stats

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/wardspool/wardspool/api"
	"github.com/wardspool/wardspool/entry/driver"
	"github.com/wardspool/wardspool/kernel"
)

// TestSum checks the counts of single instances and their sum.
func TestSum(t *testing.T) {
	a, b := New(), New()
	a.Ended(driver.Summary{Kind: "review", BundleVersion: 1, Outcome: api.Complete, OnTime: true, Tokens: 5, PrefillTokens: 10, WastedTokens: 4})
	a.Ended(driver.Summary{Kind: "review", BundleVersion: 1, Outcome: api.Unknown})
	a.Ended(driver.Summary{Kind: "lookup", BundleVersion: 2, Outcome: api.NotRun})
	a.Decided(&kernel.Record{Step: kernel.StepRefused, Reason: kernel.ReasonQueueFull, BundleVersion: 2})
	a.Decided(&kernel.Record{Step: kernel.StepPlaced, Reason: kernel.ReasonBest, BundleVersion: 2})
	b.Ended(driver.Summary{Kind: "review", BundleVersion: 1, Outcome: api.Complete, Tokens: 1})
	b.Decided(&kernel.Record{Step: kernel.StepRefused, Reason: kernel.ReasonQueueFull, BundleVersion: 2})
	assert.DeepEqual(t, Sum(a.Versions(), b.Versions()), []Version{
		{Version: 1, Kinds: []Kind{{Kind: "review", Offered: 3, OnTime: 1, Complete: 2, Unknown: 1, Tokens: 6}}, PrefillTokens: 10, WastedTokens: 4},
		{Version: 2, Kinds: []Kind{{Kind: "lookup", Offered: 1, NotRun: 1}}, Refusals: []Refusal{{Step: kernel.StepRefused, Reason: kernel.ReasonQueueFull, Count: 2}}},
	})
}

// TestOldVersionsAreDropped checks that only the newest maxVersions versions are kept.
func TestOldVersionsAreDropped(t *testing.T) {
	a := New()
	for v := range uint64(maxVersions + 3) {
		a.Ended(driver.Summary{Kind: "review", BundleVersion: v + 1})
	}
	got := a.Versions()
	assert.Equal(t, len(got), maxVersions)
	assert.Equal(t, got[0].Version, uint64(4))
}
