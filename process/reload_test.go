package process

import (
	"bytes"
	"log/slog"
	"os"
	"testing"

	"gotest.tools/v3/assert"
)

// reloads records the settings that it is given.
type reloads struct{ names []string }

func (r *reloads) Reload(s *sample) { r.names = append(r.names, s.Name) }

// TestReload: changed settings are taken in, unchanged ones aren't, and settings at
// fault leave those in force.
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
