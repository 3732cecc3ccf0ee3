package fleet

import (
	"bytes"
	"compress/gzip"
	"context"
	"encoding/json"
	"io"
	"time"

	"github.com/wardspool/wardspool/gateway/routing"
	"github.com/wardspool/wardspool/internal/clock"
	"github.com/wardspool/wardspool/peer"
)

// MethodConfig asks a peer for its configuration.
const MethodConfig = "gateway.config"

const (
	// configFromStore bounds the reading of a configuration that a peer says is new;
	// the store answers in 4 ms and its link is a hundred times as fast as an
	// instance's, so that it is asked first.
	configFromStore = 600 * time.Millisecond
	// configFromPeer bounds the same at a peer, for instances that don't reach the
	// store.
	configFromPeer = time.Second
	// maxConfigBytes bounds a configuration's encoding.
	maxConfigBytes = 64 << 20
)

// mostRelayed is the largest packed configuration that a zone's hub sends to all of the
// zone in a large fleet, in bytes: all of them together get it within a second over the link
// of a small machine. Larger ones are read from the store by each.
const mostRelayed = 16 << 10

// ConfigRequest says how large an answer is of use.
type ConfigRequest struct {
	// MostBytes bounds it; 0 for any size.
	MostBytes int `json:"most,omitempty"`
}

// ConfigAnswer is a configuration as gzipped JSON, a tenth of its plain size.
type ConfigAnswer struct {
	Gzip []byte `json:"gzip,omitempty"`
}

// packConfig encodes a configuration for a peer.
func packConfig(c *routing.Config) (ConfigAnswer, error) {
	var buf bytes.Buffer
	w := gzip.NewWriter(&buf)
	if err := json.NewEncoder(w).Encode(c); err != nil {
		return ConfigAnswer{}, err
	}
	err := w.Close()
	return ConfigAnswer{Gzip: buf.Bytes()}, err
}

// unpack decodes a configuration.
func (a ConfigAnswer) unpack() (*routing.Config, error) {
	r, err := gzip.NewReader(bytes.NewReader(a.Gzip))
	if err != nil {
		return nil, err
	}
	c := &routing.Config{}
	if err := json.NewDecoder(io.LimitReader(r, maxConfigBytes)).Decode(c); err != nil {
		return nil, err
	}
	return c, nil
}

// onConfig sends a peer the configuration in force, encoded once for each version; nothing
// if it is larger than the peer asked for.
func (n *Node) onConfig(_ context.Context, _ peer.Identity, q ConfigRequest) (ConfigAnswer, error) {
	packed, err := n.pack()
	if q.MostBytes > 0 && len(packed.Gzip) > q.MostBytes {
		return ConfigAnswer{}, err
	}
	return packed, err
}

// pack returns the configuration in force as peers get it.
func (n *Node) pack() (ConfigAnswer, error) {
	s := n.Snapshot()
	if s.Table == nil {
		return ConfigAnswer{}, nil
	}
	n.packing.Lock()
	defer n.packing.Unlock()
	if n.packedVersion == s.Version() {
		return n.packed, nil
	}
	packed, err := packConfig(s.Table.Config())
	if err != nil {
		return ConfigAnswer{}, err
	}
	n.packed, n.packedVersion = packed, s.Version()
	return packed, nil
}

// fetchConfig gets a configuration of at least a version in the background, one at a time:
// from the store or else from the peer that has it, in a large fleet from the peer first
// if it is small.
func (n *Node) fetchConfig(address string, version int64) {
	if !n.fetching.CompareAndSwap(false, true) {
		return
	}
	go func() {
		defer n.fetching.Store(false)
		if n.large() && n.configFromPeer(address, version, mostRelayed) {
			return
		}
		if !n.configFromStore(version) {
			n.configFromPeer(address, version, 0)
		}
	}()
}

// configFromStore reads the configuration and reports whether it is of at least a
// version.
func (n *Node) configFromStore(version int64) bool {
	ctx, cancel := context.WithTimeout(context.Background(), configFromStore)
	defer cancel()
	started := clock.Now()
	d, err := n.o.Source.Directives(ctx)
	if err != nil {
		n.o.Log.Info("configuration not read", "version", version, "from", "store", "error", err)
		return false
	}
	n.takeDirectives(d, started)
	return d.Config.Version >= version
}

// configFromPeer asks a peer for its configuration of at most so many bytes, and reports
// whether it got one of at least a version.
func (n *Node) configFromPeer(address string, version int64, most int) bool {
	ctx, cancel := context.WithTimeout(context.Background(), configFromPeer)
	defer cancel()
	a, err := peer.Call[ConfigAnswer](ctx, n.o.Pool, address, MethodConfig, ConfigRequest{MostBytes: most})
	if err == nil && len(a.Gzip) == 0 {
		return false
	}
	var c *routing.Config
	if err == nil {
		c, err = a.unpack()
	}
	if err != nil {
		n.o.Log.Info("configuration not read", "from", address, "error", err)
		return false
	}
	n.takeConfig(c, address)
	return c.Version >= version
}
