package testfleet

import (
	"encoding/binary"
	"net"

	"golang.org/x/sys/unix"
)

// Offsets in the TCP header, and its length without options.
const (
	tcpSource      = 0
	tcpDestination = 2
	tcpSequence    = 4
	tcpAcknowledge = 8
	tcpHeaderWords = 12
	tcpFlags       = 13
	tcpChecksum    = 16
	tcpHeaderBytes = 20

	flagSYN, flagRST, flagACK = 0x02, 0x04, 0x10
)

// onlySYN is a packet filter that passes packets that open TCP connections.
var onlySYN = []unix.SockFilter{
	{Code: unix.BPF_LD | unix.BPF_B | unix.BPF_ABS, K: ipv4HeaderBytes + tcpFlags},
	{Code: unix.BPF_JMP | unix.BPF_JEQ | unix.BPF_K, Jf: 1, K: flagSYN},
	{Code: unix.BPF_RET | unix.BPF_K, K: ipv4HeaderBytes + tcpHeaderBytes},
	{Code: unix.BPF_RET | unix.BPF_K},
}

const ipv4HeaderBytes = 20

// startRejecting makes the target's proxies answer SYNs with a reset on links that are cut like that. The listeners drop these
// SYNs. The caller must hold mu.
func (n *Network) startRejecting(to string) {
	if n.rejecting[to] {
		return
	}
	n.rejecting[to] = true
	for _, l := range n.listeners[to] {
		address := l.Addr().(*net.TCPAddr)
		conn, err := net.ListenIP("ip4:tcp", &net.IPAddr{IP: address.IP})
		if err != nil {
			n.t.Fatalf("raw sockets need CAP_NET_RAW, which unshare -r -n gives: %v", err)
		}
		n.t.Cleanup(func() { conn.Close() })
		n.filter(conn, onlySYN)
		go n.reject(conn, address.Port, to)
	}
}

func (n *Network) reject(conn *net.IPConn, port int, to string) {
	segment := make([]byte, ipv4HeaderBytes+tcpHeaderBytes) // ReadFromIP removes the header after it has read it
	for {
		count, from, err := conn.ReadFromIP(segment)
		if err != nil {
			return
		}
		n.mu.Lock()
		how := n.cuts[link{from: from.String(), to: to}]
		n.mu.Unlock()
		if how.rejectsNew() && count == tcpHeaderBytes && int(binary.BigEndian.Uint16(segment[tcpDestination:])) == port {
			local := conn.LocalAddr().(*net.IPAddr).IP
			_, _ = conn.WriteToIP(resetOf(segment, local, from.IP), from)
		}
	}
}

// resetOf returns the segment that resets the connection that the SYN opens.
func resetOf(syn []byte, from, to net.IP) []byte {
	reset := make([]byte, tcpHeaderBytes)
	copy(reset[tcpSource:], syn[tcpDestination:tcpSequence])
	copy(reset[tcpDestination:], syn[tcpSource:tcpDestination])
	binary.BigEndian.PutUint32(reset[tcpAcknowledge:], binary.BigEndian.Uint32(syn[tcpSequence:])+1)
	reset[tcpHeaderWords] = tcpHeaderBytes / 4 << 4
	reset[tcpFlags] = flagRST | flagACK
	pseudoHeader := append(append([]byte{}, from.To4()...), to.To4()...)
	pseudoHeader = append(pseudoHeader, 0, unix.IPPROTO_TCP, 0, tcpHeaderBytes)
	binary.BigEndian.PutUint16(reset[tcpChecksum:], checksum(append(pseudoHeader, reset...)))
	return reset
}

// checksum returns the Internet checksum of an even number of bytes.
func checksum(b []byte) uint16 {
	var sum uint32
	for i := 0; i < len(b); i += 2 {
		sum += uint32(binary.BigEndian.Uint16(b[i:]))
	}
	for sum > 0xffff {
		sum = sum>>16 + sum&0xffff
	}
	return ^uint16(sum)
}
