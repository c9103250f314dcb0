package gateway

import (
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"

	"github.com/orioleusher/orioleusher/internal/testconn"
	"github.com/orioleusher/orioleusher/internal/upconn"
)

// relayDelay is how long the end of a connection takes from a host to its peer.
const relayDelay = 300 * time.Millisecond

// startRelay forwards connections to the address. Only the end of a connection reaches the client late.
func startRelay(t *testing.T, address string) string {
	t.Helper()
	return testconn.Listen(t, "127.0.0.1:0", func(client net.Conn) {
		server, err := net.Dial("tcp", address)
		if err != nil {
			client.Close()
			return
		}
		go func() {
			_, _ = io.Copy(server, client)
			server.Close()
		}()
		_, _ = io.Copy(client, server)
		time.Sleep(relayDelay)
		client.Close()
	})
}

// Guards against a call to a peer that fails because it is sent on a connection that the peer is just closing as idle.
func TestCallAtIdleTimeoutOfPeerIsAnswered(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	server := newPeerServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "ok") }))
	go func() { _ = server.Serve(l) }()
	defer server.Close()
	client := &http.Client{Transport: NewTransport(upconn.NewPool(nil, clockwork.NewRealClock()))}
	address := startRelay(t, l.Addr().String())
	call := func() {
		resp, err := client.Post("http://"+address, "application/protobuf", strings.NewReader("body"))
		is.NoErr(err)
		defer resp.Body.Close()
		_, err = io.Copy(io.Discard, resp.Body)
		is.NoErr(err)
	}
	call()
	time.Sleep(peerIdleTimeout + relayDelay/3)
	call()
}
