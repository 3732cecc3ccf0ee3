package tlsconf

import (
	"crypto/tls"
	"crypto/x509"
	"encoding/pem"
	"io"
	"os"
	"time"
)

// maxFileBytes is the maximum size of each file.
const maxFileBytes = 1 << 20

// Settings holds the paths of the files, which are in PEM format.
type Settings struct {
	// Cert is the file with the certificate, followed by any intermediate
	// certificates.
	Cert string `yaml:"certificate" json:"certificate"`
	// Key is the file with the certificate's private key.
	Key string `yaml:"key" json:"key"`
	// CA is the file with the certificates of the authorities that sign peer
	// certificates. Callers' HTTPS doesn't need it.
	CA string `yaml:"ca" json:"ca"`
}

// Enabled reports whether the settings name any file.
func (s Settings) Enabled() bool { return s.Cert != "" || s.Key != "" || s.CA != "" }

// credentials is the loaded content of the files.
type credentials struct {
	cert tls.Certificate
	// authorities is nil if there is no CA file.
	authorities *x509.CertPool
}

// load reads and validates the files. The error is a *FileError.
func load(s Settings, now time.Time) (*credentials, error) {
	certPEM, err := readPEM("certificate", s.Cert)
	if err != nil {
		return nil, err
	}
	keyPEM, err := readPEM("key", s.Key)
	if err != nil {
		return nil, err
	}
	m := &credentials{}
	if m.cert, err = parseKeyPair(s, certPEM, keyPEM); err != nil {
		return nil, err
	}
	if err := checkValidity(s, m.cert.Leaf, now); err != nil {
		return nil, err
	}
	if s.CA == "" {
		return m, nil
	}
	caPEM, err := readPEM("ca", s.CA)
	if err != nil {
		return nil, err
	}
	m.authorities = x509.NewCertPool()
	if !m.authorities.AppendCertsFromPEM(caPEM) {
		return nil, &FileError{Field: "ca", File: s.CA, Problem: Malformed}
	}
	return m, m.checkChain(s, now)
}

// readPEM reads a PEM file. The error is a *FileError.
func readPEM(field, name string) ([]byte, error) {
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

// readFile reads a file of at most maxFileBytes.
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

// parseKeyPair parses the certificate and its key. The error is a *FileError that names the
// invalid one of the two files.
func parseKeyPair(s Settings, certPEM, keyPEM []byte) (tls.Certificate, error) {
	cert, err := tls.X509KeyPair(certPEM, keyPEM)
	if err == nil {
		return cert, nil
	}
	block, _ := pem.Decode(certPEM)
	if _, certErr := x509.ParseCertificate(block.Bytes); certErr != nil {
		return tls.Certificate{}, &FileError{Field: "certificate", File: s.Cert, Problem: Malformed, Err: certErr}
	}
	if !isPrivateKey(keyPEM) {
		return tls.Certificate{}, &FileError{Field: "key", File: s.Key, Problem: Malformed, Err: err}
	}
	return tls.Certificate{}, &FileError{Field: "key", File: s.Key, Problem: Mismatched, Err: err}
}

// isPrivateKey reports whether the first PEM block is a private key in PKCS #8, SEC 1 or
// PKCS #1 form.
func isPrivateKey(keyPEM []byte) bool {
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

// checkValidity returns a *FileError if the certificate has expired or is not valid yet.
func checkValidity(s Settings, leaf *x509.Certificate, now time.Time) error {
	switch {
	case now.After(leaf.NotAfter):
		return &FileError{Field: "certificate", File: s.Cert, Problem: Expired, At: leaf.NotAfter}
	case now.Before(leaf.NotBefore):
		return &FileError{Field: "certificate", File: s.Cert, Problem: NotYetValid, At: leaf.NotBefore}
	default:
		return nil
	}
}

// checkChain verifies the certificate against the CA file, as peers do, which have
// the same CA file. The error is a *FileError.
func (m *credentials) checkChain(s Settings, now time.Time) error {
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

// verify verifies a certificate chain but not the name in the certificate. Server
// and client certificates are accepted, since each instance is both.
func verify(certs []*x509.Certificate, authorities *x509.CertPool, now time.Time) error {
	intermediates := x509.NewCertPool()
	for _, c := range certs[1:] {
		intermediates.AddCert(c)
	}
	_, err := certs[0].Verify(x509.VerifyOptions{
		Roots:         authorities,
		Intermediates: intermediates,
		CurrentTime:   now,
		KeyUsages:     []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	})
	return err
}
