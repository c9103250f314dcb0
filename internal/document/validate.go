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

// Problem is one validation error: the field, its value and a description of the values that are accepted.
type Problem = strictjson.Problem

// ValidationError lists all problems found in a document.
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

// Validate returns a *ValidationError with all problems of the document, or nil if there are none.
func (d *Document) Validate() error {
	v := &validator{names: map[string]bool{}, addresses: map[string]string{}}
	v.checkHeader(d)
	v.checkDataCentres(d)
	v.checkPools(d)
	v.checkTeams(d)
	v.checkRoutes(d)
	if len(v.problems) == 0 {
		return nil
	}
	return &ValidationError{Problems: v.problems}
}

// validator collects the problems of one document.
type validator struct {
	problems []Problem
	// names holds "kind/name" for each object declared so far.
	names map[string]bool
	// addresses maps each address to the field that declared it.
	addresses map[string]string
}

func (v *validator) addProblem(field, value, want string) {
	v.problems = append(v.problems, Problem{Field: field, Value: value, Want: want})
}

func (v *validator) declareName(kind, field, name string) {
	if !ValidName(name) {
		v.addProblem(field, name, nameFormat)
		return
	}
	key := kind + "/" + name
	if v.names[key] {
		v.addProblem(field, name, "a name used once among "+kind+"s")
	}
	v.names[key] = true
}

func (v *validator) checkReference(kind, field, name string) {
	if !v.names[kind+"/"+name] {
		v.addProblem(field, name, "the name of a "+kind+" in this document")
	}
}

// declareAddress checks an address and reports it if another field already uses it.
func (v *validator) declareAddress(field, value string) {
	if !ValidAddress(value) {
		v.addProblem(field, value, AddressFormat)
		return
	}
	if other, used := v.addresses[value]; used {
		v.addProblem(field, value, "an address other than that of "+other)
		return
	}
	v.addresses[value] = field
}

// AddressFormat describes the addresses that ValidAddress accepts, for error messages.
const AddressFormat = "IP:port with a port of 1 to 65535"

// MaxNameLength is the maximum length of a name, in bytes.
const MaxNameLength = 64

const nameFormat = "a name of 1 to 64 letters, digits, dots, hyphens and underscores"

// ValidName reports whether name consists only of characters that need no quoting in logs, metrics, URLs and headers, and
// has at most MaxNameLength bytes.
func ValidName(name string) bool {
	return name != "" && len(name) <= MaxNameLength && !strings.ContainsFunc(name, invalidNameRune)
}

