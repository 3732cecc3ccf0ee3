//go:build race

package gateway

// raceDetector says whether the tests run under it.
const raceDetector = true
