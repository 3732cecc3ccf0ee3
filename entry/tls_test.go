package entry_test

import (
	"crypto/tls"
	"crypto/x509"
	"errors"
	"net/http"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/wardspool/wardspool/api"
	"github.com/wardspool/wardspool/entry"
	"github.com/wardspool/wardspool/entry/console"
	"github.com/wardspool/wardspool/ident"
	"github.com/wardspool/wardspool/internal/testcert"
	"github.com/wardspool/wardspool/peer"
	"github.com/wardspool/wardspool/settings"
	"github.com/wardspool/wardspool/tlsconf"
)

// httpsClient returns a client that trusts the authority and expects the entry's name
// for callers.
func httpsClient(t *testing.T, a *testcert.Authority, http2 bool) *http.Client {
	t.Helper()
	transport := &http.Transport{
		TLSClientConfig:   &tls.Config{RootCAs: a.Pool(), ServerName: "router.test"},
		ForceAttemptHTTP2: http2,
	}
	t.Cleanup(transport.CloseIdleConnections)
	return &http.Client{Transport: transport}
}

// newTLSTestbed starts an entry that uses TLS for all connections but the agent's, with
// certificates of one authority.
func newTLSTestbed(t *testing.T, a *testcert.Authority) (b *testbed, callers tlsconf.Settings) {
	callers = a.Files("router.test")
	b = newTestbed(t, func(s *entry.Settings) {
		s.Callers.TLS = entry.TLSSettings{Certificate: callers.Cert, Key: callers.Key}
		s.Peers.Listen = "127.0.0.1:0"
		s.Peers.Known = []entry.PeerAddress{{Instance: "entry-2", Address: "127.0.0.1:1"}}
		s.TLS = a.Files("entry-1")
	})
	b.http = httpsClient(t, a, false)
	b.awaitReady()
	return b, callers
}

// TestHTTPSCaller streams answers over HTTPS and then replaces the certificate: the open
// connection remains usable, and new connections get the new certificate.
func TestHTTPSCaller(t *testing.T) {
	a, next := testcert.NewAuthority(t), testcert.NewAuthority(t)
	b, files := newTLSTestbed(t, a)
	for _, http2 := range []bool{false, true} {
		b.http = httpsClient(t, a, http2)
		resp, body := b.do(http.MethodPost, "/v1/completions", completion(5, true))
		assert.Equal(t, resp.ProtoMajor == 2, http2)
		_, done, problem := streamedText(t, body)
		assert.Assert(t, done && problem == nil, body)
		assert.Equal(t, resp.Trailer.Get(api.HeaderOutcome), "complete")
	}
	plain, err := http.Get(strings.Replace(b.url, "https:", "http:", 1) + "/healthz")
	assert.NilError(t, err)
	assert.NilError(t, plain.Body.Close())
	assert.Equal(t, plain.StatusCode, http.StatusBadRequest)

	old := b.http
	next.Write(tlsconf.Settings{Cert: files.Cert, Key: files.Key, CA: files.CA}, "router.test")
	b.entry.CheckFiles()
	resp, _ := b.do(http.MethodGet, "/healthz", "")
	assert.Equal(t, resp.StatusCode, http.StatusOK, "the open connection must remain usable")
	b.http = httpsClient(t, next, false)
	resp, _ = b.do(http.MethodGet, "/healthz", "")
	assert.Equal(t, resp.StatusCode, http.StatusOK)
	old.CloseIdleConnections()
	_, err = old.Get(b.url + "/healthz")
	var unknown x509.UnknownAuthorityError
	assert.Assert(t, errors.As(err, &unknown), "%v", err)
}

// tlsPool returns a connection pool of an instance or an operator's tool; if files is
// nil, it uses plain TCP.
func tlsPool(t *testing.T, id ident.InstanceID, files *tlsconf.Settings) *peer.Pool {
	t.Helper()
	c := peer.Config{
		Self:  peer.Identity{Instance: id, Incarnation: 1, Zone: "hall-a"},
		Allow: func(peer.Identity) bool { return true },
	}
	if files != nil {
		r, err := tlsconf.New(*files, tlsconf.Options{})
		assert.NilError(t, err)
		c.TLS = r
	}
	p := peer.NewPool(c)
	t.Cleanup(p.Close)
	return p
}

// peerAndOperatorFiles returns the TLS files of a peer and of an operator.
func peerAndOperatorFiles(a *testcert.Authority, instance, operator string) *[2]tlsconf.Settings {
	return &[2]tlsconf.Settings{a.Files(instance), a.Files(operator)}
}

// TestPeersAreChecked checks that with TLS, peers and operators are accepted only if
// their certificate is from the right authority and carries the name that they claim.
func TestPeersAreChecked(t *testing.T) {
	a, stranger := testcert.NewAuthority(t), testcert.NewAuthority(t)
	b, _ := newTLSTestbed(t, a)
	for _, c := range []struct {
		name  string
		files *[2]tlsconf.Settings
		good  bool
	}{
		{"right name", peerAndOperatorFiles(a, "entry-2", "ops-1"), true},
		{"wrong name", peerAndOperatorFiles(a, "entry-3", "ops-2"), false},
		{"other authority", peerAndOperatorFiles(stranger, "entry-2", "ops-1"), false},
		{"plain", nil, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			var peerFiles, operatorFiles *tlsconf.Settings
			if c.files != nil {
				peerFiles, operatorFiles = &c.files[0], &c.files[1]
			}
			_, err := peer.Call[struct{}](t.Context(), tlsPool(t, "entry-2", peerFiles), b.entry.PeerAddress(), "nonesuch", struct{}{})
			var method *peer.MethodError
			assert.Equal(t, errors.As(err, &method), c.good, "%v", err)
			e := console.Explain(t.Context(), tlsPool(t, "ops-1", operatorFiles), []string{b.entry.OperatorAddress()}, "x")
			assert.Equal(t, len(e.Unreachable) == 0, c.good, "%v", e.Unreachable)
		})
	}
}

// TestTLSSettings checks that faults in the TLS settings are reported with the field and
// the file.
func TestTLSSettings(t *testing.T) {
	files := testcert.NewAuthority(t).Files("entry-1")
	const head = "instance: entry-1\nzone: hall-a\ncallers: {listen: \"127.0.0.1:0\"}\nfeed: {listen: \"127.0.0.1:0\"}\n"
	for _, c := range []struct{ text, field string }{
		{"tls: {certificate: " + files.Cert + ", key: " + files.Key + ", ca: " + files.CA + "}", ""},
		{"tls: {certificate: " + files.Cert + ", key: " + files.Key + "}", "tls.ca"},
		{"tls: {certificate: " + files.Cert + ", key: nonesuch, ca: " + files.CA + "}", "tls.key"},
		{"tls: {key: " + files.Key + ", ca: " + files.CA + "}", "tls.certificate"},
	} {
		_, err := settings.Parse[entry.Settings]("entry.yaml", []byte(head+c.text))
		var invalid *settings.InvalidError
		if c.field == "" {
			assert.NilError(t, err)
			continue
		}
		assert.Assert(t, errors.As(err, &invalid), "%v", err)
		assert.Assert(t, strings.HasPrefix(invalid.Findings[0].Field, c.field), "%v", err)
	}
}
