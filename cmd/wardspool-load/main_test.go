package main

import (
	"context"
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/alecthomas/kong"
	"gotest.tools/v3/assert"

	"github.com/wardspool/wardspool/load/referee"
)

// parse parses a command line and runs its subcommand.
func parse(t *testing.T, args ...string) error {
	t.Helper()
	var c cli
	parser, err := kong.New(&c, kong.Name("wardspool-load"), kong.Vars{"version": "test"})
	assert.NilError(t, err)
	ctx, err := parser.Parse(args)
	assert.NilError(t, err)
	ctx.BindTo(context.Background(), (*context.Context)(nil))
	return ctx.Run()
}

// TestExperimentWritesItsFiles checks that the CSV files, the digest and the plots
// are written, with a row for each cell.
func TestExperimentWritesItsFiles(t *testing.T) {
	out := t.TempDir()
	assert.NilError(t, parse(t, "experiment", "--examples", filepath.Join("..", "..", "examples"), "--out", out,
		"--only", "coastline", "--policy", "ideal,current", "--load", "0.5,1.0", "--seeds", "1", "--length", "10s"))
	for _, name := range []string{
		"experiment.csv", "experiment-spread.csv", "experiment-kinds.csv", "experiment-surge.csv",
		"experiment.md", "experiment.svg", "experiment.png",
	} {
		info, err := os.Stat(filepath.Join(out, name))
		assert.NilError(t, err)
		assert.Assert(t, info.Size() > 0, name)
	}
	data, err := os.ReadFile(filepath.Join(out, "experiment.csv"))
	assert.NilError(t, err)
	assert.Equal(t, len(strings.Split(strings.TrimSpace(string(data)), "\n")), 5)
}

// TestExperimentSaysWhatItLeftOut checks that a run that exhausts its time budget
// is reported as partial.
func TestExperimentSaysWhatItLeftOut(t *testing.T) {
	err := parse(t, "experiment", "--examples", filepath.Join("..", "..", "examples"), "--quick", "--budget", "1ns")
	var partial *PartialError
	assert.Assert(t, errors.As(err, &partial), "%v", err)
	assert.Equal(t, partial.Ran, 0)
}

// TestBrokenPromisesAreErrors checks that the error counts the violations.
func TestBrokenPromisesAreErrors(t *testing.T) {
	err := &GuaranteeError{Verdict: &referee.Verdict{Duplicates: []string{"r1"}}}
	assert.ErrorContains(t, err, "1 duplicates")
}
