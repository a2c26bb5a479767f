// Package tlstest issues certificates for tests. No production code imports it.
package tlstest

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

	"ringstream.example/ringstream/internal/tlsconfig"
)

// Authority is a certificate authority that issues certificates for 127.0.0.1.
type Authority struct {
	certificate *x509.Certificate
	key         *ecdsa.PrivateKey
}

// NewAuthority creates an authority whose certificate is valid for one hour.
func NewAuthority(t *testing.T) *Authority {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: "authority"}, IsCA: true, BasicConstraintsValid: true,
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour), KeyUsage: x509.KeyUsageCertSign,
	}
	text, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	if err != nil {
		t.Fatal(err)
	}
	certificate, err := x509.ParseCertificate(text)
	if err != nil {
		t.Fatal(err)
	}
	return &Authority{certificate: certificate, key: key}
}

// Issue writes a certificate, its key and the authority to files in directory, and
// returns the settings that name them. Files with a higher serial number have a
// later modification time.
func (a *Authority) Issue(t *testing.T, directory string, serial int64) tlsconfig.Config {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	template := &x509.Certificate{
		SerialNumber: big.NewInt(serial), NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
		IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)}, ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
	text, err := x509.CreateCertificate(rand.Reader, template, a.certificate, &key.PublicKey, a.key)
	if err != nil {
		t.Fatal(err)
	}
	private, err := x509.MarshalECPrivateKey(key)
	if err != nil {
		t.Fatal(err)
	}
	config := tlsconfig.Config{
		CertificateFile: filepath.Join(directory, "certificate.pem"), KeyFile: filepath.Join(directory, "key.pem"),
		ClientCAFile: filepath.Join(directory, "authority.pem"), ReloadInterval: time.Minute,
	}
	stamp := time.Unix(1_700_000_000+serial, 0)
	for name, block := range map[string]*pem.Block{
		config.CertificateFile: {Type: "CERTIFICATE", Bytes: text},
		config.KeyFile:         {Type: "EC PRIVATE KEY", Bytes: private},
		config.ClientCAFile:    {Type: "CERTIFICATE", Bytes: a.certificate.Raw},
	} {
		if err := os.WriteFile(name, pem.EncodeToMemory(block), 0o600); err != nil {
			t.Fatal(err)
		}
		if err := os.Chtimes(name, stamp, stamp); err != nil {
			t.Fatal(err)
		}
	}
	return config
}
