package peertls_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"os"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"github.com/orioleusher/orioleusher/internal/framing"
	"github.com/orioleusher/orioleusher/internal/peertls"
	"github.com/orioleusher/orioleusher/internal/peertls/certtest"
	"github.com/orioleusher/orioleusher/internal/settings"
)

const serverIP = "127.70.9.1"

func newReloader(t *testing.T, files settings.PeerTLS, clock clockwork.Clock) *peertls.CertReloader {
	t.Helper()
	r, err := peertls.New(files, clock, zerolog.Nop())
	if err != nil {
		t.Fatal(err)
	}
	return r
}

// serve responds with "ok" behind the reloader's listener and returns the address.
func serve(t *testing.T, r *peertls.CertReloader) string {
	t.Helper()
	listener, err := net.Listen("tcp", serverIP+":0")
	if err != nil {
		t.Fatal(err)
	}
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, "ok")
	})}
	go func() { _ = server.Serve(r.Listener(listener)) }()
	t.Cleanup(func() { server.Close() })
	return listener.Addr().String()
}

func call(r *peertls.CertReloader, address string) error {
	client := &http.Client{Timeout: 5 * time.Second, Transport: &http.Transport{
		DialTLSContext: r.Dial((&net.Dialer{}).DialContext), DisableKeepAlives: true,
	}}
	resp, err := client.Get("https://" + address)
	if err != nil {
		return err
	}
	return resp.Body.Close()
}

func TestOnlyPeersWithDeploymentCertificatesConnect(t *testing.T) {
	ours, theirs := certtest.NewCA(t), certtest.NewCA(t)
	clock := clockwork.NewRealClock()
	past := time.Now().Add(-time.Minute)
	good := func(t *testing.T) settings.PeerTLS { return ours.Write(t.TempDir(), time.Time{}, serverIP) }
	cases := []struct {
		name           string
		server, client func(t *testing.T) settings.PeerTLS
		ok             bool
	}{
		{"both certificates are from the deployment's CA", good, good, true},
		{"the client's certificate is from another CA", good, func(t *testing.T) settings.PeerTLS {
			files := theirs.Write(t.TempDir(), time.Time{}, serverIP)
			files.CAFile = good(t).CAFile
			return files
		}, false},
		{"the server's certificate is from another CA", func(t *testing.T) settings.PeerTLS {
			files := theirs.Write(t.TempDir(), time.Time{}, serverIP)
			files.CAFile = good(t).CAFile
			return files
		}, good, false},
		{"the client's certificate has expired", good, func(t *testing.T) settings.PeerTLS {
			return ours.Write(t.TempDir(), past, serverIP)
		}, false},
		{"the server's certificate names another IP", func(t *testing.T) settings.PeerTLS {
			return ours.Write(t.TempDir(), time.Time{}, "127.70.9.2")
		}, good, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			address := serve(t, newReloader(t, c.server(t), clock))
			err := call(newReloader(t, c.client(t), clock), address)
			t.Log(err)
			is.Equal(err == nil, c.ok)
		})
	}
}

// Guards against connections between hosts on which the scanner of requests breaks TLS, or does not see the requests.
func TestAmbiguousRequestOfPeerIsRefused(t *testing.T) {
	is := is.New(t)
	r := newReloader(t, certtest.NewCA(t).Write(t.TempDir(), time.Time{}, serverIP), clockwork.NewRealClock())
	listener, err := net.Listen("tcp", serverIP+":0")
	is.NoErr(err)
	reasons := make(chan framing.Reason, 1)
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "ok") })}
	go func() {
		_ = server.Serve(framing.Listen(r.Listener(listener), func(_ net.Addr, reason framing.Reason) { reasons <- reason }))
	}()
	t.Cleanup(func() { server.Close() })
	address := listener.Addr().String()
	is.NoErr(call(r, address))
	c, err := r.Dial((&net.Dialer{}).DialContext)(t.Context(), "tcp", address)
	is.NoErr(err)
	defer c.Close()
	_, err = io.WriteString(c, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n")
	is.NoErr(err)
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	is.NoErr(err)
	is.NoErr(resp.Body.Close())
	is.Equal(resp.StatusCode, http.StatusBadRequest)
	is.Equal(<-reasons, framing.BothLengths)
}

func TestPlaintextClientIsRefused(t *testing.T) {
	is := is.New(t)
	ours := certtest.NewCA(t)
	address := serve(t, newReloader(t, ours.Write(t.TempDir(), time.Time{}, serverIP), clockwork.NewRealClock()))
	resp, err := http.Get("http://" + address)
	if err == nil {
		defer resp.Body.Close()
		is.Equal(resp.StatusCode, http.StatusBadRequest)
	}
}

func TestChangedFilesAreReloadedAndInvalidOnesIgnored(t *testing.T) {
	is := is.New(t)
	clock := clockwork.NewFakeClockAt(time.Now())
	old, renewed := certtest.NewCA(t), certtest.NewCA(t)
	dir := t.TempDir()
	server := newReloader(t, old.Write(dir, time.Time{}, serverIP), clock)
	address := serve(t, server)
	oldPeer := newReloader(t, old.Write(t.TempDir(), time.Time{}, serverIP), clockwork.NewRealClock())
	newPeer := newReloader(t, renewed.Write(t.TempDir(), time.Time{}, serverIP), clockwork.NewRealClock())
	is.NoErr(call(oldPeer, address))
	is.True(call(newPeer, address) != nil)

	files := renewed.Write(dir, time.Time{}, serverIP)
	clock.Advance(2 * time.Second)
	is.NoErr(call(newPeer, address))
	is.True(call(oldPeer, address) != nil)

	is.NoErr(os.WriteFile(files.CertFile, []byte("not a certificate"), 0o600))
	clock.Advance(2 * time.Second)
	is.NoErr(call(newPeer, address))
	is.True(server.State().LastError != "")
	is.Equal(server.State().Loads, 2)
}

func TestPlaintextRequiresSetting(t *testing.T) {
	is := is.New(t)
	plaintext, err := peertls.New(settings.PeerTLS{Plaintext: true}, clockwork.NewRealClock(), zerolog.Nop())
	is.NoErr(err)
	is.True(plaintext == nil)
	is.True(plaintext.State().Plaintext)
	_, err = peertls.New(settings.PeerTLS{}, clockwork.NewRealClock(), zerolog.Nop())
	is.True(err != nil)
	is.Equal(call(newReloader(t, certtest.NewCA(t).Write(t.TempDir(), time.Time{}, serverIP), clockwork.NewRealClock()), "127.70.9.1:1") == nil, false)
}
