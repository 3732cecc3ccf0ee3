package process

import (
	"bytes"
	"context"
	"log/slog"
	"os"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/wardspool/wardspool/logs"
)

// recordingReloader is a Reloader that records the names in the settings it receives.
type recordingReloader struct{ names []string }

func (r *recordingReloader) Reload(s *testSettings) { r.names = append(r.names, s.Name) }

// TestReload checks that changed settings are applied, that unchanged ones are not, and
// that invalid settings leave the current ones in effect.
func TestReload(t *testing.T) {
	path := writeSettings(t, "name: one")
	var out bytes.Buffer
	log := slog.New(slog.NewTextHandler(&out, nil))
	r := &recordingReloader{}
	last := reload(path, []byte("name: one"), false, r, log)
	assert.Equal(t, len(r.names), 0)
	assert.NilError(t, os.WriteFile(path, []byte("name: two"), 0o600))
	last = reload(path, last, false, r, log)
	assert.NilError(t, os.WriteFile(path, []byte("nmae: three"), 0o600))
	last = reload(path, last, true, r, log)
	assert.NilError(t, os.WriteFile(path, []byte("name: four"), 0o600))
	reload(path, last, true, r, log)
	assert.DeepEqual(t, r.names, []string{"two", "four"})
	assert.Assert(t, bytes.Contains(out.Bytes(), []byte("those in force stay")))
}

// reloadableService is a Reloader that sends the name in the settings it receives to a channel.
type reloadableService struct {
	fakeService
	reloaded chan string
}

func (r reloadableService) Serve(ctx context.Context) error {
	<-ctx.Done()
	return nil
}

func (r reloadableService) Reload(s *testSettings) { r.reloaded <- s.Name }

// TestHangupDuringTheStart guards against a settings change during start-up that terminated the
// process or was never applied. SIGHUP used to be handled only once the service was listening, and
// the content of the file at that time counted as applied. The fault was found by reviewing
// overlapping changes, not in operation. Without the handler, SIGHUP terminates the test process.
func TestHangupDuringTheStart(t *testing.T) {
	path := writeSettings(t, "name: one")
	r := reloadableService{reloaded: make(chan string, 1)}
	p := Program[testSettings]{
		LogOptions: func(s *testSettings) logs.Options { return s.Log },
		New: func(*testSettings, *slog.Logger) (Service, error) {
			assert.NilError(t, os.WriteFile(path, []byte("name: two"), 0o600))
			return r, syscall.Kill(os.Getpid(), syscall.SIGHUP)
		},
	}
	ctx, stop := context.WithTimeout(t.Context(), time.Minute)
	defer stop()
	ended := make(chan ExitCode)
	hangups := watchHangups()
	go func() { ended <- p.run(ctx, path, hangups, &bytes.Buffer{}) }()
	assert.Equal(t, <-r.reloaded, "two")
	stop()
	assert.Equal(t, <-ended, ExitOK)
}
