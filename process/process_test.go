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

// testSettings is the settings type of the program under test.
type testSettings struct {
	Name string       `yaml:"name"`
	Log  logs.Options `yaml:"log"`
}

// fakeService is a Service whose methods return the given errors.
type fakeService struct{ listen, serve error }

func (s fakeService) Listen() error               { return s.listen }
func (s fakeService) Serve(context.Context) error { return s.serve }

var (
	errListen = errors.New("no address")
	errServe  = errors.New("cut off")
)

// newProgram returns a program that runs s; New fails with newErr.
func newProgram(s fakeService, newErr error) Program[testSettings] {
	return Program[testSettings]{
		LogOptions: func(s *testSettings) logs.Options { return s.Log },
		New:        func(*testSettings, *slog.Logger) (Service, error) { return s, newErr },
	}
}

// writeSettings writes a settings file and returns its path.
func writeSettings(t *testing.T, text string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "s.yaml")
	assert.NilError(t, os.WriteFile(path, []byte(text), 0o600))
	return path
}

// TestRun checks the exit code and the output for each way in which a program ends.
func TestRun(t *testing.T) {
	withCode := newProgram(fakeService{serve: errServe}, nil)
	withCode.ExitCodeFor = func(error) ExitCode { return 3 }
	for name, c := range map[string]struct {
		program    Program[testSettings]
		text, says string
		want       ExitCode
	}{
		"stopped":        {newProgram(fakeService{}, nil), "name: n", "", ExitOK},
		"bad settings":   {newProgram(fakeService{}, nil), "nmae: n", "s.yaml:1:1: nmae: unknown field", ExitSettings},
		"bad log":        {newProgram(fakeService{}, nil), "log: {level: loud}", `"loud" is not known`, ExitSettings},
		"can't be made":  {newProgram(fakeService{}, errListen), "name: n", "no address", ExitFailed},
		"no address":     {newProgram(fakeService{listen: errListen}, nil), "name: n", "no address", ExitFailed},
		"failed":         {newProgram(fakeService{serve: errServe}, nil), "name: n", "cut off", ExitFailed},
		"own exit codes": {withCode, "name: n", "cut off", 3},
	} {
		t.Run(name, func(t *testing.T) {
			var errOut bytes.Buffer
			assert.Equal(t, c.program.run(t.Context(), writeSettings(t, c.text), nil, &errOut), c.want)
			assert.Assert(t, strings.Contains(errOut.String(), c.says), "%s", errOut.String())
		})
	}
}

// TestCheck checks the exit code and the output of --check.
func TestCheck(t *testing.T) {
	var out bytes.Buffer
	good := writeSettings(t, "name: n")
	assert.Equal(t, newProgram(fakeService{}, nil).check(good, &out), ExitOK)
	assert.Equal(t, out.String(), good+": good\n")
	out.Reset()
	assert.Equal(t, newProgram(fakeService{}, nil).check(writeSettings(t, "nmae: n"), &out), ExitFailed)
	assert.Assert(t, strings.Contains(out.String(), "unknown field"))
}
