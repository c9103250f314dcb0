package console

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"encoding/pem"
	"math/big"
	"net"
	"net/http"
	"net/url"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"github.com/orioleusher/orioleusher/internal/settings"
)

const (
	testAddress      = "127.94.4.1:8443"
	testAdminAddress = "127.94.4.1:9443"
)

// writeCertificate writes a self-signed certificate for the address and returns its files and a pool that trusts it.
func writeCertificate(t *testing.T, address string) (settings.ConsoleTLS, *x509.CertPool) {
	t.Helper()
	is := is.New(t)
	host, _, err := net.SplitHostPort(address)
	is.NoErr(err)
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	is.NoErr(err)
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
		IPAddresses: []net.IP{net.ParseIP(host)}, IsCA: true, BasicConstraintsValid: true,
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	is.NoErr(err)
	rawKey, err := x509.MarshalPKCS8PrivateKey(key)
	is.NoErr(err)
	dir := t.TempDir()
	files := settings.ConsoleTLS{CertFile: filepath.Join(dir, "cert.pem"), KeyFile: filepath.Join(dir, "key.pem")}
	certPEM := pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: der})
	is.NoErr(os.WriteFile(files.CertFile, certPEM, 0o600))
	is.NoErr(os.WriteFile(files.KeyFile, pem.EncodeToMemory(&pem.Block{Type: "PRIVATE KEY", Bytes: rawKey}), 0o600))
	pool := x509.NewCertPool()
	is.True(pool.AppendCertsFromPEM(certPEM))
	return files, pool
}

func TestRunServesHTTPSAndStops(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	files, pool := writeCertificate(t, testAddress)
	s := &settings.Console{
		Address: testAddress, AdminAddress: testAdminAddress, DocumentFile: "../../deploy/lobue/document.json", TLS: files,
		Operators: []settings.Operator{{User: "anna", Bcrypt: passwordHash()}},
		Sessions:  settings.Sessions{Idle: settings.Duration(time.Minute), Lifetime: settings.Duration(time.Hour), Max: 2},
	}
	c := New(s, clockwork.NewRealClock(), zerolog.Nop())
	is.NoErr(c.CheckFiles())
	ctx, stop := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- c.Run(ctx) }()
	client := &http.Client{
		Transport:     &http.Transport{TLSClientConfig: &tls.Config{RootCAs: pool}},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
	form := url.Values{"user": {"anna"}, "password": {password}}
	var resp *http.Response
	for deadline := time.Now().Add(20 * time.Second); resp == nil; time.Sleep(10 * time.Millisecond) {
		var err error
		if resp, err = client.PostForm("https://"+testAddress+"/login", form); err != nil && time.Now().After(deadline) {
			t.Fatal(err)
		}
	}
	defer resp.Body.Close()
	is.Equal(resp.StatusCode, http.StatusSeeOther)
	is.Equal(len(resp.Cookies()), 1)
	is.True(resp.Cookies()[0].Secure)
	client.CloseIdleConnections()
	stop()
	select {
	case err := <-done:
		is.NoErr(err)
	case <-time.After(20 * time.Second):
		t.Fatal("Run did not return after its context was cancelled")
	}
}
