package experiment

import (
	"context"
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/wardspool/wardspool/bundle"
	"github.com/wardspool/wardspool/load/workload"
	_ "github.com/wardspool/wardspool/plugins/standard"
)

// deployment loads one of the example deployments.
func deployment(t testing.TB, name string) *Deployment {
	t.Helper()
	dir := filepath.Join("..", "examples", name)
	source, err := os.ReadFile(filepath.Join(dir, "bundle.yaml"))
	assert.NilError(t, err)
	content, findings := bundle.ParseSource(name, source)
	assert.Equal(t, len(findings), 0, "%v", findings)
	source, err = os.ReadFile(filepath.Join(dir, "workload.yaml"))
	assert.NilError(t, err)
	spec, err := workload.Parse(source)
	assert.NilError(t, err)
	d, err := NewDeployment(content, spec)
	assert.NilError(t, err)
	return d
}

func TestDeploymentZones(t *testing.T) {
	for name, want := range map[string]string{"coastline": "hall-a", "lagos": "ikeja-hall"} {
		d := deployment(t, name)
		assert.Equal(t, len(d.Zones), 3)
		assert.Equal(t, string(d.Zones[0]), want)
		t.Logf("%s: capacity %+v", name, d.Capacity())
	}
}

func TestIdealServesAlmostAllBelowCapacity(t *testing.T) {
	for _, name := range []string{"coastline", "lagos"} {
		d := deployment(t, name)
		cell := NewCell(d, PolicyIdeal, 0.5, FaultNone, 1)
		r, err := Run(cell, d)
		assert.NilError(t, err)
		share := float64(r.Models.Good) / float64(r.Models.Offered)
		assert.Assert(t, share > 0.95, "%s: good share %.3f", name, share)
		assert.Equal(t, len(r.Violations), 0, "%v", r.Violations)
		assert.Assert(t, r.PromptWasted*100 < r.PromptComputed)
	}
}

// TestCapacityIsWhereTheIdealSaturates guards against a wrong capacity model:
// offered twice the capacity, the ideal scheduler must complete about as much as
// Capacity says. It reaches 0.86 of it for lagos, whose long prompts need many
// pieces at once, so that some memory is always left over.
func TestCapacityIsWhereTheIdealSaturates(t *testing.T) {
	for _, name := range []string{"coastline", "lagos"} {
		d := deployment(t, name)
		cell := NewCell(d, PolicyIdeal, 2, FaultNone, 1)
		cell.Duration = 40 * time.Second
		r, err := Run(cell, d)
		assert.NilError(t, err)
		k := d.Capacity()
		served := float64(r.Models.Complete) / cell.Duration.Seconds()
		t.Logf("%s: %.2f of %.2f model requests a second", name, served, k.Requests*k.ModelShare)
		ratio := served / (k.Requests * k.ModelShare)
		assert.Assert(t, ratio > 0.8 && ratio < 1.1, "%s: served/capacity %.3f", name, ratio)
	}
}

func TestUnknownNamesAreRefused(t *testing.T) {
	d := deployment(t, "lagos")
	var policyErr *PolicyError
	_, err := Run(NewCell(d, "no-such", 1, FaultNone, 1), d)
	assert.Assert(t, errors.As(err, &policyErr))
	for _, f := range []Fault{"no-such", FaultDecodeKill + "@soon", FaultDecodeKill + "+no-such"} {
		var faultErr *FaultError
		_, err = Run(NewCell(d, PolicyIdeal, 1, f, 1), d)
		assert.Assert(t, errors.As(err, &faultErr), "%s", f)
	}
}

func TestTables(t *testing.T) {
	d := deployment(t, "coastline")
	var cells []Cell
	for seed := uint64(1); seed <= 2; seed++ {
		for _, f := range []Fault{FaultNone, FaultSurge} {
			cell := NewCell(d, PolicyIdeal, 0.8, f, seed)
			cell.Duration = 30 * time.Second
			cells = append(cells, cell)
		}
	}
	calls := 0
	results, err := RunAll(context.Background(), cells, []*Deployment{d}, 2, func(int, *Result) { calls++ })
	assert.NilError(t, err)
	assert.Equal(t, calls, len(cells))

	ended, cancel := context.WithCancel(context.Background())
	cancel()
	none, err := RunAll(ended, cells, []*Deployment{d}, 2, nil)
	assert.NilError(t, err)
	assert.Equal(t, len(none), 0)

	list := Summarize(results)
	assert.Equal(t, len(list), 2)
	assert.Equal(t, list[0].Seeds, 2)
	assert.Assert(t, list[0].Goodput.Min <= list[0].Goodput.Mean && list[0].Goodput.Mean <= list[0].Goodput.Max)
	table, err := Table(list)
	assert.NilError(t, err)
	assert.Equal(t, strings.Join(table.Header, ","), "deployment,policy,load,fault,offered,goodput_share,"+
		"wasted_prefill_share,refused_share,unknown_share,first_output_p95_ms,pace_p95_ms,duplicates,leaked")
	assert.Equal(t, len(table.Rows), 2)
	spread, err := SpreadTable(list)
	assert.NilError(t, err)
	assert.Equal(t, len(spread.Rows), 2)
	kinds, err := KindTable(results)
	assert.NilError(t, err)
	assert.Equal(t, len(kinds.Rows), len(results)*len(d.Spec.Kinds))

	surges := SurgeTimelines(results)
	assert.Equal(t, len(surges), 1)
	timeline, err := SurgeTable(surges)
	assert.NilError(t, err)
	assert.Equal(t, len(timeline.Rows), 6)
	var digest strings.Builder
	assert.NilError(t, WriteDigest(&digest, list, surges))
	assert.Assert(t, strings.Contains(digest.String(), "| coastline ideal | "), digest.String())
	assert.NilError(t, SavePlots(filepath.Join(t.TempDir(), "plot"), list, surges))
}

// TestMatrixIsWhole checks that the matrix has every required combination of
// policy, load and fault for each seed.
func TestMatrixIsWhole(t *testing.T) {
	d := deployment(t, "lagos")
	have := map[group]int{}
	for _, c := range FullCells([]*Deployment{d}, 3) {
		have[c.group()]++
	}
	for _, p := range []PolicyName{PolicyNaive, "v1", PolicyCurrent, PolicyIdeal} {
		for _, load := range Loads {
			assert.Equal(t, have[group{"lagos", p, load, FaultNone}], 3)
		}
		for _, f := range append(append([]Fault{}, SingleFaults...), DoubleFaults...) {
			if p == "v1" {
				continue
			}
			assert.Equal(t, have[group{"lagos", p, 1.0, f}], 3, "%s %s", p, f)
		}
	}
	assert.Equal(t, have[group{"lagos-24", "slots.lease", 1.0, FaultInstanceKill}], 3)
}
