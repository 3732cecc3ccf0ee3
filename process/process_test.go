package process

import (
	"bytes"
	"context"
	"errors"
	"log/slog"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/wardspool/wardspool/logs"
)

// sample is the settings type of the program under test.
type sample struct {
	Name string       `yaml:"name"`
	Log  logs.Options `yaml:"log"`
}

// service is a Service whose methods return the given errors.
type service struct{ listen, serve error }

func (s service) Listen() error               { return s.listen }
func (s service) Serve(context.Context) error { return s.serve }

var (
	errListen = errors.New("no address")
	errCut    = errors.New("cut off")
)

// program returns a program that runs s; New fails with made.
func program(s service, made error) Program[sample] {
	return Program[sample]{
		Log: func(s *sample) logs.Options { return s.Log },
		New: func(*sample, *slog.Logger) (Service, error) { return s, made },
	}
}

// file writes a settings file and returns its path.
func file(t *testing.T, text string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "s.yaml")
	assert.NilError(t, os.WriteFile(path, []byte(text), 0o600))
	return path
}

// TestRun checks the exit code and the output for each way in which a program ends.
func TestRun(t *testing.T) {
	withCode := program(service{serve: errCut}, nil)
	withCode.Failed = func(error) ExitCode { return 3 }
	for name, c := range map[string]struct {
		program    Program[sample]
		text, says string
		want       ExitCode
	}{
		"stopped":        {program(service{}, nil), "name: n", "", ExitOK},
		"bad settings":   {program(service{}, nil), "nmae: n", "s.yaml:1:1: nmae: unknown field", ExitSettings},
		"bad log":        {program(service{}, nil), "log: {level: loud}", `"loud" is not known`, ExitSettings},
		"can't be made":  {program(service{}, errListen), "name: n", "no address", ExitFailed},
		"no address":     {program(service{listen: errListen}, nil), "name: n", "no address", ExitFailed},
		"failed":         {program(service{serve: errCut}, nil), "name: n", "cut off", ExitFailed},
		"own exit codes": {withCode, "name: n", "cut off", 3},
	} {
		t.Run(name, func(t *testing.T) {
			var errs bytes.Buffer
			assert.Equal(t, c.program.run(t.Context(), file(t, c.text), nil, &errs), c.want)
			assert.Assert(t, strings.Contains(errs.String(), c.says), "%s", errs.String())
		})
	}
}

// TestCheck checks the exit code and the output of --check.
func TestCheck(t *testing.T) {
	var out bytes.Buffer
	good := file(t, "name: n")
	assert.Equal(t, program(service{}, nil).check(good, &out), ExitOK)
	assert.Equal(t, out.String(), good+": good\n")
	out.Reset()
	assert.Equal(t, program(service{}, nil).check(file(t, "nmae: n"), &out), ExitFailed)
	assert.Assert(t, strings.Contains(out.String(), "unknown field"))
}
