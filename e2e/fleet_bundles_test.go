package e2e

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/wardspool/wardspool/standin/control"
	"github.com/wardspool/wardspool/testbed"
)

// restart kills an instance and starts it again.
func (b *bed) restart(in *testbed.Instance) {
	b.t.Helper()
	assert.NilError(b.t, b.KillInstance(in))
	assert.NilError(b.t, b.StartInstance(in))
	assert.NilError(b.t, b.WaitReady(b.ctx, in))
}

// setPlatformMode changes how the platform behaves.
func (b *bed) setPlatformMode(m control.PlatformMode) {
	b.t.Helper()
	assert.NilError(b.t, b.Operators.Platform.SetMode(b.ctx, m))
}

// TestBundleOverPlatformOutage verifies "No instance reverts": a rolled version
// reaches every entry and stays in force while the platform is down, and while the
// platform serves an older state. An instance that restarts in the meantime gets
// the version from its peers.
func TestBundleOverPlatformOutage(t *testing.T) {
	b := newBed(t)
	w := b.watchBundles()
	b.awaitVersion(1, b.Instances...)
	old := b.platformIndex()
	assert.Equal(t, b.roll(), uint64(2))
	b.awaitVersion(2, b.Instances...)
	b.requireAnswers(2, b.Instances...)

	t.Log("the platform is down")
	b.setPlatformMode(control.PlatformMode{Mode: control.ModeDown})
	b.requireAnswers(2, b.Instances...)
	b.restart(b.Instances[0])
	b.awaitVersion(2, b.Instances...)
	b.requireAnswers(2, b.Instances...)

	t.Log("the platform is stale")
	b.setPlatformMode(control.PlatformMode{Mode: control.ModeStale, StaleIndex: old})
	b.restart(b.Instances[1])
	b.awaitVersion(2, b.Instances...)
	b.requireAnswers(2, b.Instances...)

	t.Log("the platform is up")
	b.setPlatformMode(control.PlatformMode{Mode: control.ModeUp})
	assert.Equal(t, b.roll(), uint64(3))
	b.awaitVersion(3, b.Instances...)
	b.requireAnswers(3, b.Instances...)
	w.requireNoRevert()
}
