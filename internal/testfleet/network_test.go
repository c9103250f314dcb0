package testfleet

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"syscall"
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

// Guards against cuts that let new connections carry anything, and against a cut of new connections that harms open ones.
func TestNewConnectionsAreRefused(t *testing.T) {
	for _, test := range []struct {
		name    string
		how     Cut
		livesOn bool
	}{
		{"all", CutReject, false},
		{"new ones", CutNew, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			n, client, server := startEcho(t)
			open, err := dialFrom(client, server)
			is.NoErr(err)
			defer open.Close()
			is.NoErr(echo(open, "a"))
			n.Cut(client, server, test.how)
			err = echo(open, "b")
			is.Equal(err == nil, test.livesOn)
			is.Equal(errors.Is(err, syscall.ECONNRESET), !test.livesOn)
			began := time.Now()
			if opened, err := dialFrom(client, server); err == nil { // the reset may arrive before or after
				defer opened.Close()
				is.True(echo(opened, "x") != nil)
			}
			is.True(time.Since(began) < cutTime/2)
			other, err := dialFrom(fmt.Sprintf("127.%d.1.2", networkBlock), server)
			is.NoErr(err) // other links are not cut
			defer other.Close()
			is.NoErr(echo(other, "c"))
			n.Heal()
			again, err := dialFrom(client, server)
			is.NoErr(err)
			defer again.Close()
			is.NoErr(echo(again, "d"))
		})
	}
}
