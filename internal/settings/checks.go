package settings

import (
	"fmt"
	"net"
	"net/netip"
	"net/url"
	"strconv"
	"time"

	"github.com/rs/zerolog"

	"github.com/orioleusher/orioleusher/internal/document"
)

// checks collects problems.
type checks struct {
	problems []Problem
	// addresses are the listen addresses checked so far, in order.
	addresses []namedAddress
}

type namedAddress struct {
	field, value string
}

func newChecks() *checks { return &checks{} }

func (c *checks) add(field, value, want string) {
	c.problems = append(c.problems, Problem{Field: field, Value: value, Want: want})
}

func (c *checks) text(field, value string) {
	if !document.ValidName(value) {
		c.add(field, value, "a name of 1 to 64 letters, digits, dots, hyphens and underscores")
	}
}

func (c *checks) present(field, value, want string) {
	if value == "" {
		c.add(field, value, want)
	}
}

// address checks a listen address; distinct compares it with the others.
func (c *checks) address(field, value string) {
	if !document.ValidAddress(value) {
		c.add(field, value, document.AddressWant)
		return
	}
	c.addresses = append(c.addresses, namedAddress{field: field, value: value})
}

// specific refuses addresses of all interfaces, such as 0.0.0.0, from which no connection can be made.
func (c *checks) specific(field, value string) {
	if unspecified(value) {
		c.add(field, value, "the host's own IP, since connections to peers and upstreams come from it")
	}
}

func unspecified(address string) bool {
	host, _, _ := net.SplitHostPort(address)
	ip, err := netip.ParseAddr(host)
	return err == nil && ip.IsUnspecified()
}

// distinct reports listen addresses that cannot both be used.
func (c *checks) distinct() {
	for i, a := range c.addresses {
		for _, b := range c.addresses[:i] {
			if clash(a.value, b.value) {
				c.add(a.field, a.value, "an address that does not clash with "+b.field+" "+b.value)
				break
			}
		}
	}
}

func clash(a, b string) bool {
	_, portA, _ := net.SplitHostPort(a)
	_, portB, _ := net.SplitHostPort(b)
	return a == b || portA == portB && (unspecified(a) || unspecified(b))
}

func (c *checks) seeds(seeds []string) {
	seen := map[string]bool{}
	for i, seed := range seeds {
		field := fmt.Sprintf("seed_peers[%d]", i)
		switch {
		case !document.ValidAddress(seed):
			c.add(field, seed, document.AddressWant)
		case seen[seed]:
			c.add(field, seed, "an address listed once")
		}
		seen[seed] = true
	}
}

func (c *checks) url(field, value string) {
	u, err := url.Parse(value)
	if err != nil || u.Host == "" || (u.Scheme != "http" && u.Scheme != "https") {
		c.add(field, value, "a URL that begins with http:// or https://")
	}
}

func (c *checks) between(field string, value Duration, low, high time.Duration) {
	if value.Std() < low || value.Std() > high {
		c.add(field, value.Std().String(), low.String()+" to "+high.String())
	}
}

func (c *checks) betweenInt(field string, value, low, high int64) {
	if value < low || value > high {
		c.add(field, strconv.FormatInt(value, 10), fmt.Sprintf("%d to %d", low, high))
	}
}

func (c *checks) number(field string, value, high float64) {
	if value < 0 || value > high {
		c.add(field, strconv.FormatFloat(value, 'g', -1, 64), fmt.Sprintf("0 to %g", high))
	}
}

func (c *checks) log(l Log) {
	if l.Level == "" {
		return
	}
	level, err := zerolog.ParseLevel(l.Level)
	if err != nil || level < zerolog.DebugLevel || level > zerolog.ErrorLevel {
		c.add("log.level", l.Level, "debug, info, warn or error")
	}
}

func (c *checks) policy(p RoutingPolicy) {
	switch p {
	case PolicyBounded, PolicyRandom, PolicyRoundRobin, PolicyRendezvous, PolicyDirect:
	default:
		c.add("routing_policy", string(p), "bounded, random, round-robin, rendezvous or direct")
	}
}

func (c *checks) limits(l Limits) {
	c.betweenInt("limits.header_bytes", int64(l.HeaderBytes), minHeaderBytes, maxHeaderBytes)
	c.betweenInt("limits.body_bytes", l.BodyBytes, minBodyBytes, maxBodyBytes)
	c.betweenInt("limits.total_body_bytes", l.TotalBodyBytes, l.BodyBytes, maxTotalBody)
}

func (c *checks) timeouts(t Timeouts) {
	c.between("timeouts.header", t.Header, minTimeout, maxTimeout)
	c.between("timeouts.body", t.Body, t.Header.Std(), maxTimeout)
	c.between("timeouts.write", t.Write, minTimeout, maxTimeout)
	c.between("timeouts.idle", t.Idle, minTimeout, maxTimeout)
	c.between("timeouts.connect", t.Connect, minTimeout, maxTimeout)
	c.between("timeouts.first_byte", t.FirstByte, minTimeout, maxTimeout)
	c.between("timeouts.between_bytes", t.BetweenBytes, minTimeout, maxTimeout)
	c.between("timeouts.request", t.Request, t.FirstByte.Std(), maxTimeout)
	c.between("timeouts.drain", t.Drain, minTimeout, maxTimeout)
	c.between("timeouts.stop", t.Stop, minTimeout, maxTimeout)
}

func (c *checks) peerTLS(t PeerTLS) {
	if t.Plaintext {
		return
	}
	const want = `a PEM file, or peer_tls.plaintext set to true`
	if t.CertFile == "" {
		c.add("peer_tls.cert_file", "", want)
	}
	if t.KeyFile == "" {
		c.add("peer_tls.key_file", "", want)
	}
	if t.CAFile == "" {
		c.add("peer_tls.ca_file", "", want)
	}
}
