package settings

import (
	"fmt"
	"time"
)

// StandInStore holds the settings of the standin-store process, a simulated store of the users' platform.
type StandInStore struct {
	// Address serves routers, WriteAddress operators and upstreams.
	Address      string `json:"address"`
	WriteAddress string `json:"write_address"`
	// ConfigFile is the operators' configuration that is published at the start.
	ConfigFile string `json:"config_file"`
	Log        Log    `json:"log"`
}

// Check fills in defaults and reports problems.
func (s *StandInStore) Check() []Problem {
	c := newChecks()
	c.address("address", s.Address)
	c.address("write_address", s.WriteAddress)
	c.distinctAddresses()
	c.required("config_file", s.ConfigFile, "the name of a file")
	c.log(s.Log)
	return c.problems
}

// StandInUpstream holds the settings of one standin-upstream process, a simulated engine or plain service of the users'
// platform.
type StandInUpstream struct {
	Name       string `json:"name"`
	Address    string `json:"address"`
	Service    string `json:"service"`
	DataCentre string `json:"data_centre"`
	// Slots is how many requests run at once; further ones are refused.
	Slots int `json:"slots"`
	// Events is the number of events of a stream, EventInterval the time before each.
	Events        int      `json:"events"`
	EventInterval Duration `json:"event_interval"`
	Log           Log      `json:"log"`
}

// Check fills in defaults and reports problems.
func (u *StandInUpstream) Check() []Problem {
	setDefault(&u.Slots, 8)
	setDefault(&u.Events, 20)
	setDefault(&u.EventInterval, Duration(100*time.Millisecond))
	c := newChecks()
	c.name("name", u.Name)
	c.address("address", u.Address)
	c.name("service", u.Service)
	c.name("data_centre", u.DataCentre)
	c.intRange("slots", int64(u.Slots), 1, maxCount)
	c.intRange("events", int64(u.Events), 1, maxCount)
	c.durationRange("event_interval", u.EventInterval, 0, maxTimeout)
	c.log(u.Log)
	return c.problems
}

// DirectStandIns is the content of one file with the settings of every stand-in of a deployment with direct sending.
type DirectStandIns struct {
	Store     StandInStore      `json:"store"`
	Upstreams []StandInUpstream `json:"upstreams"`
}

// Check implements Checker.
func (s *DirectStandIns) Check() []Problem {
	problems := prefixFields("store", s.Store.Check())
	u := uniqueValues{fields: map[string]string{}}
	u.add("store.address", s.Store.Address, "address")
	for i := range s.Upstreams {
		path := fmt.Sprintf("upstreams[%d]", i)
		problems = append(problems, prefixFields(path, s.Upstreams[i].Check())...)
		u.add(path+".name", s.Upstreams[i].Name, "name")
		u.add(path+".address", s.Upstreams[i].Address, "address")
	}
	return append(problems, u.problems...)
}

// Upstream returns the settings of the upstream with that name.
func (s *DirectStandIns) Upstream(name string) (StandInUpstream, bool) {
	for _, u := range s.Upstreams {
		if u.Name == name {
			return u, true
		}
	}
	return StandInUpstream{}, false
}
