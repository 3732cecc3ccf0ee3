package main

import (
	"bytes"
	"context"
	"net"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/wardspool/wardspool/entry/peering"
	"github.com/wardspool/wardspool/ident"
	"github.com/wardspool/wardspool/internal/testcert"
	"github.com/wardspool/wardspool/peer"
	"github.com/wardspool/wardspool/tlsconf"
)

// emptyBackend returns empty replies.
type emptyBackend struct{}

func (emptyBackend) Explain(ident.RequestID) peering.ExplainReply { return peering.ExplainReply{} }
func (emptyBackend) Stats() peering.StatsReply                    { return peering.StatsReply{} }

// TestCertificateFlags checks that an instance with TLS can be queried with the
// operator's certificate only, not without a certificate or with one of another
// name, and that a missing file is a usage error.
func TestCertificateFlags(t *testing.T) {
	a := testcert.NewAuthority(t)
	files, err := tlsconf.New(a.Files("entry-1"), tlsconf.Options{})
	assert.NilError(t, err)
	srv := peer.NewServer(peer.Config{
		Self:  peer.Identity{Instance: "entry-1", Incarnation: 1, Zone: "hall-a"},
		Allow: func(id peer.Identity) bool { return id.Instance == "ops-1" },
		TLS:   files,
	})
	peering.HandleOperators(srv, emptyBackend{})
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	served := make(chan error, 1)
	go func() { served <- srv.Serve(l) }()
	defer func() {
		assert.NilError(t, srv.Shutdown(context.Background()))
		assert.NilError(t, <-served)
	}()

	explain := func(flags ...string) int {
		var out bytes.Buffer
		args := append([]string{"explain", "x", "--instances", l.Addr().String()}, flags...)
		return run(t.Context(), args, streams{In: &out, Out: &out, Err: &out})
	}
	with := func(name string) []string {
		f := a.Files(name)
		return []string{"--cert", f.Cert, "--key", f.Key, "--ca", f.CA}
	}
	assert.Equal(t, explain(with("ops-1")...), exitNotFound)
	assert.Equal(t, explain(with("ops-2")...), exitUnreachable)
	assert.Equal(t, explain(), exitUnreachable)
	broken := with("ops-1")
	broken[1] = "nonesuch.pem"
	assert.Equal(t, explain(broken...), exitUsage)
}
