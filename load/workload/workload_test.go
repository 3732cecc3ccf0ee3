package workload

import (
	"errors"
	"os"
	"path/filepath"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/wardspool/wardspool/bundle"
	"github.com/wardspool/wardspool/config"
	"github.com/wardspool/wardspool/tokens"
)

func example(t *testing.T, deployment string) *Spec {
	t.Helper()
	source, err := os.ReadFile(filepath.Join("..", "..", "examples", deployment, "workload.yaml"))
	assert.NilError(t, err)
	spec, err := Parse(source)
	assert.NilError(t, err)
	return spec
}

func exampleBundle(t *testing.T, deployment string) *config.Content {
	t.Helper()
	source, err := os.ReadFile(filepath.Join("..", "..", "examples", deployment, "bundle.yaml"))
	assert.NilError(t, err)
	content, findings := bundle.ParseSource(deployment, source)
	assert.Equal(t, len(findings), 0, "%v", findings)
	return content
}

func TestExamplesAgreeWithTheirBundles(t *testing.T) {
	for _, deployment := range []string{"coastline", "lagos"} {
		spec, content := example(t, deployment), exampleBundle(t, deployment)
		assert.Equal(t, spec.Deployment, content.Deployment)
		declared := map[string]config.Kind{}
		for _, k := range content.Kinds {
			declared[k.Name] = k
		}
		assert.Equal(t, len(spec.Kinds), len(declared))
		for _, k := range spec.Kinds {
			d := declared[k.Name]
			assert.Equal(t, k.Route(), d.Route, k.Name)
			assert.Equal(t, k.Repeatable, d.Repeatable, k.Name)
			assert.Equal(t, k.Deadline, d.Deadline, k.Name)
			assert.Equal(t, k.Pace, d.Pace, k.Name)
			if d.FirstOutput > 0 {
				assert.Equal(t, k.FirstOutput, d.FirstOutput, k.Name)
			}
		}
	}
}

func TestParseRefuses(t *testing.T) {
	const good = `
workspaces: [{name: w, share: 1}]
kinds: [{name: k, share: 1, service: s, deadline: 1s}]
`
	_, err := Parse([]byte(good))
	assert.NilError(t, err)
	for name, source := range map[string]string{
		"no workspaces":  "kinds: [{name: k, share: 1, service: s, deadline: 1s}]",
		"no kinds":       "workspaces: [{name: w, share: 1}]",
		"model+service":  "workspaces: [{name: w}]\nkinds: [{name: k, share: 1, service: s, model: m, deadline: 1s}]",
		"no deadline":    "workspaces: [{name: w}]\nkinds: [{name: k, share: 1, service: s}]",
		"no pace":        "workspaces: [{name: w}]\nkinds: [{name: k, share: 1, model: m, deadline: 1s, first_output: 1s}]",
		"no lengths":     "workspaces: [{name: w}]\nkinds: [{name: k, share: 1, model: m, deadline: 1s, first_output: 1s, pace: 1s}]",
		"too bursty":     good + "bursts: {factor: 9, \"on\": 1s, \"off\": 1s}",
		"bursts no time": good + "bursts: {factor: 2}",
	} {
		_, err := Parse([]byte(source))
		var specErr *SpecError
		assert.Assert(t, errors.As(err, &specErr), "%s: %v", name, err)
	}
	_, err = Parse([]byte(good + "unknown_field: 1"))
	assert.Assert(t, err != nil)
}

func TestGeneratorIsSeeded(t *testing.T) {
	spec := example(t, "lagos")
	a, b, c := NewGenerator(spec, 20, 1), NewGenerator(spec, 20, 1), NewGenerator(spec, 20, 2)
	same := 0
	for range 100 {
		x, y, z := a.Next(), b.Next(), c.Next()
		assert.DeepEqual(t, x, y)
		if x.At == z.At {
			same++
		}
	}
	assert.Equal(t, same, 0)
}

func TestGeneratorMeans(t *testing.T) {
	const (
		n    = 40_000
		rate = 25.0
	)
	for _, deployment := range []string{"coastline", "lagos"} {
		spec := example(t, deployment)
		g := NewGenerator(spec, rate, 3)
		counts := map[string]int{}
		var prompts, outputs, models float64
		var last Arrival
		for range n {
			last = g.Next()
			counts[last.Kind.Name]++
			if last.Kind.Model != "" {
				models++
				prompts += float64(last.PromptTokens)
				outputs += float64(last.OutputTokens)
			}
		}
		got := n / last.At.Seconds()
		assert.Assert(t, got > rate*0.9 && got < rate*1.1, "%s: rate %.2f", deployment, got)
		for _, k := range spec.Kinds {
			share := float64(counts[k.Name]) / n
			assert.Assert(t, share > k.Share*0.95 && share < k.Share*1.05, "%s: share %.3f", k.Name, share)
		}
		t.Logf("%s: mean prompt %.0f, mean output %.0f tokens", deployment, prompts/models, outputs/models)
	}
}

func TestFamiliesShareTheirPrefixOnly(t *testing.T) {
	kind := &Kind{Name: "k", Families: Families{Count: 1, Prefix: 4000, Share: 1}}
	a := &Arrival{Kind: kind, Number: 1, PromptTokens: 7000, Family: 0, Seed: 11}
	b := &Arrival{Kind: kind, Number: 2, PromptTokens: 9000, Family: 0, Seed: 12}
	own := &Arrival{Kind: kind, Number: 3, PromptTokens: 7000, Family: NoFamily, Seed: 13}

	assert.Equal(t, tokens.Count(a.Prompt()), 7000)
	textual := [][]tokens.BlockHash{
		tokens.BlockHashes(a.Prompt(), tokens.PieceTokens),
		tokens.BlockHashes(b.Prompt(), tokens.PieceTokens),
		tokens.BlockHashes(own.Prompt(), tokens.PieceTokens),
	}
	synthetic := [][]uint64{a.BlockHashes(tokens.PieceTokens), b.BlockHashes(tokens.PieceTokens), own.BlockHashes(tokens.PieceTokens)}
	for i := range textual {
		assert.Equal(t, len(textual[i]), len(synthetic[i]))
	}
	assert.Equal(t, commonPrefix(textual[0], textual[1]), 2)
	assert.Equal(t, commonPrefix(synthetic[0], synthetic[1]), 2)
	assert.Equal(t, commonPrefix(textual[0], textual[2]), 0)
	assert.Equal(t, commonPrefix(synthetic[0], synthetic[2]), 0)
}

// commonPrefix returns the length of the common prefix of two slices.
func commonPrefix[T comparable](x, y []T) int {
	n := 0
	for n < min(len(x), len(y)) && x[n] == y[n] {
		n++
	}
	return n
}

func TestCancelsFallWithinTheExpectedAnswer(t *testing.T) {
	spec := example(t, "coastline")
	g := NewGenerator(spec, 20, 5)
	cancelled := 0
	for range 5000 {
		a := g.Next()
		if a.CancelAfter == 0 {
			continue
		}
		cancelled++
		assert.Assert(t, a.CancelAfter <= a.Kind.expectedDuration(a.OutputTokens)+time.Nanosecond)
	}
	assert.Assert(t, cancelled > 0)
}
