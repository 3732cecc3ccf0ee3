package agent

import (
	"os"
	"path/filepath"

	"github.com/wardspool/wardspool/bundle"
	"github.com/wardspool/wardspool/bundle/ledger"
	"github.com/wardspool/wardspool/configservice"
)

// preloadSource is the ledger's source for the preloaded bundle.
var preloadSource = ledger.Source{Kind: ledger.SourcePreload}

// loadPreload passes the bundle and roll of the preload folder to the ledger. The
// files in the folder are named like the platform's keys.
func (a *Agent) loadPreload() {
	dir := a.settings.Preload
	if dir == "" {
		return
	}
	if b, ok := a.readPreload(configservice.KeyRoll); ok {
		a.applyRoll(preloadSource, a.now, b)
	}
	files, err := filepath.Glob(filepath.Join(dir, filepath.FromSlash(configservice.KeyBundleParts), "*"))
	if err != nil {
		a.log.Warn("cannot read the preloaded bundle", "error", err)
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
	a.applyParts(preloadSource, parts)
}

// readPreload reads the file of a platform key.
func (a *Agent) readPreload(key string) ([]byte, bool) {
	b, err := os.ReadFile(filepath.Join(a.settings.Preload, filepath.FromSlash(key)))
	if err != nil {
		a.log.Warn("cannot read the preloaded bundle", "key", key, "error", err)
		return nil, false
	}
	return b, true
}
