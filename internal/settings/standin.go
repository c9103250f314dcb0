package settings

import (
	"fmt"
	"time"
)

// Engine holds the settings of one standin-engine process.
type Engine struct {
	Name         string `json:"name"`
	Address      string `json:"address"`
	AdminAddress string `json:"admin_address"`
	Model        string `json:"model"`
	Seed         uint64 `json:"seed"`
	// Step is the time of one batch step; each running request gains one token a step.
	Step Duration `json:"step"`
	// PrefillTokens is the number of uncached prompt tokens that one step reads, over all requests.
	PrefillTokens int `json:"prefill_tokens"`
	// MaxActive is the largest batch; further requests wait.
	MaxActive int `json:"max_active"`
	// CacheBlocks is the size of the prefix cache, in blocks of 16 tokens.
	CacheBlocks int `json:"cache_blocks"`
	// ReportLag is the age of the load report.
	ReportLag Duration `json:"report_lag"`
	// EventLag is the delay of cache events; every EventGap-th event is lost (0: none).
	EventLag Duration `json:"event_lag"`
	EventGap int      `json:"event_gap"`
	// ColdTime is how long a cold engine takes to warm up; ColdLimit is the number of requests it bears meanwhile.
	ColdTime  Duration `json:"cold_time"`
	ColdLimit int      `json:"cold_limit"`
	Log       Log      `json:"log"`
}

// Limits of the stand-ins' settings; they only catch mistakes of writing.
const (
	minStep  = 100 * time.Microsecond
	maxCount = 1 << 24
)

// Check fills in defaults and reports problems.
func (e *Engine) Check() []Problem {
	setInt(&e.Step, Duration(5*time.Millisecond))
	setInt(&e.PrefillTokens, 512)
	setInt(&e.MaxActive, 16)
	setInt(&e.CacheBlocks, 4096)
	setInt(&e.ReportLag, Duration(500*time.Millisecond))
	setInt(&e.EventLag, Duration(300*time.Millisecond))
	setInt(&e.ColdTime, Duration(3*time.Second))
	setInt(&e.ColdLimit, 4)
	c := newChecks()
	c.text("name", e.Name)
	c.present("model", e.Model, "the name of a model")
	c.address("address", e.Address)
	c.address("admin_address", e.AdminAddress)
	c.distinct()
	c.between("step", e.Step, minStep, maxTimeout)
	c.between("report_lag", e.ReportLag, 0, maxTimeout)
	c.between("event_lag", e.EventLag, 0, maxTimeout)
	c.between("cold_time", e.ColdTime, 0, maxTimeout)
	c.betweenInt("prefill_tokens", int64(e.PrefillTokens), 1, maxCount)
	c.betweenInt("max_active", int64(e.MaxActive), 1, maxCount)
	c.betweenInt("cache_blocks", int64(e.CacheBlocks), 1, maxCount)
	c.betweenInt("event_gap", int64(e.EventGap), 0, maxCount)
	c.betweenInt("cold_limit", int64(e.ColdLimit), 1, maxCount)
	c.log(e.Log)
	return c.problems
}

// Service holds the settings of one standin-service process.
type Service struct {
	Name         string `json:"name"`
	Address      string `json:"address"`
	AdminAddress string `json:"admin_address"`
	// WorkTime is the time of one call.
	WorkTime Duration `json:"work_time"`
	Log      Log      `json:"log"`
}

// Check fills in defaults and reports problems.
func (s *Service) Check() []Problem {
	setInt(&s.WorkTime, Duration(5*time.Millisecond))
	c := newChecks()
	c.text("name", s.Name)
	c.address("address", s.Address)
	c.address("admin_address", s.AdminAddress)
	c.distinct()
	c.between("work_time", s.WorkTime, 0, maxTimeout)
	c.log(s.Log)
	return c.problems
}

// Platform holds the settings of the standin-platform process.
type Platform struct {
	Address      string `json:"address"`
	AdminAddress string `json:"admin_address"`
	// DocumentFile is the document published at the start.
	DocumentFile string `json:"document_file"`
	// HostLag is the age of the list of live hosts.
	HostLag Duration `json:"host_lag"`
	Log     Log      `json:"log"`
}

// Check fills in defaults and reports problems.
func (p *Platform) Check() []Problem {
	setInt(&p.HostLag, Duration(2*time.Second))
	c := newChecks()
	c.address("address", p.Address)
	c.address("admin_address", p.AdminAddress)
	c.distinct()
	c.present("document_file", p.DocumentFile, "the name of a file")
	c.between("host_lag", p.HostLag, 0, maxTimeout)
	c.log(p.Log)
	return c.problems
}

// StandIns is one file that holds the settings of every stand-in of a deployment.
type StandIns struct {
	Platform Platform  `json:"platform"`
	Engines  []Engine  `json:"engines"`
	Services []Service `json:"services"`
}

// Check checks every entry.
func (s *StandIns) Check() []Problem {
	problems := prefix("platform", s.Platform.Check())
	for i := range s.Engines {
		problems = append(problems, prefix(fmt.Sprintf("engines[%d]", i), s.Engines[i].Check())...)
	}
	for i := range s.Services {
		problems = append(problems, prefix(fmt.Sprintf("services[%d]", i), s.Services[i].Check())...)
	}
	return append(problems, s.clashes()...)
}

// clashes reports names and listen addresses that two stand-ins share.
func (s *StandIns) clashes() []Problem {
	u := unique{fields: map[string]string{}}
	u.addresses("platform", s.Platform.Address, s.Platform.AdminAddress)
	for i, e := range s.Engines {
		at := fmt.Sprintf("engines[%d]", i)
		u.use(at+".name", e.Name, "name")
		u.addresses(at, e.Address, e.AdminAddress)
	}
	for i, v := range s.Services {
		at := fmt.Sprintf("services[%d]", i)
		u.use(at+".name", v.Name, "name")
		u.addresses(at, v.Address, v.AdminAddress)
	}
	return u.problems
}

// unique reports values that are used twice.
type unique struct {
	fields   map[string]string
	problems []Problem
}

func (u *unique) addresses(at, address, admin string) {
	u.use(at+".address", address, "address")
	if admin != address {
		// Check has reported a process whose two addresses are the same.
		u.use(at+".admin_address", admin, "address")
	}
}

func (u *unique) use(field, value, kind string) {
	if value == "" {
		return
	}
	if other, used := u.fields[value]; used {
		u.problems = append(u.problems, Problem{Field: field, Value: value, Want: "a " + kind + " other than that of " + other})
		return
	}
	u.fields[value] = field
}

func prefix(at string, problems []Problem) []Problem {
	for i := range problems {
		problems[i].Field = at + "." + problems[i].Field
	}
	return problems
}

// Engine returns the settings of the engine of that name.
func (s *StandIns) Engine(name string) (Engine, bool) {
	for _, e := range s.Engines {
		if e.Name == name {
			return e, true
		}
	}
	return Engine{}, false
}

// Service returns the settings of the service of that name.
func (s *StandIns) Service(name string) (Service, bool) {
	for _, v := range s.Services {
		if v.Name == name {
			return v, true
		}
	}
	return Service{}, false
}
