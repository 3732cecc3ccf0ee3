package tlsconf

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"errors"
	"io"
	"math/big"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/wardspool/wardspool/internal/bubble"
)

// authority is a certificate authority for the tests.
type authority struct {
	t    *testing.T
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
}

// newAuthority returns an authority whose own certificate is valid for 48 hours.
func newAuthority(t *testing.T) *authority {
	a := &authority{t: t}
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: "test authority"},
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(48 * time.Hour),
		IsCA: true, BasicConstraintsValid: true, KeyUsage: x509.KeyUsageCertSign,
	}
	a.key = newKey(t)
	der, err := x509.CreateCertificate(rand.Reader, template, template, &a.key.PublicKey, a.key)
	assert.NilError(t, err)
	a.cert, err = x509.ParseCertificate(der)
	assert.NilError(t, err)
	return a
}

// newKey generates a private key.
func newKey(t *testing.T) *ecdsa.PrivateKey {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	assert.NilError(t, err)
	return key
}

// issue returns a certificate for a name and its key, in PEM format.
func (a *authority) issue(name string, from, until time.Time) (cert, key []byte) {
	template := &x509.Certificate{
		SerialNumber: big.NewInt(time.Now().UnixNano()), Subject: pkix.Name{CommonName: name}, DNSNames: []string{name},
		NotBefore: from, NotAfter: until, KeyUsage: x509.KeyUsageDigitalSignature,
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
	k := newKey(a.t)
	der, err := x509.CreateCertificate(rand.Reader, template, a.cert, &k.PublicKey, a.key)
	assert.NilError(a.t, err)
	keyDER, err := x509.MarshalPKCS8PrivateKey(k)
	assert.NilError(a.t, err)
	return pemBlock("CERTIFICATE", der), pemBlock("PRIVATE KEY", keyDER)
}

// issueValid issues a certificate that is currently valid.
func (a *authority) issueValid(name string) (cert, key []byte) {
	return a.issue(name, time.Now().Add(-time.Hour), time.Now().Add(24*time.Hour))
}

// pemBlock encodes one PEM block.
func pemBlock(kind string, der []byte) []byte {
	return pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der})
}

// testFiles holds the three files of a test.
type testFiles struct {
	t *testing.T
	Settings
	writes int
}

// newFiles writes the files of an instance with a currently valid certificate.
func newFiles(t *testing.T, a *authority, name string) *testFiles {
	dir := t.TempDir()
	f := &testFiles{t: t, Settings: Settings{
		Cert: filepath.Join(dir, "cert.pem"), Key: filepath.Join(dir, "key.pem"), CA: filepath.Join(dir, "ca.pem"),
	}}
	f.replaceKeyPair(a.issueValid(name))
	f.write(f.CA, pemBlock("CERTIFICATE", a.cert.Raw))
	return f
}

// replaceKeyPair replaces the certificate and its key.
func (f *testFiles) replaceKeyPair(cert, key []byte) {
	f.write(f.Cert, cert)
	f.write(f.Key, key)
}

// write writes one file and gives it a later modification time than the writes
// before, so that each write is detected as a change.
func (f *testFiles) write(name string, data []byte) {
	f.t.Helper()
	assert.NilError(f.t, os.WriteFile(name, data, 0o600))
	f.writes++
	at := time.Now().Add(time.Duration(f.writes) * time.Second)
	assert.NilError(f.t, os.Chtimes(name, at, at))
}

