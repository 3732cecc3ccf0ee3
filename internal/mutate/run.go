package main

import (
	"context"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"

	"golang.org/x/sync/errgroup"
)

// Result is the result of testing one mutation.
type Result struct {
	Mutation Mutation
	// Detected is true if the test failed, that is, the mutation was detected.
	Detected bool
	// Built is false if the mutated code did not compile; its failure does not count
	// as a detection then.
	Built bool
	// FailureLine is the first line of the test output that describes the failure.
	FailureLine string
}

// testAll tests the mutations in parallel, with one copy of the module for each worker.
func testAll(ctx context.Context, list []Mutation, workers int) ([]Result, error) {
	results := make([]Result, len(list))
	work := make(chan int)
	group, ctx := errgroup.WithContext(ctx)
	for range workers {
		group.Go(func() error { return worker(ctx, list, work, results) })
	}
	group.Go(func() error {
		defer close(work)
		for i := range list {
			select {
			case work <- i:
			case <-ctx.Done():
				return ctx.Err()
			}
		}
		return nil
	})
	return results, group.Wait()
}

// worker tests the mutations received from work on its own copy of the module.
func worker(ctx context.Context, list []Mutation, work <-chan int, results []Result) error {
	dir, err := os.MkdirTemp("", "wardspool-mutate-")
	if err != nil {
		return &FileError{Path: "temporary directory", Err: err}
	}
	defer func() { _ = os.RemoveAll(dir) }()
	if err := copyModule(ctx, dir); err != nil {
		return err
	}
	for i := range work {
		r, err := testOne(ctx, dir, list[i])
		if err != nil {
			return err
		}
		results[i] = r
		fmt.Fprintf(os.Stderr, "%-9s %s\n", verdict(r), r.Mutation.Name)
	}
	return nil
}

// copyModule copies to dir the files that git tracks and the untracked files that are not
// ignored.
func copyModule(ctx context.Context, dir string) error {
	out, err := exec.CommandContext(ctx, "git", "ls-files", "-co", "--exclude-standard").Output()
	if err != nil {
		return &FileError{Path: "git ls-files", Err: err}
	}
	for _, path := range strings.Split(strings.TrimSpace(string(out)), "\n") {
		b, err := os.ReadFile(path)
		if os.IsNotExist(err) {
			continue
		}
		if err != nil {
			return &FileError{Path: path, Err: err}
		}
		to := filepath.Join(dir, path)
		if err := os.MkdirAll(filepath.Dir(to), 0o755); err != nil {
			return &FileError{Path: to, Err: err}
		}
		if err := os.WriteFile(to, b, 0o755); err != nil {
			return &FileError{Path: to, Err: err}
		}
	}
	return nil
}

// testOne applies a mutation to the copy in dir, runs its test and reverts it.
func testOne(ctx context.Context, dir string, m Mutation) (Result, error) {
	path := filepath.Join(dir, m.File)
	original, err := os.ReadFile(path)
	if err != nil {
		return Result{}, &FileError{Path: m.File, Err: err}
	}
	if n := strings.Count(string(original), m.Find); n != 1 {
		return Result{}, &StaleError{Mutation: m.Name, File: m.File, Count: n}
	}
	mutated := strings.Replace(string(original), m.Find, m.Replace, 1)
	if err := os.WriteFile(path, []byte(mutated), 0o644); err != nil {
		return Result{}, &FileError{Path: m.File, Err: err}
	}
	r := goTest(ctx, dir, m)
	// Remove the failure cases that rapid saved: replaying them could detect the next
	// mutation.
	if err := os.RemoveAll(filepath.Join(dir, m.Package, "testdata", "rapid")); err != nil {
		return Result{}, &FileError{Path: m.Package, Err: err}
	}
	if err := os.WriteFile(path, original, 0o644); err != nil {
		return Result{}, &FileError{Path: m.File, Err: err}
	}
	return r, nil
}

// goTest runs the test of a mutation in dir.
func goTest(ctx context.Context, dir string, m Mutation) Result {
	args := append([]string{"test", "-count=1", "-timeout=60s", "-run", m.Run, m.Package}, m.Args...)
	cmd := exec.CommandContext(ctx, "go", args...)
	cmd.Dir = dir
	out, err := cmd.CombinedOutput()
	text := string(out)
	return Result{
		Mutation:    m,
		Detected:    err != nil,
		Built:       !strings.Contains(text, "[build failed]") && !strings.Contains(text, "[setup failed]"),
		FailureLine: failureLine(text),
	}
}

// failureLine returns the first line of a test's output that has a source position in a
// test file.
func failureLine(out string) string {
	lines := strings.Split(out, "\n")
	for i, l := range lines {
		l = strings.TrimSpace(l)
		if strings.HasPrefix(l, "--- FAIL") && i+1 < len(lines) {
			continue
		}
		if strings.Contains(l, "_test.go:") {
			return l
		}
	}
	return ""
}
