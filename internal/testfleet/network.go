package testfleet

import (
	"context"
	"encoding/binary"
	"io"
	"math"
	"net"
	"sync"
	"syscall"
	"testing"

	"github.com/pkg/errors"
	"golang.org/x/sys/unix"

	"github.com/orioleusher/orioleusher/internal/rawsocket"
)

// Network is a set of TCP proxies between the processes of a test fleet. A link is identified by the IP of the process
// that connects and the IP of the process that accepts.
type Network struct {
	t *testing.T

	mu    sync.Mutex
	cuts  map[link]Cut
	conns map[*proxyConn]struct{}
	bytes map[link]uint64
	// listeners are the proxies' listeners by the IP of the target.
	listeners map[string][]net.Listener
}

type link struct{ from, to string }

// Cut is the way in which a link is cut.
type Cut int

// The ways to cut a link.
const (
	// CutRefuse closes open connections and refuses new ones.
	CutRefuse Cut = iota + 1
	// CutBlackhole discards all data on open and new connections without closing them, like a middlebox that has lost its state.
	CutBlackhole
	// CutDrop drops all packets, as a partition does: connecting gets no answer, and data waits in the kernel of the sender,
	// which sends it again until it arrives after Heal or the sender's kernel gives the connection up.
	CutDrop
	// CutReject resets open connections and new ones.
	CutReject
	// CutNew resets new connections and lets open ones live on.
	CutNew
)

// rejectsNew reports whether new connections are reset.
func (c Cut) rejectsNew() bool { return c == CutReject || c == CutNew }

// proxyConn is one proxied connection.
type proxyConn struct {
	link   link
	client net.Conn
	server net.Conn
	// blackholed is set by CutBlackhole and never reset, because data of the connection has been lost.
	blackholed bool
	// bytes is the number of bytes forwarded in both directions.
	bytes uint64
	// held is set while packets of the connection are dropped. It is closed when the link heals.
	held chan struct{}
}

// NewNetwork returns a network without cuts.
func NewNetwork(t *testing.T) *Network {
	n := &Network{
		t: t, cuts: map[link]Cut{}, conns: map[*proxyConn]struct{}{}, bytes: map[link]uint64{},
		listeners: map[string][]net.Listener{},
	}
	t.Cleanup(n.Heal)
	return n
}

// Proxy listens on address and forwards to target until the test ends.
func (n *Network) Proxy(address, target string) {
	n.t.Helper()
	var config net.ListenConfig
	config.SetMultipathTCP(false) // its sockets have no packet filters
	listener, err := config.Listen(context.Background(), "tcp", address)
	if err != nil {
		n.t.Fatal(err)
	}
	n.t.Cleanup(func() { listener.Close() })
	host, _, _ := net.SplitHostPort(target)
	n.mu.Lock()
	n.listeners[host] = append(n.listeners[host], listener)
	n.mu.Unlock()
	go func() {
		for {
			client, err := listener.Accept()
			if err != nil {
				return
			}
			go n.serve(client, target)
		}
	}()
}

func ipOf(a net.Addr) string {
	host, _, _ := net.SplitHostPort(a.String())
	return host
}

func (n *Network) serve(client net.Conn, target string) {
	host, _, _ := net.SplitHostPort(target)
	p := &proxyConn{link: link{from: ipOf(client.RemoteAddr()), to: host}, client: client}
	n.mu.Lock()
	cut := n.cuts[p.link]
	n.mu.Unlock()
	switch {
	case cut == CutRefuse:
		client.Close()
		return
	case cut.rejectsNew():
		_ = client.(*net.TCPConn).SetLinger(0) // Close resets the connection
		client.Close()
		return
	}
	// The target sees the client's address, by which tests tell clients apart.
	dialer := net.Dialer{LocalAddr: &net.TCPAddr{IP: client.RemoteAddr().(*net.TCPAddr).IP}}
	server, err := dialer.Dial("tcp", target)
	if err != nil {
		client.Close()
		return
	}
	p.server = server
	n.mu.Lock()
	n.conns[p] = struct{}{}
	if cut := n.cuts[p.link]; cut != CutNew {
		n.cut(p, cut)
	}
	n.mu.Unlock()
	var wg sync.WaitGroup
	wg.Go(func() { n.copy(p, server, client) })
	wg.Go(func() { n.copy(p, client, server) })
	wg.Wait()
	n.mu.Lock()
	delete(n.conns, p)
	n.mu.Unlock()
}

// copy forwards bytes until either end closes, and then closes both. While packets are dropped, the client receives nothing.
func (n *Network) copy(p *proxyConn, to, from net.Conn) {
	defer p.close()
	defer n.awaitHeal(p)
	buf := make([]byte, 32<<10)
	for {
		count, err := from.Read(buf)
		n.mu.Lock()
		blackholed := p.blackholed
		if !blackholed {
			n.bytes[p.link] += uint64(count)
			p.bytes += uint64(count)
		}
		n.mu.Unlock()
		if blackholed {
			_, _ = io.Copy(io.Discard, from)
			return
		}
		if to == p.client {
			n.awaitHeal(p)
		}
		if _, werr := to.Write(buf[:count]); werr != nil || err != nil {
			return
		}
	}
}

