package testfleet

import (
	"io"
	"net"
	"sync"
	"testing"
)

// Network is a set of TCP proxies between the processes of a test fleet. A link is named by the IP of the process that
// connects and the IP of the process that accepts.
type Network struct {
	t *testing.T

	mu    sync.Mutex
	cuts  map[link]Cut
	conns map[*pipe]struct{}
	bytes map[link]uint64
}

type link struct{ from, to string }

// Cut says how a link is cut.
type Cut int

// The ways to cut a link.
const (
	// CutRefuse closes open connections and refuses new ones.
	CutRefuse Cut = iota + 1
	// CutSilent swallows everything on open and new connections, as a lost path does.
	CutSilent
)

// pipe is one proxied connection.
type pipe struct {
	link   link
	client net.Conn
	server net.Conn
	// silent pipes have seen a silent cut; they stay silent for good.
	silent bool
	// bytes counts what passed in both directions.
	bytes uint64
}

// NewNetwork returns a network without cuts.
func NewNetwork(t *testing.T) *Network {
	return &Network{t: t, cuts: map[link]Cut{}, conns: map[*pipe]struct{}{}, bytes: map[link]uint64{}}
}

// Proxy listens on address and forwards to target until the test ends.
func (n *Network) Proxy(address, target string) {
	n.t.Helper()
	listener, err := net.Listen("tcp", address)
	if err != nil {
		n.t.Fatal(err)
	}
	n.t.Cleanup(func() { listener.Close() })
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
	p := &pipe{link: link{from: ipOf(client.RemoteAddr()), to: host}, client: client}
	n.mu.Lock()
	cut := n.cuts[p.link]
	n.mu.Unlock()
	if cut == CutRefuse {
		client.Close()
		return
	}
	server, err := net.Dial("tcp", target)
	if err != nil {
		client.Close()
		return
	}
	p.server = server
	n.mu.Lock()
	p.silent = cut == CutSilent
	n.conns[p] = struct{}{}
	n.mu.Unlock()
	var wg sync.WaitGroup
	wg.Go(func() { n.copy(p, server, client) })
	wg.Go(func() { n.copy(p, client, server) })
	wg.Wait()
	n.mu.Lock()
	delete(n.conns, p)
	n.mu.Unlock()
}

// copy moves bytes until either end closes, and then closes both.
func (n *Network) copy(p *pipe, to, from net.Conn) {
	defer p.close()
	buf := make([]byte, 32<<10)
	for {
		count, err := from.Read(buf)
		n.mu.Lock()
		silent := p.silent
		if !silent {
			n.bytes[p.link] += uint64(count)
			p.bytes += uint64(count)
		}
		n.mu.Unlock()
		if silent {
			_, _ = io.Copy(io.Discard, from)
			return
		}
		if _, werr := to.Write(buf[:count]); werr != nil || err != nil {
			return
		}
	}
}

func (p *pipe) close() {
	p.client.Close()
	p.server.Close()
}

// Cut cuts the link on which from connects to to.
func (n *Network) Cut(from, to string, how Cut) {
	n.mu.Lock()
	defer n.mu.Unlock()
	l := link{from: from, to: to}
	n.cuts[l] = how
	for p := range n.conns {
		if p.link != l {
			continue
		}
		if how == CutSilent {
			p.silent = true
		} else {
			p.close()
		}
	}
}

// SilenceBusiest makes the open connection from from to to that carried the most bytes silent for good.
func (n *Network) SilenceBusiest(from, to string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	var busiest *pipe
	for p := range n.conns {
		if p.link == (link{from: from, to: to}) && (busiest == nil || p.bytes > busiest.bytes) {
			busiest = p
		}
	}
	if busiest != nil {
		busiest.silent = true
	}
}

// CutBoth cuts the links between a and b in both directions.
func (n *Network) CutBoth(a, b string, how Cut) {
	n.Cut(a, b, how)
	n.Cut(b, a, how)
}

// Heal mends every link. Connections that went silent stay silent.
func (n *Network) Heal() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cuts = map[link]Cut{}
}

// Bytes returns the bytes that passed in both directions on connections that from opened to to.
func (n *Network) Bytes(from, to string) uint64 {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.bytes[link{from: from, to: to}]
}
