package main

import (
	"context"
	"io/fs"
	"log/slog"
	"os"
	"path/filepath"

	"github.com/samber/oops"

	"github.com/wardspool/wardspool/standin/platform"
)

// platformCmd is the subcommand "platform".
type platformCmd struct {
	Listen  string `required:"" placeholder:"IP:PORT" help:"Address to serve on."`
	Rate    int    `default:"2000" help:"Calls a second over all readers; a waiting watch is one."`
	SeedDir string `type:"existingdir" help:"Folder whose files are the first keys; a file's path in it is its key."`
}

// Help returns the text that "platform --help" adds.
func (platformCmd) Help() string {
	return `Readers use GET /v1/keys/KEY?index=N&wait=10s. The bench writes, as operators do
with the platform's own tools, by PUT and DELETE /control/keys/KEY:
  curl -X PUT --data-binary @roll.json http://127.0.0.1:7000/control/keys/roll/current
and sets outages, stale reads and lags by PUT /control/mode:
  curl -X PUT -d '{"mode":"down"}' http://127.0.0.1:7000/control/mode`
}

// Run serves the platform's HTTP API until ctx is done.
func (c *platformCmd) Run(ctx context.Context, log *slog.Logger) error {
	p := platform.New(platform.Config{Rate: c.Rate})
	defer p.Close()
	if c.SeedDir != "" {
		if err := seed(p, c.SeedDir); err != nil {
			return err
		}
	}
	l, err := listen(c.Listen)
	if err != nil {
		return err
	}
	return serve(ctx, log.With("standin", "platform"), l, p.Handler())
}

// seed stores each file below dir under its relative path as key, in lexical order
// of the paths.
func seed(p *platform.Platform, dir string) error {
	return filepath.WalkDir(dir, func(path string, d fs.DirEntry, err error) error {
		if err != nil || d.IsDir() {
			return err
		}
		value, err := os.ReadFile(path)
		if err != nil {
			return oops.With("file", path).Wrapf(err, "reading seed file")
		}
		if len(value) > platform.MaxValue {
			return oops.With("file", path).Errorf("a seed exceeds %d bytes", platform.MaxValue)
		}
		key, err := filepath.Rel(dir, path)
		if err != nil {
			return oops.With("file", path).Wrapf(err, "deriving the key of a seed file")
		}
		p.Put(filepath.ToSlash(key), value)
		return nil
	})
}
