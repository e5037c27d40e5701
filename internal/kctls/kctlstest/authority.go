// Package kctlstest issues certificates for tests.
package kctlstest

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/kingcuprail/kingcuprail/internal/kctls"
)

// Authority is a certificate authority.
type Authority struct {
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
}

// NewAuthority returns a new authority with a self-signed certificate.
func NewAuthority(tb testing.TB) *Authority {
	tb.Helper()
	a := &Authority{key: newKey(tb)}
	template := certificateTemplate(tb, "authority")
	template.IsCA, template.BasicConstraintsValid = true, true
	template.KeyUsage = x509.KeyUsageCertSign
	der, err := x509.CreateCertificate(rand.Reader, template, template, &a.key.PublicKey, a.key)
	if err != nil {
		tb.Fatal(err)
	}
	if a.cert, err = x509.ParseCertificate(der); err != nil {
		tb.Fatal(err)
	}
	return a
}

// Issue issues a certificate for 127.0.0.1. It writes the certificate, its key
// and the certificate of the authority to files in a directory of the test.
func (a *Authority) Issue(tb testing.TB) kctls.Files {
	tb.Helper()
	key := newKey(tb)
	template := certificateTemplate(tb, "instance")
	template.IPAddresses = []net.IP{net.IPv4(127, 0, 0, 1)}
	template.ExtKeyUsage = []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth}
	der, err := x509.CreateCertificate(rand.Reader, template, a.cert, &key.PublicKey, a.key)
	if err != nil {
		tb.Fatal(err)
	}
	keyDER, err := x509.MarshalECPrivateKey(key)
	if err != nil {
		tb.Fatal(err)
	}
	dir := tb.TempDir()
	return kctls.Files{
		CertFile: writePEM(tb, dir, "cert.pem", "CERTIFICATE", der),
		KeyFile:  writePEM(tb, dir, "key.pem", "EC PRIVATE KEY", keyDER),
		CAFile:   writePEM(tb, dir, "ca.pem", "CERTIFICATE", a.cert.Raw),
	}
}

func newKey(tb testing.TB) *ecdsa.PrivateKey {
	tb.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		tb.Fatal(err)
	}
	return key
}

func certificateTemplate(tb testing.TB, name string) *x509.Certificate {
	tb.Helper()
	serial, err := rand.Int(rand.Reader, big.NewInt(1<<62))
	if err != nil {
		tb.Fatal(err)
	}
	return &x509.Certificate{
		SerialNumber: serial, Subject: pkix.Name{CommonName: name},
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
	}
}

func writePEM(tb testing.TB, dir, name, kind string, der []byte) string {
	tb.Helper()
	path := filepath.Join(dir, name)
	if err := os.WriteFile(path, pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der}), 0o600); err != nil {
		tb.Fatal(err)
	}
	return path
}
