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
	// configStoreTimeout bounds the time to read a new configuration from the store after a peer has
	// announced it. The store answers in 4 ms and its link is a hundred times as fast as an
	// instance's, so it is asked before the peer.
	configStoreTimeout = 600 * time.Millisecond
	// configPeerTimeout bounds the time to fetch a configuration from a peer, for instances that
	// cannot reach the store.
	configPeerTimeout = time.Second
	// maxConfigBytes bounds the size of a decompressed configuration.
	maxConfigBytes = 64 << 20
)

// maxRelayedConfigBytes is the largest encoded configuration, in bytes, that a peer is asked for
// before the store in a large fleet. The hub of a zone can send one of this size to all instances
// of its zone within a second over the link of a small machine. Larger ones are read from the
// store by each instance.
const maxRelayedConfigBytes = 16 << 10

// ConfigRequest asks for a configuration.
type ConfigRequest struct {
	// MaxBytes is the largest encoded size to send; 0 means any size.
	MaxBytes int `json:"most,omitempty"`
}

// ConfigAnswer holds a configuration as gzipped JSON, which is a tenth of its plain size. It is
// empty if there is no configuration or if it is larger than requested.
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

// onConfig sends the configuration in force to a peer. It sends nothing if the encoding is larger
// than the peer asked for.
func (n *Node) onConfig(_ context.Context, _ peer.Identity, request ConfigRequest) (ConfigAnswer, error) {
	packed, err := n.encodedConfig()
	if request.MaxBytes > 0 && len(packed.Gzip) > request.MaxBytes {
		return ConfigAnswer{}, err
	}
	return packed, err
}

// encodedConfig returns the encoded configuration in force. Each version is encoded once.
func (n *Node) encodedConfig() (ConfigAnswer, error) {
	s := n.Snapshot()
	if s.Table == nil {
		return ConfigAnswer{}, nil
	}
	n.packMu.Lock()
	defer n.packMu.Unlock()
	if n.packedConfigVersion == s.Version() {
		return n.packedConfig, nil
	}
	packed, err := packConfig(s.Table.Config())
	if err != nil {
		return ConfigAnswer{}, err
	}
	n.packedConfig, n.packedConfigVersion = packed, s.Version()
	return packed, nil
}

// fetchConfig fetches a configuration of at least the given version in the background, unless a
// fetch is already running. It reads the store and falls back to the peer that has announced the
// version. In a large fleet it asks the peer first for a configuration of at most
// maxRelayedConfigBytes bytes.
func (n *Node) fetchConfig(address string, version int64) {
	if !n.fetching.CompareAndSwap(false, true) {
		return
	}
	go func() {
		defer n.fetching.Store(false)
		if n.isLarge() && n.fetchConfigFromPeer(address, version, maxRelayedConfigBytes) {
			return
		}
		if !n.fetchConfigFromStore(version) {
			n.fetchConfigFromPeer(address, version, 0)
		}
	}()
}

// fetchConfigFromStore reads the configuration from the store and reports whether it has at least
// the given version.
func (n *Node) fetchConfigFromStore(version int64) bool {
	ctx, cancel := context.WithTimeout(context.Background(), configStoreTimeout)
	defer cancel()
	started := clock.Now()
	d, err := n.opts.Source.Directives(ctx)
	if err != nil {
		n.opts.Log.Info("reading configuration failed", "version", version, "from", "store", "error", err)
		return false
	}
	n.applyDirectives(d, started)
	return d.Config.Version >= version
}

// fetchConfigFromPeer fetches a configuration of at most the given encoded size from a peer, 0
// for any size, and reports whether it has at least the given version.
func (n *Node) fetchConfigFromPeer(address string, version int64, maxBytes int) bool {
	ctx, cancel := context.WithTimeout(context.Background(), configPeerTimeout)
	defer cancel()
	a, err := peer.Call[ConfigAnswer](ctx, n.opts.Pool, address, MethodConfig, ConfigRequest{MaxBytes: maxBytes})
	if err == nil && len(a.Gzip) == 0 {
		return false
	}
	var c *routing.Config
	if err == nil {
		c, err = a.unpack()
	}
	if err != nil {
		n.opts.Log.Info("reading configuration failed", "from", address, "error", err)
		return false
	}
	n.applyConfig(c, address)
	return c.Version >= version
}
