// Package peertls provides the TLS configuration for connections between hosts, from this host's certificate and the
// deployment's CA. The files are reloaded when they change. Both ends of a connection must present a certificate signed
// by that CA.
package peertls

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"net"
	"os"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"github.com/orioleusher/orioleusher/internal/settings"
)

// checkInterval is the shortest time between two checks of the files.
const checkInterval = time.Second

// CertReloader holds the certificate and the CA in use. It is safe for concurrent use.
type CertReloader struct {
	files settings.PeerTLS
	clock clockwork.Clock
	log   zerolog.Logger

	mu        sync.Mutex
	lastCheck time.Time
	stamps    [3]fileStamp
	cert      tls.Certificate
	leaf      *x509.Certificate
	ca        *x509.CertPool
	state     State
}

// fileStamp is compared to detect that a file has changed.
type fileStamp struct {
	modified time.Time
	size     int64
}

// State is the reloader's section of the state dump.
type State struct {
	// Plaintext is set if TLS is turned off in the settings.
	Plaintext bool      `json:"plaintext"`
	Loaded    time.Time `json:"loaded"`
	Loads     int       `json:"loads"`
	NotAfter  time.Time `json:"not_after"`
	// LastError is why the current content of the files could not be loaded; the content loaded before remains in use.
	LastError string `json:"last_error,omitempty"`
}

// New loads the files. It returns nil if the settings ask for plaintext.
func New(files settings.PeerTLS, clock clockwork.Clock, log zerolog.Logger) (*CertReloader, error) {
	if files.Plaintext {
		return nil, nil
	}
	r := &CertReloader{files: files, clock: clock, log: log}
	stamps, err := r.stat()
	if err != nil {
		return nil, err
	}
	return r, r.load(stamps)
}

func (r *CertReloader) stat() (stamps [3]fileStamp, err error) {
	for i, name := range []string{r.files.CertFile, r.files.KeyFile, r.files.CAFile} {
		info, err := os.Stat(name)
		if err != nil {
			return stamps, errors.Wrap(err, "stat peer TLS file")
		}
		stamps[i] = fileStamp{modified: info.ModTime(), size: info.Size()}
	}
	return stamps, nil
}

func (r *CertReloader) load(stamps [3]fileStamp) error {
	cert, err := tls.LoadX509KeyPair(r.files.CertFile, r.files.KeyFile)
	if err != nil {
		return errors.Wrapf(err, "load peer certificate %s", r.files.CertFile)
	}
	leaf, err := x509.ParseCertificate(cert.Certificate[0])
	if err != nil {
		return errors.Wrapf(err, "parse peer certificate %s", r.files.CertFile)
	}
	raw, err := os.ReadFile(r.files.CAFile)
	if err != nil {
		return errors.Wrap(err, "read peer CA file")
	}
	ca := x509.NewCertPool()
	if !ca.AppendCertsFromPEM(raw) {
		return errors.Errorf("peer CA file %s contains no valid certificate", r.files.CAFile)
	}
	r.cert, r.leaf, r.ca, r.stamps = cert, leaf, ca, stamps
	r.state.Loaded, r.state.NotAfter, r.state.LastError = r.clock.Now(), leaf.NotAfter, ""
	r.state.Loads++
	return nil
}

// refresh reloads the files if they have changed. The caller holds mu.
func (r *CertReloader) refresh() {
	now := r.clock.Now()
	if now.Sub(r.lastCheck) < checkInterval {
		return
	}
	r.lastCheck = now
	stamps, err := r.stat()
	if err == nil && stamps == r.stamps {
		return
	}
	if err == nil {
		err = r.load(stamps)
	}
	if err != nil {
		r.state.LastError = err.Error()
		r.log.Error().Str("event", "peer-tls-not-loaded").Err(err).Send()
		return
	}
	r.log.Info().Str("event", "peer-tls-loaded").Time("not_after", r.leaf.NotAfter).Send()
}

func (r *CertReloader) server() *tls.Config {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.refresh()
	return &tls.Config{
		MinVersion: tls.VersionTLS13, Certificates: []tls.Certificate{r.cert},
		ClientAuth: tls.RequireAndVerifyClientCert, ClientCAs: r.ca,
	}
}

func (r *CertReloader) client(host string) *tls.Config {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.refresh()
	return &tls.Config{
		MinVersion: tls.VersionTLS13, Certificates: []tls.Certificate{r.cert}, RootCAs: r.ca, ServerName: host,
	}
}

// Listener returns a TLS listener that uses the current certificate and CA for each new connection.
func (r *CertReloader) Listener(inner net.Listener) net.Listener {
	return tls.NewListener(inner, &tls.Config{
		MinVersion:         tls.VersionTLS13,
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) { return r.server(), nil },
	})
}

// Dial returns a function that connects with dial and performs a TLS handshake. The peer's certificate must contain the
// dialled IP address.
func (r *CertReloader) Dial(dial func(ctx context.Context, network, address string) (net.Conn, error)) func(ctx context.Context, network, address string) (net.Conn, error) {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		host, _, err := net.SplitHostPort(address)
		if err != nil {
			return nil, errors.Wrapf(err, "parse peer address %s", address)
		}
		inner, err := dial(ctx, network, address)
		if err != nil {
			return nil, errors.Wrapf(err, "connect to peer %s", address)
		}
		conn := tls.Client(inner, r.client(host))
		if err := conn.HandshakeContext(ctx); err != nil {
			inner.Close()
			return nil, errors.Wrapf(err, "TLS handshake with peer %s", address)
		}
		return conn, nil
	}
}

// State returns the current state. A nil reloader means plaintext.
func (r *CertReloader) State() State {
	if r == nil {
		return State{Plaintext: true}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.state
}
