package settings

import (
	"fmt"
	"strings"
	"time"

	"github.com/goccy/go-yaml"
)

// DurationError reports a value that is not a duration.
type DurationError struct{ Text string }

// Error implements error.
func (e *DurationError) Error() string { return fmt.Sprintf("%q is not a time", e.Text) }

// adviceDuration is the advice text for an invalid duration.
const adviceDuration = "give a number and a unit, for example 500ms, 2s or 5m"

// decodeOptions returns the options for strict decoding. Durations must have a unit,
// since a bare number would be read as nanoseconds.
func decodeOptions() []yaml.DecodeOption {
	return []yaml.DecodeOption{
		yaml.Strict(),
		yaml.CustomUnmarshaler(func(into *time.Duration, text []byte) error {
			plain := strings.Trim(strings.TrimSpace(string(text)), `"'`)
			d, err := time.ParseDuration(plain)
			if err != nil {
				return &DurationError{Text: plain}
			}
			*into = d
			return nil
		}),
	}
}
