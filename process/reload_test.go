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

// reloads is a Reloader that records the names in the settings it receives.
type reloads struct{ names []string }

func (r *reloads) Reload(s *sample) { r.names = append(r.names, s.Name) }

// TestReload checks that changed settings are applied, that unchanged ones are not, and
// that invalid settings leave the current ones in effect.
func TestReload(t *testing.T) {
	path := file(t, "name: one")
	var out bytes.Buffer
	log := slog.New(slog.NewTextHandler(&out, nil))
	r := &reloads{}
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

// reloadable is a Reloader that sends the name in the settings it receives to a channel.
type reloadable struct {
	service
	reloaded chan string
}

func (r reloadable) Serve(ctx context.Context) error {
	<-ctx.Done()
	return nil
}

func (r reloadable) Reload(s *sample) { r.reloaded <- s.Name }

// TestHangupDuringTheStart guards against a settings change during start-up that terminated the
// process or was never applied. SIGHUP used to be handled only once the service was listening, and
// the content of the file at that time counted as applied. The fault was found by reviewing
// overlapping changes, not in operation. Without the handler, SIGHUP terminates the test process.
func TestHangupDuringTheStart(t *testing.T) {
	path := file(t, "name: one")
	r := reloadable{reloaded: make(chan string, 1)}
	p := Program[sample]{
		Log: func(s *sample) logs.Options { return s.Log },
		New: func(*sample, *slog.Logger) (Service, error) {
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