// TestBrokenFilesAreNamed checks that the error for invalid files names the field and
// the problem, and that the current certificates stay in use.
func TestBrokenFilesAreNamed(t *testing.T) {
	a, otherAuthority := newAuthority(t), newAuthority(t)
	now := time.Now()
	tests := []struct {
		name    string
		corrupt func(f *testFiles)
		field   string
		problem Problem
	}{
		{"no certificate named", func(f *testFiles) { f.Cert = "" }, "certificate", Missing},
		{"no key named", func(f *testFiles) { f.Key = "" }, "key", Missing},
		{"certificate gone", func(f *testFiles) { f.Cert += "x" }, "certificate", Unreadable},
		{"CA gone", func(f *testFiles) { f.CA += "x" }, "ca", Unreadable},
		{"certificate is text", func(f *testFiles) { f.write(f.Cert, []byte("hello")) }, "certificate", Malformed},
		{"certificate is cut short", func(f *testFiles) { f.write(f.Cert, pemBlock("CERTIFICATE", []byte{1, 2})) }, "certificate", Malformed},
		{"key is text", func(f *testFiles) { f.write(f.Key, []byte("hello")) }, "key", Malformed},
		{"key is a certificate", func(f *testFiles) { f.write(f.Key, pemBlock("CERTIFICATE", a.cert.Raw)) }, "key", Malformed},
		{"CA is text", func(f *testFiles) { f.write(f.CA, []byte("hello")) }, "ca", Malformed},
		{"CA holds no certificate", func(f *testFiles) { f.write(f.CA, pemBlock("CERTIFICATE", []byte{1})) }, "ca", Malformed},
		{"file is huge", func(f *testFiles) { f.write(f.CA, make([]byte, maxFileBytes+1)) }, "ca", Unreadable},
		{"key of another certificate", func(f *testFiles) { _, key := a.issueValid("b"); f.write(f.Key, key) }, "key", Mismatched},
		{"expired", func(f *testFiles) { f.replaceKeyPair(a.issue("a", now.Add(-time.Hour), now.Add(-time.Minute))) }, "certificate", Expired},
		{"not valid yet", func(f *testFiles) { f.replaceKeyPair(a.issue("a", now.Add(time.Minute), now.Add(time.Hour))) }, "certificate", NotYetValid},
		{"another authority", func(f *testFiles) { f.replaceKeyPair(otherAuthority.issueValid("a")) }, "certificate", Untrusted},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			f := newFiles(t, a, "entry-a1")
			r, err := New(f.Settings, Options{})
			assert.NilError(t, err)
			before := r.Status().NotAfter
			tt.corrupt(f)
			r.settings = f.Settings
			err = r.Reload()
			var fe *FileError
			assert.Assert(t, errors.As(err, &fe), "%v", err)
			assert.Equal(t, fe.Field, tt.field, "%v", err)
			assert.Equal(t, fe.Problem, tt.problem, "%v", err)
			// The certificates loaded before stay in use.
			assert.Equal(t, r.Status().NotAfter, before)
			assert.Equal(t, r.Status().Err, err)
			assert.Equal(t, len(r.ServerConfig().Certificates), 1)
			_, err = New(f.Settings, Options{})
			assert.Assert(t, errors.As(err, &fe))
		})
	}
}

// TestChangedFilesComeIntoForce checks that unchanged files are not reloaded, that a
// new certificate without its key is rejected, and that the new pair is loaded.
func TestChangedFilesComeIntoForce(t *testing.T) {
	a := newAuthority(t)
	f := newFiles(t, a, "entry-a1")
	r, err := New(f.Settings, Options{})
	assert.NilError(t, err)
	r.Check()
	assert.Equal(t, r.Status().Loads, 1, "unchanged files were reloaded")
	cert, key := a.issueValid("entry-a1")
	f.write(f.Cert, cert)
	r.Check()
	assert.Assert(t, errors.As(r.Status().Err, new(*FileError)), "a certificate was loaded without its key")
	f.write(f.Key, key)
	r.Check()
	assert.NilError(t, r.Status().Err)
	assert.Equal(t, r.Status().Loads, 2)
	block, _ := pem.Decode(cert)
	assert.DeepEqual(t, r.ServerConfig().Certificates[0].Certificate[0], block.Bytes)
}

// TestRunLooksForChanges checks that Run reloads changed files after DefaultInterval.
func TestRunLooksForChanges(t *testing.T) {
	a := newAuthority(t)
	f := newFiles(t, a, "entry-a1")
	bubble.Test(t, func(t *testing.T) {
		// The synthetic clock of the bubble differs from the real one, by which the
		// authority's certificate was issued.
		now := a.cert.NotBefore.Add(2 * time.Hour)
		r, err := New(f.Settings, Options{Now: func() time.Time { return now }})
		assert.NilError(t, err)
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan struct{})
		go func() {
			r.Run(ctx)
			close(done)
		}()
		f.replaceKeyPair(a.issue("entry-a1", now.Add(-time.Minute), now.Add(time.Hour)))
		time.Sleep(DefaultInterval + time.Second)
		synctest.Wait()
		assert.Equal(t, r.Status().Loads, 2)
		cancel()
		<-done
	})
}

// TestCallersGetTheCertificateInForce replaces the certificate of a running HTTPS
// server and checks that a new connection gets the new one.
func TestCallersGetTheCertificateInForce(t *testing.T) {
	a := newAuthority(t)
	f := newFiles(t, a, "entry-a1")
	f.CA = ""
	r, err := New(f.Settings, Options{})
	assert.NilError(t, err)
	s := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "ok") }))
	s.TLS = r.CallerConfig()
	s.StartTLS()
	defer s.Close()
	roots := x509.NewCertPool()
	roots.AddCert(a.cert)
	serial := func() *big.Int {
		client := &http.Client{Transport: &http.Transport{TLSClientConfig: &tls.Config{RootCAs: roots, ServerName: "entry-a1"}}}
		defer client.CloseIdleConnections()
		resp, err := client.Get(s.URL)
		assert.NilError(t, err)
		defer resp.Body.Close()
		return resp.TLS.PeerCertificates[0].SerialNumber
	}
	before := serial()
	f.replaceKeyPair(a.issueValid("entry-a1"))
	assert.NilError(t, r.Reload())
	assert.Assert(t, serial().Cmp(before) != 0)
}
