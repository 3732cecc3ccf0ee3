package agent

import (
	"os"
	"path/filepath"

	"github.com/wardspool/wardspool/bundle"
	"github.com/wardspool/wardspool/bundle/ledger"
	"github.com/wardspool/wardspool/configservice"
)

// fromPreload names the preloaded bundle to the ledger.
var fromPreload = ledger.Source{Kind: ledger.SourcePreload}

// loadPreload gives the ledger the bundle and roll of the preload folder, which
// has the keys of the platform as its files.
func (a *Agent) loadPreload() {
	dir := a.settings.Preload
	if dir == "" {
		return
	}
	if b, ok := a.readPreload(configservice.KeyRoll); ok {
		a.takeRoll(fromPreload, a.now, b)
	}
	files, err := filepath.Glob(filepath.Join(dir, filepath.FromSlash(configservice.KeyBundleParts), "*"))
	if err != nil {
		a.log.Warn("preload not read", "error", err)
		return
	}
	var parts []bundle.Part
	for _, file := range files {
		d, err := bundle.ParseDigest(filepath.Base(file))
		if err != nil {
			continue
		}
		if b, ok := a.readPreload(configservice.KeyBundleParts + filepath.Base(file)); ok {
			parts = append(parts, bundle.Part{Digest: d, Bytes: b})
		}
	}
	a.takeParts(fromPreload, parts)
}

// readPreload reads the file of a key.
func (a *Agent) readPreload(key string) ([]byte, bool) {
	b, err := os.ReadFile(filepath.Join(a.settings.Preload, filepath.FromSlash(key)))
	if err != nil {
		a.log.Warn("preload not read", "key", key, "error", err)
		return nil, false
	}
	return b, true
}
