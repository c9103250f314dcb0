// Package certtest creates a deployment's certificates for tests: a CA and certificates for IP addresses.
package certtest

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

	"github.com/orioleusher/orioleusher/internal/settings"
)

const lifetime = time.Hour

// CA signs the certificates of one deployment.
type CA struct {
	t    *testing.T
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
}

// NewCA returns a CA with a new key.
func NewCA(t *testing.T) *CA {
	t.Helper()
	ca := &CA{t: t, key: newKey(t)}
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: "test CA"}, NotBefore: time.Now().Add(-lifetime),
		NotAfter: time.Now().Add(lifetime), IsCA: true, BasicConstraintsValid: true, KeyUsage: x509.KeyUsageCertSign,
	}
	ca.cert = ca.sign(template, template, ca.key)
	return ca
}

func newKey(t *testing.T) *ecdsa.PrivateKey {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	return key
}

func (ca *CA) sign(template, parent *x509.Certificate, key *ecdsa.PrivateKey) *x509.Certificate {
	ca.t.Helper()
	raw, err := x509.CreateCertificate(rand.Reader, template, parent, &key.PublicKey, ca.key)
	if err != nil {
		ca.t.Fatal(err)
	}
	cert, err := x509.ParseCertificate(raw)
	if err != nil {
		ca.t.Fatal(err)
	}
	return cert
}

// Write writes a certificate for the IP addresses, its key and the CA to the directory and returns settings that name
// the files. The certificate expires at notAfter, or in an hour if that is the zero time.
func (ca *CA) Write(dir string, notAfter time.Time, ips ...string) settings.PeerTLS {
	ca.t.Helper()
	if notAfter.IsZero() {
		notAfter = time.Now().Add(lifetime)
	}
	key := newKey(ca.t)
	template := &x509.Certificate{
		SerialNumber: big.NewInt(time.Now().UnixNano()), Subject: pkix.Name{CommonName: "test host"},
		NotBefore: time.Now().Add(-lifetime), NotAfter: notAfter, KeyUsage: x509.KeyUsageDigitalSignature,
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageClientAuth, x509.ExtKeyUsageServerAuth},
	}
	for _, ip := range ips {
		template.IPAddresses = append(template.IPAddresses, net.ParseIP(ip))
	}
	cert := ca.sign(template, ca.cert, key)
	rawKey, err := x509.MarshalECPrivateKey(key)
	if err != nil {
		ca.t.Fatal(err)
	}
	files := settings.PeerTLS{
		CertFile: filepath.Join(dir, "cert.pem"), KeyFile: filepath.Join(dir, "key.pem"), CAFile: filepath.Join(dir, "ca.pem"),
	}
	ca.write(files.CertFile, "CERTIFICATE", cert.Raw)
	ca.write(files.KeyFile, "EC PRIVATE KEY", rawKey)
	ca.write(files.CAFile, "CERTIFICATE", ca.cert.Raw)
	return files
}

func (ca *CA) write(path, kind string, raw []byte) {
	ca.t.Helper()
	if err := os.WriteFile(path, pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: raw}), 0o600); err != nil {
		ca.t.Fatal(err)
	}
}
