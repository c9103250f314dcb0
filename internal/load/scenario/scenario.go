// Package scenario defines the JSON file that says which requests a load run makes and which faults happen meanwhile.
package scenario

import (
	"bytes"
	"encoding/json"
	"os"
	"slices"
	"time"

	"github.com/pkg/errors"

	"github.com/orioleusher/orioleusher/internal/document"
	"github.com/orioleusher/orioleusher/internal/settings"
	"github.com/orioleusher/orioleusher/internal/standin/faults"
)

// Scenario is one load run.
type Scenario struct {
	Name string `json:"name"`
	// Seed makes arrivals, chats and the callers' choice of hosts the same in each run.
	Seed     uint64            `json:"seed"`
	Duration settings.Duration `json:"duration"`
	// Warmup is the time at the start whose requests count in no measure.
	Warmup         settings.Duration `json:"warmup"`
	RequestTimeout settings.Duration `json:"request_timeout"`
	// Attempts is the most attempts that a caller makes of one request.
	Attempts int `json:"attempts"`
	// Scale multiplies every arrival rate; 0 means 1.
	Scale  float64 `json:"scale,omitempty"`
	Chat   Chat    `json:"chat"`
	Teams  []Team  `json:"teams"`
	Faults []Fault `json:"faults,omitempty"`
}

// Chat describes the returning chats.
type Chat struct {
	Path string `json:"path"`
	// SystemTokens is the length of the prompt that all chats of a team share.
	SystemTokens int `json:"system_tokens"`
	// HistoryTokens is the length of a chat's first message, TurnTokens that of each later one.
	HistoryTokens int `json:"history_tokens"`
	TurnTokens    int `json:"turn_tokens"`
	AnswerTokens  int `json:"answer_tokens"`
	// MaxTurns is when a chat ends and a new one takes its place.
	MaxTurns int `json:"max_turns"`
}

// Team is the traffic of one team.
type Team struct {
	Name string `json:"name"`
	// ChatsPerSecond is the mean rate of chat requests.
	ChatsPerSecond float64 `json:"chats_per_second"`
	// Chats is the number of chats that return, ZipfExponent (above 1) how uneven their popularity is.
	Chats        int     `json:"chats"`
	ZipfExponent float64 `json:"zipf_exponent"`
	Calls        []Call  `json:"calls,omitempty"`
	Surges       []Surge `json:"surges,omitempty"`
}

// Call is traffic to a plain service.
type Call struct {
	Route     string  `json:"route"`
	Method    string  `json:"method"`
	Path      string  `json:"path"`
	PerSecond float64 `json:"per_second"`
	// Once marks calls that may not be repeated; the caller asks for an idempotency key first.
	Once bool `json:"once,omitempty"`
	// Repeats is how often a caller of such a call sends it again, with the same key, after it was answered. It also
	// sends it again with that key when the outcome is unknown. It is meant for proofs that the call runs once.
	Repeats int `json:"repeats,omitempty"`
	// Open calls carry no key.
	Open bool `json:"open,omitempty"`
}

// Surge multiplies a team's rates for a time.
type Surge struct {
	From   settings.Duration `json:"from"`
	To     settings.Duration `json:"to"`
	Factor float64           `json:"factor"`
}

// Act says what a Fault does.
type Act string

// The acts.
const (
	// ActStandIn sends Order to the admin address of the stand-in named Target.
	ActStandIn Act = "standin"
	// ActDataCentre publishes a document in which data centre Target has State.
	ActDataCentre Act = "data-centre"
	// ActUpstream publishes a document in which upstream Target has State.
	ActUpstream Act = "upstream"
	// ActProcess writes "SIGNAL TARGET" to the hook file; a script carries it out.
	ActProcess Act = "process"
)

// Signals of ActProcess.
const (
	SignalKill    = "kill"
	SignalFreeze  = "freeze"
	SignalThaw    = "thaw"
	SignalRestart = "restart"
)

// Fault is one entry of the schedule.
type Fault struct {
	At     settings.Duration `json:"at"`
	Act    Act               `json:"act"`
	Target string            `json:"target"`
	Order  *faults.Order     `json:"order,omitempty"`
	State  document.State    `json:"state,omitempty"`
	Signal string            `json:"signal,omitempty"`
}

