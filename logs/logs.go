// Package logs configures structured logging for wardspool's programs.
package logs

import (
	"fmt"
	"io"
	"log/slog"
)

// Format is the output format of the log.
type Format string

// Supported formats.
const (
	// JSON writes one JSON object per line.
	JSON Format = "json"
	// Text writes key=value pairs.
	Text Format = "text"
)

// Options are the log settings of a program.
type Options struct {
	// Level is debug, info, warn or error.
	Level string `yaml:"level"`
	// Format is json or text.
	Format Format `yaml:"format"`
}

// OptionError reports a log setting with an unsupported value.
type OptionError struct {
	// Field is "level" or "format".
	Field string
	Value string
}

// Error implements error.
func (e *OptionError) Error() string { return fmt.Sprintf("log %s %q is not known", e.Field, e.Value) }

// New returns a logger that writes to w. The default level is info and the
// default format is json. The error is an *OptionError.
func New(w io.Writer, o Options) (*slog.Logger, error) {
	level := slog.LevelInfo
	if o.Level != "" {
		if err := level.UnmarshalText([]byte(o.Level)); err != nil {
			return nil, &OptionError{Field: "level", Value: o.Level}
		}
	}
	options := &slog.HandlerOptions{Level: level}
	switch o.Format {
	case "", JSON:
		return slog.New(slog.NewJSONHandler(w, options)), nil
	case Text:
		return slog.New(slog.NewTextHandler(w, options)), nil
	default:
		return nil, &OptionError{Field: "format", Value: string(o.Format)}
	}
}

// ErrorText returns the message of an error for use as a log attribute, or an
// empty string if err is nil.
func ErrorText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}
