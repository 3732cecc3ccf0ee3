//go:build !race

package bubble

// limitProcs is a no-op without the race detector.
func limitProcs() (restore func()) { return func() {} }