// reset closes both connections without waiting for data that was not sent yet.
func (p *proxyConn) reset() {
	_ = p.client.(*net.TCPConn).SetLinger(0)
	_ = p.server.(*net.TCPConn).SetLinger(0)
	p.close()
}

func (p *proxyConn) close() {
	p.client.Close()
	p.server.Close()
}

// awaitHeal blocks while packets of the connection are dropped.
func (n *Network) awaitHeal(p *proxyConn) {
	n.mu.Lock()
	held := p.held
	n.mu.Unlock()
	if held != nil {
		<-held
	}
}

// Cut cuts the link on which the process at from connects to the process at to.
func (n *Network) Cut(from, to string, how Cut) {
	n.mu.Lock()
	defer n.mu.Unlock()
	l := link{from: from, to: to}
	n.cuts[l] = how
	n.filterNew(to)
	for p := range n.conns {
		if p.link == l {
			n.cut(p, how)
		}
	}
}

// cut applies the cut to an open connection. The caller must hold mu.
func (n *Network) cut(p *proxyConn, how Cut) {
	switch how {
	case CutRefuse:
		p.close()
	case CutReject:
		p.reset()
	case CutBlackhole:
		p.blackholed = true
	case CutDrop:
		if p.held == nil {
			p.held = make(chan struct{})
			n.filter(p.client, dropAll)
		}
	}
}

// dropAll is a packet filter that drops every packet.
var dropAll = []unix.SockFilter{{Code: unix.BPF_RET | unix.BPF_K}}

// filterNew makes the proxies of the target drop the packets that open connections on links on which packets are dropped. The caller must hold mu.
func (n *Network) filterNew(to string) {
	const (
		networkHeader = 0xfff00000 // SKF_NET_OFF of linux/filter.h
		sourceAddress = 12         // offset in the IPv4 header
	)
	filter := []unix.SockFilter{{Code: unix.BPF_LD | unix.BPF_W | unix.BPF_ABS, K: networkHeader + sourceAddress}}
	for l, how := range n.cuts {
		if l.to == to && how == CutDrop {
			source := binary.BigEndian.Uint32(net.ParseIP(l.from).To4())
			filter = append(filter, unix.SockFilter{Code: unix.BPF_JMP | unix.BPF_JEQ | unix.BPF_K, Jf: 1, K: source}, dropAll[0])
		}
	}
	if len(filter) == 1 {
		filter = nil
	} else {
		filter = append(filter, unix.SockFilter{Code: unix.BPF_RET | unix.BPF_K, K: math.MaxUint32})
	}
	for _, listener := range n.listeners[to] {
		n.filter(listener, filter)
	}
}

// filter attaches the packet filter to the socket of a connection or a listener, or detaches the one that it has if the
// filter is empty. Sockets that are closed need none.
func (n *Network) filter(c any, filter []unix.SockFilter) {
	socket, ok := rawsocket.Of(c)
	if !ok {
		n.t.Errorf("%T has no socket", c)
		return
	}
	var err error
	_ = socket.Control(func(fd uintptr) {
		if len(filter) > 0 {
			program := &unix.SockFprog{Len: uint16(len(filter)), Filter: &filter[0]}
			err = unix.SetsockoptSockFprog(int(fd), unix.SOL_SOCKET, unix.SO_ATTACH_FILTER, program)
		} else if err = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_DETACH_FILTER, 0); errors.Is(err, syscall.ENOENT) {
			err = nil
		}
	})
	if err != nil {
		n.t.Errorf("filter packets: %v", err)
	}
}

// BlackholeBusiest makes the open connection of the link that carried the most bytes discard all further data.
func (n *Network) BlackholeBusiest(from, to string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	var busiest *proxyConn
	for p := range n.conns {
		if p.link == (link{from: from, to: to}) && (busiest == nil || p.bytes > busiest.bytes) {
			busiest = p
		}
	}
	if busiest != nil {
		busiest.blackholed = true
	}
}

// CutBoth cuts the links between a and b in both directions.
func (n *Network) CutBoth(a, b string, how Cut) {
	n.Cut(a, b, how)
	n.Cut(b, a, how)
}

// Heal restores every link. Connections that have lost data continue to discard it; those whose packets were dropped go on.
func (n *Network) Heal() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cuts = map[link]Cut{}
	for to := range n.listeners {
		n.filterNew(to)
	}
	for p := range n.conns {
		if p.held != nil {
			n.filter(p.client, nil)
			close(p.held)
			p.held = nil
		}
	}
}

// Bytes returns the number of bytes forwarded in both directions on connections that from opened to to.
func (n *Network) Bytes(from, to string) uint64 {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.bytes[link{from: from, to: to}]
}
