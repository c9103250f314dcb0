package settings

import (
	"fmt"
	"time"

	"golang.org/x/crypto/bcrypt"
)

// Console holds the settings of one oriole-console process.
type Console struct {
	// Address is the listen address for operators' browsers. AdminAddress serves readiness, metrics and the state dump.
	Address      string `json:"address"`
	AdminAddress string `json:"admin_address"`
	// DocumentFile, or Platform together with Fleet, is the source of the document in force. Exactly one of the two is
	// set.
	DocumentFile string `json:"document_file,omitempty"`
	Platform     string `json:"platform,omitempty"`
	Fleet        string `json:"fleet,omitempty"`
	// TLS configures HTTPS for operators' browsers.
	TLS       ConsoleTLS `json:"tls"`
	Operators []Operator `json:"operators"`
	Sessions  Sessions   `json:"sessions"`
	Log       Log        `json:"log"`
}

// ConsoleTLS configures HTTPS.
type ConsoleTLS struct {
	// Plaintext turns TLS off. It is meant for loopback, or for use behind a proxy that terminates TLS.
	Plaintext bool   `json:"plaintext,omitempty"`
	CertFile  string `json:"cert_file,omitempty"`
	KeyFile   string `json:"key_file,omitempty"`
}

// Operator is one user of the console.
type Operator struct {
	User string `json:"user"`
	// Bcrypt is the bcrypt hash of the operator's password, as oriole-console --hash-password prints it.
	Bcrypt string `json:"bcrypt"`
}

// Sessions limits the operators' sessions, which hold their drafts in memory.
type Sessions struct {
	// Idle is the time without use after which a session ends.
	Idle Duration `json:"idle"`
	// Lifetime is the time after login at which a session ends.
	Lifetime Duration `json:"lifetime"`
	// Max is the maximum number of concurrent sessions.
	Max int `json:"max"`
}

// Defaults and limits of the console's settings.
const (
	defaultSessionIdle     = 30 * time.Minute
	defaultSessionLifetime = 8 * time.Hour
	defaultSessions        = 64
	minSessionIdle         = time.Minute
	maxSessionLifetime     = 24 * time.Hour
	maxSessions            = 1024
	minBcryptCost          = 10
)

// Check implements Checker.
func (s *Console) Check() []Problem {
	setDefault(&s.Sessions.Idle, Duration(defaultSessionIdle))
	setDefault(&s.Sessions.Lifetime, Duration(defaultSessionLifetime))
	setDefault(&s.Sessions.Max, defaultSessions)
	c := newChecks()
	c.address("address", s.Address)
	c.address("admin_address", s.AdminAddress)
	c.distinctAddresses()
	c.consoleSource(s)
	c.consoleTLS(s.TLS)
	c.operators(s.Operators)
	c.durationRange("sessions.idle", s.Sessions.Idle, minSessionIdle, maxSessionLifetime)
	c.durationRange("sessions.lifetime", s.Sessions.Lifetime, s.Sessions.Idle.Std(), maxSessionLifetime)
	c.intRange("sessions.max", int64(s.Sessions.Max), 1, maxSessions)
	c.log(s.Log)
	return c.problems
}

func (c *checks) consoleSource(s *Console) {
	switch {
	case s.DocumentFile != "" && s.Platform != "":
		c.add("document_file", s.DocumentFile, "either document_file or platform, not both")
	case s.DocumentFile == "" && s.Platform == "":
		c.add("document_file", "", "the name of a file, or platform and fleet instead")
	case s.Platform != "":
		c.url("platform", s.Platform)
		c.name("fleet", s.Fleet)
	}
}

func (c *checks) consoleTLS(t ConsoleTLS) {
	if t.Plaintext {
		return
	}
	const want = "a PEM file, or tls.plaintext set to true"
	c.required("tls.cert_file", t.CertFile, want)
	c.required("tls.key_file", t.KeyFile, want)
}

func (c *checks) operators(operators []Operator) {
	if len(operators) == 0 {
		c.add("operators", "[]", "at least one operator")
	}
	seen := map[string]bool{}
	for i, o := range operators {
		path := fmt.Sprintf("operators[%d]", i)
		c.name(path+".user", o.User)
		if seen[o.User] {
			c.add(path+".user", o.User, "a user listed once")
		}
		seen[o.User] = true
		if cost, err := bcrypt.Cost([]byte(o.Bcrypt)); err != nil || cost < minBcryptCost {
			// The value may be a plain password by mistake, so it is not shown.
			c.add(path+".bcrypt", "(not shown)", fmt.Sprintf("a bcrypt hash of cost %d or more, from oriole-console --hash-password", minBcryptCost))
		}
	}
}
