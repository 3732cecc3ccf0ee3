package main

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"time"

	"github.com/wardspool/wardspool/ident"
	"github.com/wardspool/wardspool/testbed"
)

// rollVersions publishes and rolls out versions and returns the time at which each
// was published.
func rollVersions(ctx context.Context, fleet *testbed.Fleet, f flags) (map[uint64]time.Time, error) {
	published := map[uint64]time.Time{}
	for n := range f.Rolls {
		content := *fleet.Deployment.Content
		content.Workspaces = slices.Clone(content.Workspaces)
		content.Workspaces[len(content.Workspaces)/2].Weight += float64(n + 1)
		if err := fleet.Operators.Publish(ctx, &content); err != nil {
			return nil, err
		}
		published[fleet.Operators.Version()] = time.Now()
		if err := fleet.Operators.RollAll(ctx); err != nil {
			return nil, err
		}
		if err := sleep(ctx, f.Every); err != nil {
			return nil, err
		}
	}
	return published, nil
}

// sleep waits for a duration; it returns the context's error if that is done first.
func sleep(ctx context.Context, d time.Duration) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(d):
		return nil
	}
}

// inForceLine is the entry's log line about a version that has come into force.
type inForceLine struct {
	Time    time.Time `json:"time"`
	Message string    `json:"msg"`
	Version uint64    `json:"bundle_version"`
}

// readLog returns the log lines about versions that came into force on an instance,
// in the order of its log.
func readLog(dir string, id ident.InstanceID) ([]inForceLine, error) {
	file, err := os.Open(filepath.Join(dir, "logs", string(id)+".log"))
	if err != nil {
		return nil, err
	}
	defer func() { _ = file.Close() }()
	var list []inForceLine
	lines := bufio.NewScanner(file)
	for lines.Scan() {
		var l inForceLine
		if json.Unmarshal(lines.Bytes(), &l) == nil && l.Message == "bundle in force" {
			list = append(list, l)
		}
	}
	return list, lines.Err()
}

// printTimes prints quantiles, over all versions and instances, of the time from
// publication until a version was in force, and the numbers of missing versions and
// of reversions to an older version.
func printTimes(fleet *testbed.Fleet, published map[uint64]time.Time) error {
	var took []time.Duration
	missing, reverted := 0, 0
	for _, in := range fleet.Instances {
		lines, err := readLog(fleet.Dir(), in.ID)
		if err != nil {
			return err
		}
		seen := map[uint64]bool{}
		last := uint64(0)
		for _, l := range lines {
			if l.Version < last {
				reverted++
			}
			last = max(last, l.Version)
			if at, ok := published[l.Version]; ok {
				seen[l.Version] = true
				took = append(took, l.Time.Sub(at))
			}
		}
		missing += len(published) - len(seen)
	}
	slices.Sort(took)
	fmt.Printf("instances %d, versions %d, missing %d, reverted %d\n", len(fleet.Instances), len(published), missing, reverted)
	if len(took) == 0 {
		return nil
	}
	at := func(share float64) time.Duration {
		return took[min(int(share*float64(len(took))), len(took)-1)].Round(time.Millisecond)
	}
	fmt.Printf("in force after: p50 %v, p95 %v, p99 %v, last %v\n", at(0.5), at(0.95), at(0.99), at(1))
	return nil
}
