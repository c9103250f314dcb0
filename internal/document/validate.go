package document

import (
	"encoding/hex"
	"fmt"
	"net"
	"net/netip"
	"strconv"
	"strings"
)

// Problem is one fault of a document: where it is, what was found and what would be right.
type Problem struct {
	Field string `json:"field"`
	Value string `json:"value"`
	Want  string `json:"want"`
}

// String returns the problem on one line.
func (p Problem) String() string {
	return fmt.Sprintf("field %s: value %q: want %s", p.Field, p.Value, p.Want)
}

// ValidationError holds every problem found in a document.
type ValidationError struct {
	Problems []Problem
}

// Error returns all problems, separated by semicolons.
func (e *ValidationError) Error() string {
	lines := make([]string, len(e.Problems))
	for i, p := range e.Problems {
		lines[i] = p.String()
	}
	return "document is invalid: " + strings.Join(lines, "; ")
}

// Validate returns a *ValidationError that lists every problem, or nil.
func (d *Document) Validate() error {
	v := &validator{names: map[string]bool{}}
	v.header(d)
	v.dataCentres(d)
	v.pools(d)
	v.teams(d)
	v.routes(d)
	if len(v.problems) == 0 {
		return nil
	}
	return &ValidationError{Problems: v.problems}
}

// validator collects problems; names holds "kind/name" of everything declared so far.
type validator struct {
	problems []Problem
	names    map[string]bool
}

func (v *validator) add(field, value, want string) {
	v.problems = append(v.problems, Problem{Field: field, Value: value, Want: want})
}

func (v *validator) declare(kind, field, name string) {
	if name == "" {
		v.add(field, name, "a name")
		return
	}
	id := kind + "/" + name
	if v.names[id] {
		v.add(field, name, "a name used once among "+kind+"s")
	}
	v.names[id] = true
}

func (v *validator) known(kind, field, name string) {
	if !v.names[kind+"/"+name] {
		v.add(field, name, "the name of a "+kind+" in this document")
	}
}

func (v *validator) address(field, value string) {
	if !ValidAddress(value) {
		v.add(field, value, "IP:port with a port of 1 to 65535")
	}
}

// ValidAddress reports whether value is an IP literal with a port, such as "127.10.1.1:8080".
func ValidAddress(value string) bool {
	host, port, err := net.SplitHostPort(value)
	if err != nil {
		return false
	}
	if _, err := netip.ParseAddr(host); err != nil {
		return false
	}
	n, err := strconv.Atoi(port)
	return err == nil && n >= 1 && n <= 65535
}

func (v *validator) state(field string, s State) {
	if s != StateIn && s != StateOut {
		v.add(field, string(s), `"in" or "out"`)
	}
}

func (v *validator) header(d *Document) {
	if d.Schema != SchemaVersion {
		v.add("schema", strconv.Itoa(d.Schema), strconv.Itoa(SchemaVersion))
	}
	if d.Fleet == "" {
		v.add("fleet", d.Fleet, "the fleet's name")
	}
	if d.Version == 0 {
		v.add("version", "0", "a version of at least 1")
	}
	if d.Parent.Version >= d.Version && d.Version != 0 {
		v.add("parent.version", strconv.FormatUint(d.Parent.Version, 10), "a version below "+strconv.FormatUint(d.Version, 10))
	}
}

func (v *validator) dataCentres(d *Document) {
	if len(d.DataCentres) == 0 {
		v.add("data_centres", "[]", "at least one data centre")
	}
	for i, dc := range d.DataCentres {
		at := fmt.Sprintf("data_centres[%d]", i)
		v.declare("data centre", at+".name", dc.Name)
		v.state(at+".state", dc.State)
		for j, h := range dc.Hosts {
			hostAt := fmt.Sprintf("%s.hosts[%d]", at, j)
			v.declare("host", hostAt+".name", h.Name)
			v.address(hostAt+".caller_address", h.CallerAddress)
			v.address(hostAt+".peer_address", h.PeerAddress)
			v.address(hostAt+".admin_address", h.AdminAddress)
		}
	}
}

func (v *validator) pools(d *Document) {
	for i, p := range d.Pools {
		at := fmt.Sprintf("pools[%d]", i)
		v.declare("pool", at+".name", p.Name)
		if p.Kind != KindEngine && p.Kind != KindService {
			v.add(at+".kind", string(p.Kind), `"engine" or "service"`)
		}
		if p.LoadFactor < 1 {
			v.add(at+".load_factor", strconv.FormatFloat(p.LoadFactor, 'g', -1, 64), "at least 1")
		}
		for j, u := range p.Upstreams {
			v.upstream(fmt.Sprintf("%s.upstreams[%d]", at, j), u)
		}
	}
}

func (v *validator) upstream(at string, u Upstream) {
	v.declare("upstream", at+".name", u.Name)
	v.known("data centre", at+".data_centre", u.DataCentre)
	v.address(at+".address", u.Address)
	v.state(at+".state", u.State)
	if u.Capacity < 1 {
		v.add(at+".capacity", strconv.Itoa(u.Capacity), "at least 1")
	}
}

func (v *validator) teams(d *Document) {
	for i, t := range d.Teams {
		at := fmt.Sprintf("teams[%d]", i)
		v.declare("team", at+".name", t.Name)
		if t.RatePerSecond <= 0 {
			v.add(at+".rate_per_second", strconv.FormatFloat(t.RatePerSecond, 'g', -1, 64), "a rate above 0")
		}
		if t.Burst < 1 {
			v.add(at+".burst", strconv.FormatFloat(t.Burst, 'g', -1, 64), "a burst of at least 1 request")
		}
		if t.Weight < 0 {
			v.add(at+".weight", strconv.Itoa(t.Weight), "0 or more")
		}
		for j, k := range t.Keys {
			v.key(fmt.Sprintf("%s.keys[%d]", at, j), k)
		}
	}
}

func (v *validator) key(at string, k Key) {
	if k.ID == "" {
		v.add(at+".id", k.ID, "an identifier")
	}
	raw, err := hex.DecodeString(k.SHA256)
	if err != nil || len(raw) != 32 || strings.ToLower(k.SHA256) != k.SHA256 {
		v.add(at+".sha256", k.SHA256, "64 lower-case hexadecimal digits")
		return
	}
	v.declare("key hash", at+".sha256", k.SHA256)
}

func (v *validator) routes(d *Document) {
	for i, r := range d.Routes {
		at := fmt.Sprintf("routes[%d]", i)
		v.declare("route", at+".name", r.Name)
		if !strings.HasPrefix(r.Path, "/") {
			v.add(at+".path", r.Path, "a path that begins with /")
		}
		if len(r.Methods) == 0 {
			v.add(at+".methods", "[]", "at least one HTTP method")
		}
		v.known("pool", at+".pool", r.Pool)
		for j, team := range r.Teams {
			v.known("team", fmt.Sprintf("%s.teams[%d]", at, j), team)
		}
		if r.Open && len(r.Teams) > 0 {
			v.add(at+".open", "true", "false on a route that lists teams")
		}
	}
}
