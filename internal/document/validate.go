package document

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"net"
	"net/netip"
	"path"
	"strconv"
	"strings"

	"github.com/orioleusher/orioleusher/internal/strictjson"
)

// Problem is one fault of a document: where it is, what was found and what would be right.
type Problem = strictjson.Problem

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
	v := &validator{names: map[string]bool{}, addresses: map[string]string{}}
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

// validator collects problems.
type validator struct {
	problems []Problem
	// names holds "kind/name" of everything declared so far.
	names map[string]bool
	// addresses holds the field that declared each address.
	addresses map[string]string
}

func (v *validator) add(field, value, want string) {
	v.problems = append(v.problems, Problem{Field: field, Value: value, Want: want})
}

func (v *validator) declare(kind, field, name string) {
	if !ValidName(name) {
		v.add(field, name, nameWant)
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

// address declares an address, which no other field may use.
func (v *validator) address(field, value string) {
	if !ValidAddress(value) {
		v.add(field, value, AddressWant)
		return
	}
	if other, used := v.addresses[value]; used {
		v.add(field, value, "an address other than that of "+other)
		return
	}
	v.addresses[value] = field
}

// AddressWant describes what ValidAddress accepts.
const AddressWant = "IP:port with a port of 1 to 65535"

// MaxNameLength is the longest name, in bytes.
const MaxNameLength = 64

const nameWant = "a name of 1 to 64 letters, digits, dots, hyphens and underscores"

// ValidName reports whether name can stand in logs, metrics, URLs and headers without quoting.
func ValidName(name string) bool {
	return name != "" && len(name) <= MaxNameLength && !strings.ContainsFunc(name, notInNames)
}

func notInNames(r rune) bool {
	switch {
	case r >= 'a' && r <= 'z', r >= 'A' && r <= 'Z', r >= '0' && r <= '9', r == '.', r == '-', r == '_':
		return false
	default:
		return true
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
	if !ValidName(d.Fleet) {
		v.add("fleet", d.Fleet, nameWant)
	}
	if d.Parent.Hash != "" && !validHash(d.Parent.Hash) {
		v.add("parent.hash", d.Parent.Hash, hashWant)
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
		v.between(at+".load_factor", p.LoadFactor, 1, MaxLoadFactor)
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
	v.between(at+".capacity", float64(u.Capacity), 1, MaxCapacity)
}

func (v *validator) teams(d *Document) {
	for i, t := range d.Teams {
		at := fmt.Sprintf("teams[%d]", i)
		v.declare("team", at+".name", t.Name)
		if t.RatePerSecond <= 0 || t.RatePerSecond > MaxRate {
			v.add(at+".rate_per_second", formatFloat(t.RatePerSecond), "a rate above 0 and up to "+formatFloat(MaxRate))
		}
		v.between(at+".burst", t.Burst, 1, MaxRate)
		v.between(at+".weight", float64(t.Weight), 0, MaxWeight)
		ids := map[string]bool{}
		for j, k := range t.Keys {
			keyAt := fmt.Sprintf("%s.keys[%d]", at, j)
			if ids[k.ID] {
				v.add(keyAt+".id", k.ID, "an identifier used once among the team's keys")
			}
			ids[k.ID] = true
			v.key(keyAt, k)
		}
	}
}

func (v *validator) key(at string, k Key) {
	if !ValidName(k.ID) {
		v.add(at+".id", k.ID, nameWant)
	}
	if !validHash(k.SHA256) {
		// What stands here instead of a hash may be a key, so it is not shown.
		v.add(at+".sha256", "(not shown)", hashWant)
		return
	}
	v.declare("key hash", at+".sha256", k.SHA256)
}

const hashWant = "64 lower-case hexadecimal digits"

func validHash(text string) bool {
	raw, err := hex.DecodeString(text)
	return err == nil && len(raw) == sha256.Size && strings.ToLower(text) == text
}

// Upper bounds of the document's numbers; they only catch mistakes of writing.
const (
	MaxLoadFactor = 100
	MaxCapacity   = 1 << 20
	MaxRate       = 1e9
	MaxWeight     = 1 << 20
)

func (v *validator) between(field string, value, low, high float64) {
	if value < low || value > high {
		v.add(field, formatFloat(value), formatFloat(low)+" to "+formatFloat(high))
	}
}

func formatFloat(f float64) string { return strconv.FormatFloat(f, 'f', -1, 64) }

func (v *validator) routes(d *Document) {
	served := map[string]string{}
	for i, r := range d.Routes {
		at := fmt.Sprintf("routes[%d]", i)
		v.declare("route", at+".name", r.Name)
		if !validRoutePath(r.Path) {
			v.add(at+".path", r.Path, "a path that begins with / and has no empty or dot segment, query or fragment")
		}
		v.methods(at, r, served)
		v.known("pool", at+".pool", r.Pool)
		for j, team := range r.Teams {
			v.known("team", fmt.Sprintf("%s.teams[%d]", at, j), team)
		}
		if r.Open && len(r.Teams) > 0 {
			v.add(at+".open", "true", "false on a route that lists teams")
		}
	}
}

// methods checks that each method is one and that no two routes serve the same method of the same path.
func (v *validator) methods(at string, r Route, served map[string]string) {
	if len(r.Methods) == 0 {
		v.add(at+".methods", "[]", "at least one HTTP method")
	}
	for j, method := range r.Methods {
		field := fmt.Sprintf("%s.methods[%d]", at, j)
		if method == "" || strings.Trim(method, "ABCDEFGHIJKLMNOPQRSTUVWXYZ") != "" {
			v.add(field, method, "an HTTP method in capital letters")
		}
		id := method + " " + r.Path
		if other, twice := served[id]; twice {
			v.add(field, method, "a method and path that route "+other+" does not serve")
		}
		served[id] = r.Name
	}
}

func validRoutePath(p string) bool {
	if !strings.HasPrefix(p, "/") || strings.ContainsAny(p, "?#\\ ") {
		return false
	}
	clean := path.Clean(p)
	return p == clean || p == clean+"/"
}
