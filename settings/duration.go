package settings

import (
	"fmt"
	"strings"
	"time"

	"github.com/goccy/go-yaml"
)

// DurationError reports a time that is not written as one.
type DurationError struct{ Text string }

// Error implements error.
func (e *DurationError) Error() string { return fmt.Sprintf("%q is not a time", e.Text) }

// adviceDuration shows what a time looks like.
const adviceDuration = "give a number and a unit, for example 500ms, 2s or 5m"

// options make decoding strict. Times need a unit: a bare number would be taken
// for nanoseconds.
func options() []yaml.DecodeOption {
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