func invalidNameRune(r rune) bool {
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

func (v *validator) checkState(field string, s State) {
	if s != StateIn && s != StateOut {
		v.addProblem(field, string(s), `"in" or "out"`)
	}
}

func (v *validator) checkHeader(d *Document) {
	if d.Schema != SchemaVersion {
		v.addProblem("schema", strconv.Itoa(d.Schema), strconv.Itoa(SchemaVersion))
	}
	if !ValidName(d.Fleet) {
		v.addProblem("fleet", d.Fleet, nameFormat)
	}
	if d.Parent.Hash != "" && !validHash(d.Parent.Hash) {
		v.addProblem("parent.hash", d.Parent.Hash, hashFormat)
	}
	if d.Version == 0 {
		v.addProblem("version", "0", "a version of at least 1")
	}
	if d.Parent.Version >= d.Version && d.Version != 0 {
		v.addProblem("parent.version", strconv.FormatUint(d.Parent.Version, 10), "a version below "+strconv.FormatUint(d.Version, 10))
	}
}

func (v *validator) checkDataCentres(d *Document) {
	if len(d.DataCentres) == 0 {
		v.addProblem("data_centres", "[]", "at least one data centre")
	}
	for i, dc := range d.DataCentres {
		field := fmt.Sprintf("data_centres[%d]", i)
		v.declareName("data centre", field+".name", dc.Name)
		v.checkState(field+".state", dc.State)
		for j, h := range dc.Hosts {
			hostField := fmt.Sprintf("%s.hosts[%d]", field, j)
			v.declareName("host", hostField+".name", h.Name)
			v.declareAddress(hostField+".caller_address", h.CallerAddress)
			v.declareAddress(hostField+".peer_address", h.PeerAddress)
			v.declareAddress(hostField+".admin_address", h.AdminAddress)
		}
	}
}

func (v *validator) checkPools(d *Document) {
	for i, p := range d.Pools {
		field := fmt.Sprintf("pools[%d]", i)
		v.declareName("pool", field+".name", p.Name)
		if p.Kind != KindEngine && p.Kind != KindService {
			v.addProblem(field+".kind", string(p.Kind), `"engine" or "service"`)
		}
		v.checkRange(field+".load_factor", p.LoadFactor, 1, MaxLoadFactor)
		for j, u := range p.Upstreams {
			v.checkUpstream(fmt.Sprintf("%s.upstreams[%d]", field, j), u)
		}
	}
}

func (v *validator) checkUpstream(field string, u Upstream) {
	v.declareName("upstream", field+".name", u.Name)
	v.checkReference("data centre", field+".data_centre", u.DataCentre)
	v.declareAddress(field+".address", u.Address)
	v.checkState(field+".state", u.State)
	v.checkRange(field+".capacity", float64(u.Capacity), 1, MaxCapacity)
}

func (v *validator) checkTeams(d *Document) {
	for i, t := range d.Teams {
		field := fmt.Sprintf("teams[%d]", i)
		v.declareName("team", field+".name", t.Name)
		if t.RatePerSecond <= 0 || t.RatePerSecond > MaxRate {
			v.addProblem(field+".rate_per_second", formatFloat(t.RatePerSecond), "a rate above 0 and up to "+formatFloat(MaxRate))
		}
		v.checkRange(field+".burst", t.Burst, 1, MaxRate)
		v.checkRange(field+".weight", float64(t.Weight), 0, MaxWeight)
		ids := map[string]bool{}
		for j, k := range t.Keys {
			keyField := fmt.Sprintf("%s.keys[%d]", field, j)
			if ids[k.ID] {
				v.addProblem(keyField+".id", k.ID, "an identifier used once among the team's keys")
			}
			ids[k.ID] = true
			v.checkKey(keyField, k)
		}
	}
}

func (v *validator) checkKey(field string, k Key) {
	if !ValidName(k.ID) {
		v.addProblem(field+".id", k.ID, nameFormat)
	}
	if !validHash(k.SHA256) {
		// The value may be an API key that was pasted by mistake, so the message does not include it.
		v.addProblem(field+".sha256", "(not shown)", hashFormat)
		return
	}
	v.declareName("key hash", field+".sha256", k.SHA256)
}

const hashFormat = "64 lower-case hexadecimal digits"

func validHash(text string) bool {
	raw, err := hex.DecodeString(text)
	return err == nil && len(raw) == sha256.Size && strings.ToLower(text) == text
}

// Upper limits of numeric fields. They only catch typing errors.
const (
	MaxLoadFactor = 100
	MaxCapacity   = 1 << 20
	MaxRate       = 1e9
	MaxWeight     = 1 << 20
)

func (v *validator) checkRange(field string, value, low, high float64) {
	if value < low || value > high {
		v.addProblem(field, formatFloat(value), formatFloat(low)+" to "+formatFloat(high))
	}
}

func formatFloat(f float64) string { return strconv.FormatFloat(f, 'f', -1, 64) }

func (v *validator) checkRoutes(d *Document) {
	served := map[string]string{}
	for i, r := range d.Routes {
		field := fmt.Sprintf("routes[%d]", i)
		v.declareName("route", field+".name", r.Name)
		if !validRoutePath(r.Path) {
			v.addProblem(field+".path", r.Path, "a path that begins with / and has no empty or dot segment, query or fragment")
		}
		v.checkMethods(field, r, served)
		v.checkReference("pool", field+".pool", r.Pool)
		for j, team := range r.Teams {
			v.checkReference("team", fmt.Sprintf("%s.teams[%d]", field, j), team)
		}
		if r.Open && len(r.Teams) > 0 {
			v.addProblem(field+".open", "true", "false on a route that lists teams")
		}
	}
}

// checkMethods checks that each method is a valid HTTP method name and that no other route serves the same method and
// path. Served maps "METHOD path" to the name of the route that serves it.
func (v *validator) checkMethods(field string, r Route, served map[string]string) {
	if len(r.Methods) == 0 {
		v.addProblem(field+".methods", "[]", "at least one HTTP method")
	}
	for j, method := range r.Methods {
		methodField := fmt.Sprintf("%s.methods[%d]", field, j)
		if method == "" || strings.Trim(method, "ABCDEFGHIJKLMNOPQRSTUVWXYZ") != "" {
			v.addProblem(methodField, method, "an HTTP method in capital letters")
		}
		key := method + " " + r.Path
		if other, duplicate := served[key]; duplicate {
			v.addProblem(methodField, method, "a method and path that route "+other+" does not serve")
		}
		served[key] = r.Name
	}
}

func validRoutePath(p string) bool {
	if !strings.HasPrefix(p, "/") || strings.ContainsAny(p, "?#\\ ") {
		return false
	}
	clean := path.Clean(p)
	return p == clean || p == clean+"/"
}