// Read reads and checks the scenario file at path.
func Read(path string) (*Scenario, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Wrap(err, "read scenario")
	}
	s, err := Parse(raw)
	return s, errors.Wrapf(err, "scenario %s", path)
}

// Parse decodes and checks a scenario. Unknown fields are errors.
func Parse(raw []byte) (*Scenario, error) {
	dec := json.NewDecoder(bytes.NewReader(raw))
	dec.DisallowUnknownFields()
	var s Scenario
	if err := dec.Decode(&s); err != nil {
		return nil, errors.Wrap(err, "decode scenario")
	}
	s.setDefaults()
	return &s, s.check()
}

func (s *Scenario) setDefaults() {
	if s.Scale == 0 {
		s.Scale = 1
	}
	if s.Attempts == 0 {
		s.Attempts = 3
	}
	if s.RequestTimeout == 0 {
		s.RequestTimeout = settings.Duration(10 * time.Second)
	}
}

func (s *Scenario) check() error {
	switch {
	case s.Name == "":
		return errors.New("name is empty")
	case s.Duration <= 0:
		return errors.New("duration: want more than 0")
	case s.Warmup < 0 || s.Warmup >= s.Duration:
		return errors.Errorf("warmup %s: want from 0 to below the duration", s.Warmup.Std())
	case s.Scale < 0 || s.Attempts < 1:
		return errors.New("scale and attempts: want positive numbers")
	case len(s.Teams) == 0:
		return errors.New("teams: want at least one")
	}
	for i := range s.Teams {
		if err := s.checkTeam(&s.Teams[i]); err != nil {
			return errors.Wrapf(err, "team %q", s.Teams[i].Name)
		}
	}
	for i := range s.Faults {
		if err := s.Faults[i].check(s.Duration); err != nil {
			return errors.Wrapf(err, "faults[%d]", i)
		}
	}
	return nil
}

func (c *Chat) complete() bool { return c.Path != "" && c.MaxTurns >= 1 && c.AnswerTokens >= 1 }

func (s *Scenario) checkTeam(t *Team) error {
	if t.ChatsPerSecond < 0 {
		return errors.New("chats_per_second is negative")
	}
	if t.ChatsPerSecond > 0 && (t.Chats < 1 || t.ZipfExponent <= 1 || !s.Chat.complete()) {
		return errors.New("chats need chats >= 1, zipf_exponent > 1 and chat.path, chat.max_turns, chat.answer_tokens")
	}
	for _, c := range t.Calls {
		if c.PerSecond < 0 || c.Method == "" || c.Path == "" || c.Route == "" {
			return errors.Errorf("call %q: want route, method, path and a rate of 0 or more", c.Route)
		}
	}
	for _, u := range t.Surges {
		if u.Factor <= 0 || u.To <= u.From {
			return errors.New("surge: want factor > 0 and to after from")
		}
	}
	return nil
}

func (f *Fault) check(duration settings.Duration) error {
	if f.Target == "" || f.At < 0 || f.At > duration {
		return errors.New("want a target and a time within the run")
	}
	switch f.Act {
	case ActStandIn:
		if f.Order == nil {
			return errors.New("act standin: want an order")
		}
	case ActDataCentre, ActUpstream:
		if f.State != document.StateIn && f.State != document.StateOut {
			return errors.Errorf("act %s: state %q: want in or out", f.Act, f.State)
		}
	case ActProcess:
		if !slices.Contains([]string{SignalKill, SignalFreeze, SignalThaw, SignalRestart}, f.Signal) {
			return errors.Errorf("act process: signal %q: want kill, freeze, thaw or restart", f.Signal)
		}
	default:
		return errors.Errorf("act %q does not exist", f.Act)
	}
	return nil
}

// Factor is the product of the team's surges at a time of the run.
func (t *Team) Factor(at time.Duration) float64 {
	factor := 1.0
	for _, u := range t.Surges {
		if at >= u.From.Std() && at < u.To.Std() {
			factor *= u.Factor
		}
	}
	return factor
}
