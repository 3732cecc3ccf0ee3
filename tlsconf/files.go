package tlsconf

import (
	"crypto/tls"
	"crypto/x509"
	"encoding/pem"
	"io"
	"os"
	"time"
)

// maxFileBytes bounds each file.
const maxFileBytes = 1 << 20

// Settings name the files, in PEM form.
type Settings struct {
	// Cert is the certificate, followed by those of intermediate authorities.
	Cert string `yaml:"certificate" json:"certificate"`
	// Key is the certificate's private key.
	Key string `yaml:"key" json:"key"`
	// CA holds the authorities that sign peers' certificates. Callers' HTTPS
	// needs none.
	CA string `yaml:"ca" json:"ca"`
}

// Enabled reports whether the settings name any file.
func (s Settings) Enabled() bool { return s.Cert != "" || s.Key != "" || s.CA != "" }

// material is what the files hold.
type material struct {
	cert tls.Certificate
	// authorities is nil without a CA file.
	authorities *x509.CertPool
}

// load reads and checks the files. The error is a *FileError.
func load(s Settings, now time.Time) (*material, error) {
	certPEM, err := read("certificate", s.Cert)
	if err != nil {
		return nil, err
	}
	keyPEM, err := read("key", s.Key)
	if err != nil {
		return nil, err
	}
	m := &material{}
	if m.cert, err = pair(s, certPEM, keyPEM); err != nil {
		return nil, err
	}
	if err := checkTime(s, m.cert.Leaf, now); err != nil {
		return nil, err
	}
	if s.CA == "" {
		return m, nil
	}
	caPEM, err := read("ca", s.CA)
	if err != nil {
		return nil, err
	}
	m.authorities = x509.NewCertPool()
	if !m.authorities.AppendCertsFromPEM(caPEM) {
		return nil, &FileError{Field: "ca", File: s.CA, Problem: Malformed}
	}
	return m, m.checkChain(s, now)
}

// read reads one file.
func read(field, name string) ([]byte, error) {
	if name == "" {
		return nil, &FileError{Field: field, Problem: Missing}
	}
	data, err := readFile(name)
	if err != nil {
		return nil, &FileError{Field: field, File: name, Problem: Unreadable, Err: err}
	}
	if block, _ := pem.Decode(data); block == nil {
		return nil, &FileError{Field: field, File: name, Problem: Malformed}
	}
	return data, nil
}

// readFile reads a file of bounded size.
func readFile(name string) ([]byte, error) {
	f, err := os.Open(name)
	if err != nil {
		return nil, err
	}
	defer f.Close()
	data, err := io.ReadAll(io.LimitReader(f, maxFileBytes+1))
	if err == nil && len(data) > maxFileBytes {
		return nil, &TooLargeError{Limit: maxFileBytes}
	}
	return data, err
}

// pair makes the certificate of its two files, and tells which one is at fault.
func pair(s Settings, certPEM, keyPEM []byte) (tls.Certificate, error) {
	cert, err := tls.X509KeyPair(certPEM, keyPEM)
	if err == nil {
		return cert, nil
	}
	block, _ := pem.Decode(certPEM)
	if _, certErr := x509.ParseCertificate(block.Bytes); certErr != nil {
		return tls.Certificate{}, &FileError{Field: "certificate", File: s.Cert, Problem: Malformed, Err: certErr}
	}
	if !holdsKey(keyPEM) {
		return tls.Certificate{}, &FileError{Field: "key", File: s.Key, Problem: Malformed, Err: err}
	}
	return tls.Certificate{}, &FileError{Field: "key", File: s.Key, Problem: Mismatched, Err: err}
}

// holdsKey reports whether a PEM block is a private key of a known form.
func holdsKey(keyPEM []byte) bool {
	block, _ := pem.Decode(keyPEM)
	if _, err := x509.ParsePKCS8PrivateKey(block.Bytes); err == nil {
		return true
	}
	if _, err := x509.ParseECPrivateKey(block.Bytes); err == nil {
		return true
	}
	_, err := x509.ParsePKCS1PrivateKey(block.Bytes)
	return err == nil
}

// checkTime refuses a certificate that is not in force.
func checkTime(s Settings, leaf *x509.Certificate, now time.Time) error {
	switch {
	case now.After(leaf.NotAfter):
		return &FileError{Field: "certificate", File: s.Cert, Problem: Expired, At: leaf.NotAfter}
	case now.Before(leaf.NotBefore):
		return &FileError{Field: "certificate", File: s.Cert, Problem: NotYetValid, At: leaf.NotBefore}
	default:
		return nil
	}
}

// checkChain refuses a certificate that the peers, who have the same CA file,
// would refuse.
func (m *material) checkChain(s Settings, now time.Time) error {
	certs := []*x509.Certificate{m.cert.Leaf}
	for _, der := range m.cert.Certificate[1:] {
		c, err := x509.ParseCertificate(der)
		if err != nil {
			return &FileError{Field: "certificate", File: s.Cert, Problem: Malformed, Err: err}
		}
		certs = append(certs, c)
	}
	if err := verify(certs, m.authorities, now); err != nil {
		return &FileError{Field: "certificate", File: s.Cert, Problem: Untrusted, Err: err}
	}
	return nil
}

// verify checks the chain of a certificate, whatever name it carries. It may be
// for servers or for clients: each instance is both.
func verify(certs []*x509.Certificate, authorities *x509.CertPool, now time.Time) error {
	inter := x509.NewCertPool()
	for _, c := range certs[1:] {
		inter.AddCert(c)
	}
	_, err := certs[0].Verify(x509.VerifyOptions{
		Roots:         authorities,
		Intermediates: inter,
		CurrentTime:   now,
		KeyUsages:     []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	})
	return err
}
