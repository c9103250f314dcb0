package testfleet

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"os"
	"testing"
	"time"

	"github.com/matryer/is"
)

const (
	networkBlock = 62
	cutTime      = 500 * time.Millisecond
)

// startEcho starts a server that echoes what it receives, behind a proxy, and returns the IPs of a client and the server.
func startEcho(t *testing.T) (n *Network, client, server string) {
	t.Helper()
	LockBlock(t, networkBlock)
	client, server = fmt.Sprintf("127.%d.1.1", networkBlock), fmt.Sprintf("127.%d.2.1", networkBlock)
	l, err := net.Listen("tcp", server+":8000")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				_, _ = io.Copy(c, c)
				c.Close()
			}()
		}
	}()
	n = NewNetwork(t)
	n.Proxy(server+":9000", server+":8000")
	return n, client, server
}

func dialFrom(client, server string) (net.Conn, error) {
	d := net.Dialer{LocalAddr: &net.TCPAddr{IP: net.ParseIP(client)}, Timeout: cutTime}
	return d.Dial("tcp", server+":9000")
}

// echo sends a line and waits until it comes back, for cutTime at most.
func echo(c net.Conn, line string) error {
	if _, err := io.WriteString(c, line+"\n"); err != nil {
		return err
	}
	return receive(c, line, cutTime)
}

func receive(c net.Conn, line string, timeout time.Duration) error {
	_ = c.SetReadDeadline(time.Now().Add(timeout))
	got, err := bufio.NewReader(c).ReadString('\n')
	if err == nil && got != line+"\n" {
		return fmt.Errorf("received %q", got)
	}
	return err
}

// Guards against a cut that loses or delivers what a partition would keep in the kernel of the sender.
func TestDroppedPacketsArriveAfterHeal(t *testing.T) {
	is := is.New(t)
	n, client, server := startEcho(t)
	open, err := dialFrom(client, server)
	is.NoErr(err)
	defer open.Close()
	other, err := dialFrom(fmt.Sprintf("127.%d.1.2", networkBlock), server)
	is.NoErr(err)
	defer other.Close()
	n.Cut(client, server, CutDrop)
	err = echo(open, "a")
	is.True(os.IsTimeout(err))
	_, err = dialFrom(client, server)
	is.True(os.IsTimeout(err)) // connecting hangs
	err = echo(other, "b")
	is.NoErr(err) // other links are not cut
	n.Heal()
	is.NoErr(receive(open, "a", 10*cutTime))
	again, err := dialFrom(client, server)
	is.NoErr(err)
	again.Close()
}

// Guards against a cut of new connections that harms open ones.
func TestOpenConnectionsLiveOnWhileNewOnesAreRefused(t *testing.T) {
	is := is.New(t)
	n, client, server := startEcho(t)
	open, err := dialFrom(client, server)
	is.NoErr(err)
	defer open.Close()
	err = echo(open, "a")
	is.NoErr(err)
	n.Cut(client, server, CutNew)
	err = echo(open, "b")
	is.NoErr(err)
	if c, err := dialFrom(client, server); err == nil {
		err = echo(c, "c")
		is.True(err != nil)
		c.Close()
	}
	n.Heal()
	again, err := dialFrom(client, server)
	is.NoErr(err)
	defer again.Close()
	err = echo(again, "d")
	is.NoErr(err)
}
