// Package testcert creates TLS certificates for tests, signed by a test CA, and
// writes them to the files that the settings name.
package testcert

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/wardspool/wardspool/tlsconf"
)

// Authority is a test certificate authority.
type Authority struct {
	t    testing.TB
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
}

// NewAuthority returns an authority with a new key and a self-signed certificate.
func NewAuthority(t testing.TB) *Authority {
	t.Helper()
	a := &Authority{t: t, key: newKey(t)}
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1),
		Subject:      pkix.Name{CommonName: "test authority"},
		NotBefore:    time.Now().Add(-time.Hour),
		NotAfter:     time.Now().Add(time.Hour),
		KeyUsage:     x509.KeyUsageCertSign,
		IsCA:         true, BasicConstraintsValid: true,
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &a.key.PublicKey, a.key)
	must(t, err)
	a.cert, err = x509.ParseCertificate(der)
	must(t, err)
	return a
}

// Pool returns a certificate pool that trusts the authority.
func (a *Authority) Pool() *x509.CertPool {
	pool := x509.NewCertPool()
	pool.AddCert(a.cert)
	return pool
}

// Files writes a new certificate for a DNS name, its key and the authority's
// certificate to a new temporary directory.
func (a *Authority) Files(name string) tlsconf.Settings {
	a.t.Helper()
	dir := a.t.TempDir()
	s := tlsconf.Settings{
		Cert: filepath.Join(dir, "cert.pem"),
		Key:  filepath.Join(dir, "key.pem"),
		CA:   filepath.Join(dir, "ca.pem"),
	}
	a.Write(s, name)
	return s
}

// Write replaces the files with those of a new certificate. Their modification times
// are 1 s later than those of the files they replace.
func (a *Authority) Write(s tlsconf.Settings, name string) {
	a.t.Helper()
	key := newKey(a.t)
	template := &x509.Certificate{
		SerialNumber: big.NewInt(time.Now().UnixNano()),
		Subject:      pkix.Name{CommonName: name},
		DNSNames:     []string{name},
		NotBefore:    time.Now().Add(-time.Hour),
		NotAfter:     time.Now().Add(time.Hour),
		KeyUsage:     x509.KeyUsageDigitalSignature,
		ExtKeyUsage:  []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
	cert, err := x509.CreateCertificate(rand.Reader, template, a.cert, &key.PublicKey, a.key)
	must(a.t, err)
	private, err := x509.MarshalPKCS8PrivateKey(key)
	must(a.t, err)
	a.write(s.Cert, "CERTIFICATE", cert)
	a.write(s.Key, "PRIVATE KEY", private)
	a.write(s.CA, "CERTIFICATE", a.cert.Raw)
}

// write writes one PEM file.
func (a *Authority) write(file, kind string, der []byte) {
	a.t.Helper()
	at := time.Now()
	if old, err := os.Stat(file); err == nil {
		at = old.ModTime().Add(time.Second)
	}
	must(a.t, os.WriteFile(file, pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der}), 0o600))
	must(a.t, os.Chtimes(file, at, at))
}

// newKey returns a new private key.
func newKey(t testing.TB) *ecdsa.PrivateKey {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	must(t, err)
	return key
}

// must fails the test immediately if err is not nil.
func must(t testing.TB, err error) {
	t.Helper()
	if err != nil {
		t.Fatal(err)
	}
}
