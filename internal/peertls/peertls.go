// Package peertls keeps the TLS configuration of the peer address: this host's certificate and the deployment's CA,
// read again when their files change. Both ends of a connection must show a certificate of that CA.
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

// lookInterval is the least time between two looks at the files.
const lookInterval = time.Second

// CertReloader holds the certificate and the CA in use. It is safe for concurrent use.
type CertReloader struct {
	files settings.PeerTLS
	clock clockwork.Clock
	log   zerolog.Logger

	mu     sync.Mutex
	looked time.Time
	stamps [3]stamp
	cert   tls.Certificate
	leaf   *x509.Certificate
	ca     *x509.CertPool
	state  State
}

// stamp tells whether a file changed.
type stamp struct {
	modified time.Time
	size     int64
}

// State is the keeper's section of the state dump.
type State struct {
	// Plaintext says that the settings turn TLS off.
	Plaintext bool      `json:"plaintext"`
	Loaded    time.Time `json:"loaded"`
	Loads     int       `json:"loads"`
	NotAfter  time.Time `json:"not_after"`
	// LastError is why the files' present content is not in use; what was loaded before stays.
	LastError string `json:"last_error,omitempty"`
}

// New loads the files. It returns nil if the settings ask for plaintext.
func New(files settings.PeerTLS, clock clockwork.Clock, log zerolog.Logger) (*CertReloader, error) {
	if files.Plaintext {
		return nil, nil
	}
	k := &CertReloader{files: files, clock: clock, log: log}
	stamps, err := k.stat()
	if err != nil {
		return nil, err
	}
	return k, k.load(stamps)
}

func (k *CertReloader) stat() (stamps [3]stamp, err error) {
	for i, name := range []string{k.files.CertFile, k.files.KeyFile, k.files.CAFile} {
		info, err := os.Stat(name)
		if err != nil {
			return stamps, errors.Wrap(err, "look at peer TLS file")
		}
		stamps[i] = stamp{modified: info.ModTime(), size: info.Size()}
	}
	return stamps, nil
}

func (k *CertReloader) load(stamps [3]stamp) error {
	cert, err := tls.LoadX509KeyPair(k.files.CertFile, k.files.KeyFile)
	if err != nil {
		return errors.Wrapf(err, "load peer certificate %s", k.files.CertFile)
	}
	leaf, err := x509.ParseCertificate(cert.Certificate[0])
	if err != nil {
		return errors.Wrapf(err, "parse peer certificate %s", k.files.CertFile)
	}
	raw, err := os.ReadFile(k.files.CAFile)
	if err != nil {
		return errors.Wrap(err, "read peer CA")
	}
	ca := x509.NewCertPool()
	if !ca.AppendCertsFromPEM(raw) {
		return errors.Errorf("peer CA file %s holds no certificate", k.files.CAFile)
	}
	k.cert, k.leaf, k.ca, k.stamps = cert, leaf, ca, stamps
	k.state.Loaded, k.state.NotAfter, k.state.LastError = k.clock.Now(), leaf.NotAfter, ""
	k.state.Loads++
	return nil
}

// refresh loads the files again if they changed. The caller holds mu.
func (k *CertReloader) refresh() {
	now := k.clock.Now()
	if now.Sub(k.looked) < lookInterval {
		return
	}
	k.looked = now
	stamps, err := k.stat()
	if err == nil && stamps == k.stamps {
		return
	}
	if err == nil {
		err = k.load(stamps)
	}
	if err != nil {
		k.state.LastError = err.Error()
		k.log.Error().Str("event", "peer-tls-not-loaded").Err(err).Send()
		return
	}
	k.log.Info().Str("event", "peer-tls-loaded").Time("not_after", k.leaf.NotAfter).Send()
}

func (k *CertReloader) server() *tls.Config {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.refresh()
	return &tls.Config{
		MinVersion: tls.VersionTLS13, Certificates: []tls.Certificate{k.cert},
		ClientAuth: tls.RequireAndVerifyClientCert, ClientCAs: k.ca,
	}
}

func (k *CertReloader) client(host string) *tls.Config {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.refresh()
	return &tls.Config{
		MinVersion: tls.VersionTLS13, Certificates: []tls.Certificate{k.cert}, RootCAs: k.ca, ServerName: host,
	}
}

// Listener returns a listener whose connections are TLS with the files' present content.
func (k *CertReloader) Listener(inner net.Listener) net.Listener {
	return tls.NewListener(inner, &tls.Config{
		MinVersion:         tls.VersionTLS13,
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) { return k.server(), nil },
	})
}

// Dial returns a function that connects with dial and speaks TLS. The peer's certificate must name the IP that was
// dialled.
func (k *CertReloader) Dial(dial func(ctx context.Context, network, address string) (net.Conn, error)) func(ctx context.Context, network, address string) (net.Conn, error) {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		host, _, err := net.SplitHostPort(address)
		if err != nil {
			return nil, errors.Wrapf(err, "peer address %s", address)
		}
		inner, err := dial(ctx, network, address)
		if err != nil {
			return nil, errors.Wrapf(err, "connect to peer %s", address)
		}
		conn := tls.Client(inner, k.client(host))
		if err := conn.HandshakeContext(ctx); err != nil {
			inner.Close()
			return nil, errors.Wrapf(err, "TLS with peer %s", address)
		}
		return conn, nil
	}
}

// State returns what is loaded. A nil keeper means plaintext.
func (k *CertReloader) State() State {
	if k == nil {
		return State{Plaintext: true}
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.state
}
