package gateway

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/wardspool/wardspool/gateway/dialect"
	"github.com/wardspool/wardspool/internal/bubble"
	"github.com/wardspool/wardspool/internal/clock"
)

// spendRetries has all instances spend as much of the retry budget as they may, and returns the sum.
func (w *simFleet) spendRetries() (sum int) {
	for _, i := range w.instances {
		for i.running().budget.ExtraForStream(clock.Now(), "llm", 1) {
			sum++
		}
	}
	return sum
}

// TestRetryBudgetHoldsOnBothSidesOfACut guards against instances of a zone that is cut off, and those of the other
// zones, that each spend the budget of all.
func TestRetryBudgetHoldsOnBothSidesOfACut(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		w := newSimFleet(t, 6, 3, 2, 4)
		defer w.close()
		w.partitionZone("a")
		time.Sleep(15 * time.Second)
		sum, slack := w.spendRetries(), int(w.instances[0].running().settings.Retries.Slack)
		assert.Assert(t, sum <= slack, "%d extra sends at once, %d allowed", sum, slack)
	})
}

// TestRetryBudgetHoldsWhileNoSeedAnswers guards against instances that know nobody and each spend the budget of all.
func TestRetryBudgetHoldsWhileNoSeedAnswers(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		w := newSimFleet(t, 6, 3, 2, 4)
		defer w.close()
		w.goneSeeds = 3
		w.restartAll()
		time.Sleep(5 * time.Second)
		sum, slack := w.spendRetries(), int(w.instances[0].running().settings.Retries.Slack)
		assert.Assert(t, sum <= slack, "%d extra sends at once, %d allowed", sum, slack)
	})
}

// TestLimitHoldsWhileNoSeedAnswers guards against instances that know nobody and each grant the limit of a workspace.
func TestLimitHoldsWhileNoSeedAnswers(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		b := &limitFleet{simFleet: newSimFleet(t, 6, 3, 2, 4)}
		defer b.close()
		w := limitedWorkspace(100000)
		b.goneSeeds = 3
		b.restartAll()
		b.sendLoad(b.instances, w, 8*w.Limit.Rate, 20*time.Second)
		assert.Assert(t, b.maxAllowed() <= acceptedTokens(w.Limit), "%.0f of %.0f", b.maxAllowed(), acceptedTokens(w.Limit))
	})
}

// restartWithoutSeeds kills all instances and starts those again that are no seeds.
func (w *simFleet) restartWithoutSeeds() {
	for _, i := range w.instances {
		i.kill()
	}
	for _, i := range w.instances[3:] {
		i.start()
	}
}

// TestLimitIsUsedAgainWhenSeedsReturn guards against instances that grant the limit of a workspace several times while
// no seed runs, and against instances that leave it unused once a seed runs again.
func TestLimitIsUsedAgainWhenSeedsReturn(t *testing.T) {
	for _, size := range []int{9, 60} {
		for returning := 1; returning <= 3; returning++ {
			t.Run(fmt.Sprintf("%d, seeds that return %d", size, returning), func(t *testing.T) {
				if raceDetector && size > 9 {
					t.Skip("a synctest bubble runs on one processor only")
				}
				bubble.Test(t, func(t *testing.T) {
					b := &limitFleet{simFleet: newSimFleet(t, size, 3, 2, 4)}
					defer b.close()
					w := limitedWorkspace(100000)
					b.restartWithoutSeeds()
					b.sendLoad(b.instances, w, 8*w.Limit.Rate, 12*time.Second)
					for _, i := range b.instances[:returning] {
						i.start()
					}
					b.sendLoad(b.instances, w, 8*w.Limit.Rate, 4*time.Second)
					_, granted := b.sendLoad(b.instances, w, 8*w.Limit.Rate, 10*time.Second)
					assert.Check(t, b.maxAllowed() <= acceptedTokens(w.Limit), "%.0f of %.0f", b.maxAllowed(), acceptedTokens(w.Limit))
					assert.Check(t, granted >= 9*w.Limit.Rate, "%.0f of %.0f", granted, 10*w.Limit.Rate)
				})
			})
		}
	}
}

// TestLimitHoldsInZonesThatStartCutOff guards against instances that start on both sides of a cut and each grant the
// share of their zone.
func TestLimitHoldsInZonesThatStartCutOff(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		b := &limitFleet{simFleet: newSimFleet(t, 9, 3, 2, 4)}
		defer b.close()
		w := limitedWorkspace(100000)
		b.partitionZone("a")
		b.restartAll()
		b.sendLoad(b.instances, w, 8*w.Limit.Rate, 10*time.Second)
		b.partitionZone("")
		b.sendLoad(b.instances, w, 8*w.Limit.Rate, 4*time.Second)
		_, granted := b.sendLoad(b.instances, w, 8*w.Limit.Rate, 10*time.Second)
		assert.Check(t, b.maxAllowed() <= acceptedTokens(w.Limit), "%.0f of %.0f", b.maxAllowed(), acceptedTokens(w.Limit))
		assert.Check(t, granted >= 9*w.Limit.Rate, "%.0f of %.0f", granted, 10*w.Limit.Rate)
	})
}

// TestLimitIsUsedFromTheStart guards against instances that start together and refuse what the limit of a workspace
// allows while they look for each other.
func TestLimitIsUsedFromTheStart(t *testing.T) {
	runLimitTest(t, func(t *testing.T, b *limitFleet) {
		w := limitedWorkspace(100000)
		b.restartAll()
		_, granted := b.sendLoad(b.instances, w, 8*w.Limit.Rate, 4*time.Second)
		assert.Check(t, granted >= 0.95*4*w.Limit.Rate, "%.0f of %.0f", granted, 4*w.Limit.Rate)
	})
}

// TestRateLimitHoldsWhileNoSeedAnswers guards against instances that know nobody and each grant the rate that an
// upstream accepts.
func TestRateLimitHoldsWhileNoSeedAnswers(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		f := &rateFleet{simFleet: newSimFleet(t, 6, 3, 2, 4), upstream: dialect.Upstream{ID: "u", Incarnation: 1, Zone: "b"}}
		defer f.close()
		f.goneSeeds = 3
		f.restartAll()
		f.sendLoad(f.instances, 6*rateLimit, 20*time.Second)
		f.checkWorst(t, "no seed answers")
	})
}
