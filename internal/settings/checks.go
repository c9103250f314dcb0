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

// checks validates settings and collects the problems found.
type checks struct {
	problems []Problem
	// addresses holds the listen addresses checked so far, in order.
	addresses []namedAddress
}

type namedAddress struct {
	field, value string
}

func newChecks() *checks { return &checks{} }

func (c *checks) add(field, value, want string) {
	c.problems = append(c.problems, Problem{Field: field, Value: value, Want: want})
}

func (c *checks) name(field, value string) {
	if !document.ValidName(value) {
		c.add(field, value, "a name of 1 to 64 letters, digits, dots, hyphens and underscores")
	}
}

func (c *checks) required(field, value, want string) {
	if value == "" {
		c.add(field, value, want)
	}
}

// address checks a listen address and keeps it for distinctAddresses.
func (c *checks) address(field, value string) {
	if !document.ValidAddress(value) {
		c.add(field, value, document.AddressFormat)
		return
	}
	c.addresses = append(c.addresses, namedAddress{field: field, value: value})
}

// specific rejects an unspecified address, such as 0.0.0.0. The host connects to peers and upstreams from this address.
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

// distinctAddresses reports listen addresses that conflict with each other.
func (c *checks) distinctAddresses() {
	for i, a := range c.addresses {
		for _, b := range c.addresses[:i] {
			if conflict(a.value, b.value) {
				c.add(a.field, a.value, "an address that does not clash with "+b.field+" "+b.value)
				break
			}
		}
	}
}

func conflict(a, b string) bool {
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
			c.add(field, seed, document.AddressFormat)
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

func (c *checks) durationRange(field string, value Duration, low, high time.Duration) {
	if value.Std() < low || value.Std() > high {
		c.add(field, value.Std().String(), low.String()+" to "+high.String())
	}
}

func (c *checks) intRange(field string, value, low, high int64) {
	if value < low || value > high {
		c.add(field, strconv.FormatInt(value, 10), fmt.Sprintf("%d to %d", low, high))
	}
}

func (c *checks) floatRange(field string, value, high float64) {
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
	c.intRange("limits.header_bytes", int64(l.HeaderBytes), minHeaderBytes, maxHeaderBytes)
	c.intRange("limits.body_bytes", l.BodyBytes, minBodyBytes, maxBodyBytes)
	c.intRange("limits.total_body_bytes", l.TotalBodyBytes, l.BodyBytes, maxTotalBodyBytes)
}

func (c *checks) timeouts(t Timeouts) {
	c.durationRange("timeouts.header", t.Header, minTimeout, maxTimeout)
	c.durationRange("timeouts.body", t.Body, t.Header.Std(), maxTimeout)
	c.durationRange("timeouts.write", t.Write, minTimeout, maxTimeout)
	c.durationRange("timeouts.idle", t.Idle, minTimeout, maxTimeout)
	c.durationRange("timeouts.connect", t.Connect, minTimeout, maxTimeout)
	c.durationRange("timeouts.first_byte", t.FirstByte, minTimeout, maxTimeout)
	c.durationRange("timeouts.between_bytes", t.BetweenBytes, minTimeout, maxTimeout)
	c.durationRange("timeouts.request", t.Request, t.FirstByte.Std(), maxTimeout)
	c.durationRange("timeouts.drain", t.Drain, minTimeout, maxTimeout)
	c.durationRange("timeouts.stop", t.Stop, minTimeout, maxTimeout)
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
