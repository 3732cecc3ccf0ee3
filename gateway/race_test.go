//go:build race

package gateway

// raceDetector reports whether the tests run with the race detector.
const raceDetector = true
