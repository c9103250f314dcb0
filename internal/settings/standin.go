package settings

import (
	"fmt"
	"time"
)

// Engine holds the settings of one standin-engine process, a simulated model engine.
type Engine struct {
	Name         string `json:"name"`
	Address      string `json:"address"`
	AdminAddress string `json:"admin_address"`
	Model        string `json:"model"`
	Seed         uint64 `json:"seed"`
	// Step is the duration of one batch step. Each running request generates one token in each step.
	Step Duration `json:"step"`
	// PrefillTokens is the number of uncached prompt tokens that one step processes, over all requests.
	PrefillTokens int `json:"prefill_tokens"`
	// MaxActive is the maximum batch size; further requests wait.
	MaxActive int `json:"max_active"`
	// CacheBlocks is the size of the prefix cache, in blocks of 16 tokens.
	CacheBlocks int `json:"cache_blocks"`
	// ReportLag is the age of the load report.
	ReportLag Duration `json:"report_lag"`
	// EventLag is the delay of cache events. Every EventGap-th event is lost; 0 means that none is.
	EventLag Duration `json:"event_lag"`
	EventGap int      `json:"event_gap"`
	// ColdTime is how long a cold engine takes to warm up. ColdLimit is the number of concurrent requests that it can
	// handle meanwhile.
	ColdTime  Duration `json:"cold_time"`
	ColdLimit int      `json:"cold_limit"`
	Log       Log      `json:"log"`
}

// Limits of the stand-ins' settings, which only catch typing errors.
const (
	minStep  = 100 * time.Microsecond
	maxCount = 1 << 24
)

// Check fills in defaults and reports problems.
func (e *Engine) Check() []Problem {
	setDefault(&e.Step, Duration(5*time.Millisecond))
	setDefault(&e.PrefillTokens, 512)
	setDefault(&e.MaxActive, 16)
	setDefault(&e.CacheBlocks, 4096)
	setDefault(&e.ReportLag, Duration(500*time.Millisecond))
	setDefault(&e.EventLag, Duration(300*time.Millisecond))
	setDefault(&e.ColdTime, Duration(3*time.Second))
	setDefault(&e.ColdLimit, 4)
	c := newChecks()
	c.name("name", e.Name)
	c.required("model", e.Model, "the name of a model")
	c.address("address", e.Address)
	c.address("admin_address", e.AdminAddress)
	c.distinctAddresses()
	c.durationRange("step", e.Step, minStep, maxTimeout)
	c.durationRange("report_lag", e.ReportLag, 0, maxTimeout)
	c.durationRange("event_lag", e.EventLag, 0, maxTimeout)
	c.durationRange("cold_time", e.ColdTime, 0, maxTimeout)
	c.intRange("prefill_tokens", int64(e.PrefillTokens), 1, maxCount)
	c.intRange("max_active", int64(e.MaxActive), 1, maxCount)
	c.intRange("cache_blocks", int64(e.CacheBlocks), 1, maxCount)
	c.intRange("event_gap", int64(e.EventGap), 0, maxCount)
	c.intRange("cold_limit", int64(e.ColdLimit), 1, maxCount)
	c.log(e.Log)
	return c.problems
}

// Service holds the settings of one standin-service process.
type Service struct {
	Name         string `json:"name"`
	Address      string `json:"address"`
	AdminAddress string `json:"admin_address"`
	// WorkTime is the duration of one call.
	WorkTime Duration `json:"work_time"`
	Log      Log      `json:"log"`
}

// Check fills in defaults and reports problems.
func (s *Service) Check() []Problem {
	setDefault(&s.WorkTime, Duration(5*time.Millisecond))
	c := newChecks()
	c.name("name", s.Name)
	c.address("address", s.Address)
	c.address("admin_address", s.AdminAddress)
	c.distinctAddresses()
	c.durationRange("work_time", s.WorkTime, 0, maxTimeout)
	c.log(s.Log)
	return c.problems
}

// Platform holds the settings of the standin-platform process.
type Platform struct {
	Address      string `json:"address"`
	AdminAddress string `json:"admin_address"`
	// DocumentFile is the document that is published at the start.
	DocumentFile string `json:"document_file"`
	// HostLag is the age of the list of live hosts.
	HostLag Duration `json:"host_lag"`
	Log     Log      `json:"log"`
}

// Check fills in defaults and reports problems.
func (p *Platform) Check() []Problem {
	setDefault(&p.HostLag, Duration(2*time.Second))
	c := newChecks()
	c.address("address", p.Address)
	c.address("admin_address", p.AdminAddress)
	c.distinctAddresses()
	c.required("document_file", p.DocumentFile, "the name of a file")
	c.durationRange("host_lag", p.HostLag, 0, maxTimeout)
	c.log(p.Log)
	return c.problems
}

// StandIns is the content of one file with the settings of every stand-in of a deployment.
type StandIns struct {
	Platform Platform  `json:"platform"`
	Engines  []Engine  `json:"engines"`
	Services []Service `json:"services"`
}

// Check implements Checker.
func (s *StandIns) Check() []Problem {
	problems := prefixFields("platform", s.Platform.Check())
	for i := range s.Engines {
		problems = append(problems, prefixFields(fmt.Sprintf("engines[%d]", i), s.Engines[i].Check())...)
	}
	for i := range s.Services {
		problems = append(problems, prefixFields(fmt.Sprintf("services[%d]", i), s.Services[i].Check())...)
	}
	return append(problems, s.duplicates()...)
}

// duplicates reports names and listen addresses that two stand-ins share.
func (s *StandIns) duplicates() []Problem {
	u := uniqueValues{fields: map[string]string{}}
	u.addresses("platform", s.Platform.Address, s.Platform.AdminAddress)
	for i, e := range s.Engines {
		path := fmt.Sprintf("engines[%d]", i)
		u.add(path+".name", e.Name, "name")
		u.addresses(path, e.Address, e.AdminAddress)
	}
	for i, v := range s.Services {
		path := fmt.Sprintf("services[%d]", i)
		u.add(path+".name", v.Name, "name")
		u.addresses(path, v.Address, v.AdminAddress)
	}
	return u.problems
}

// uniqueValues reports values that are used twice.
type uniqueValues struct {
	fields   map[string]string
	problems []Problem
}

func (u *uniqueValues) addresses(path, address, admin string) {
	u.add(path+".address", address, "address")
	if admin != address {
		// Check has already reported a process whose two addresses are equal.
		u.add(path+".admin_address", admin, "address")
	}
}

func (u *uniqueValues) add(field, value, kind string) {
	if value == "" {
		return
	}
	if other, used := u.fields[value]; used {
		u.problems = append(u.problems, Problem{Field: field, Value: value, Want: "a " + kind + " other than that of " + other})
		return
	}
	u.fields[value] = field
}

func prefixFields(path string, problems []Problem) []Problem {
	for i := range problems {
		problems[i].Field = path + "." + problems[i].Field
	}
	return problems
}

// Engine returns the settings of the engine with that name.
func (s *StandIns) Engine(name string) (Engine, bool) {
	for _, e := range s.Engines {
		if e.Name == name {
			return e, true
		}
	}
	return Engine{}, false
}

// Service returns the settings of the service with that name.
func (s *StandIns) Service(name string) (Service, bool) {
	for _, v := range s.Services {
		if v.Name == name {
			return v, true
		}
	}
	return Service{}, false
}
