// Package scenario defines the JSON file that describes a load run: the requests to send and the faults to inject.
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

// Scenario describes one load run.
type Scenario struct {
	Name string `json:"name"`
	// Seed makes the arrival times, the chats and the callers' choice of hosts reproducible.
	Seed     uint64            `json:"seed"`
	Duration settings.Duration `json:"duration"`
	// Warmup is the time at the start of the run whose requests are excluded from the measures.
	Warmup         settings.Duration `json:"warmup"`
	RequestTimeout settings.Duration `json:"request_timeout"`
	// Attempts is the maximum number of attempts of one request.
	Attempts int `json:"attempts"`
	// Scale multiplies every arrival rate; 0 means 1.
	Scale  float64 `json:"scale,omitempty"`
	Chat   Chat    `json:"chat"`
	Teams  []Team  `json:"teams"`
	Faults []Fault `json:"faults,omitempty"`
}

// Chat describes chats of several turns, each of which sends the whole conversation so far.
type Chat struct {
	Path string `json:"path"`
	// SystemTokens is the length of the system prompt that all chats of a team share.
	SystemTokens int `json:"system_tokens"`
	// HistoryTokens is the length of a chat's first user message, TurnTokens that of each later one.
	HistoryTokens int `json:"history_tokens"`
	TurnTokens    int `json:"turn_tokens"`
	AnswerTokens  int `json:"answer_tokens"`
	// Pause is the minimum time between two turns of a chat. A turn contains the response to the previous turn, which
	// must have been received by then. If every chat of the team is within its pause, a new one starts.
	Pause settings.Duration `json:"pause"`
	// MaxTurns is the number of turns after which a chat ends and a new one replaces it.
	MaxTurns int `json:"max_turns"`
}

// Team describes the traffic of one team.
type Team struct {
	Name string `json:"name"`
	// ChatsPerSecond is the mean rate of chat requests, each of which is one turn.
	ChatsPerSecond float64 `json:"chats_per_second"`
	// Chats is the number of concurrent chats. ZipfExponent, which must be above 1, is the skew of their popularity.
	Chats        int     `json:"chats"`
	ZipfExponent float64 `json:"zipf_exponent"`
	Calls        []Call  `json:"calls,omitempty"`
	Surges       []Surge `json:"surges,omitempty"`
}

// Call describes traffic to a service.
type Call struct {
	Route     string  `json:"route"`
	Method    string  `json:"method"`
	Path      string  `json:"path"`
	PerSecond float64 `json:"per_second"`
	// AtMostOnce is set for calls that may not be repeated. The caller first requests an idempotency key for them.
	AtMostOnce bool `json:"once,omitempty"`
	// Repeats is how many times the caller sends such a call again, with the same idempotency key, after the first
	// response. With repeats, the caller also retries the call with its key when the outcome is unknown. It is used to
	// show that the call runs only once.
	Repeats int `json:"repeats,omitempty"`
	// AllowsAnonymous is set for calls that are sent without an API key.
	AllowsAnonymous bool `json:"open,omitempty"`
}

// Surge multiplies the arrival rates of a team within a time window.
type Surge struct {
	From   settings.Duration `json:"from"`
	To     settings.Duration `json:"to"`
	Factor float64           `json:"factor"`
}

// FaultKind is the kind of a Fault.
type FaultKind string

// Kinds of faults.
const (
	// FaultStandIn sends Order to the admin address of the stand-in Target.
	FaultStandIn FaultKind = "standin"
	// FaultDataCentre publishes a document that sets data centre Target to State.
	FaultDataCentre FaultKind = "data-centre"
	// FaultUpstream publishes a document that sets upstream Target to State.
	FaultUpstream FaultKind = "upstream"
	// FaultProcess writes "SIGNAL TARGET" to the hook file; an external script executes it.
	FaultProcess FaultKind = "process"
)

// Signals of FaultProcess.
const (
	SignalKill    = "kill"
	SignalFreeze  = "freeze"
	SignalThaw    = "thaw"
	SignalRestart = "restart"
)

// Fault is an entry in the schedule of faults.
type Fault struct {
	At     settings.Duration `json:"at"`
	Kind   FaultKind         `json:"act"`
	Target string            `json:"target"`
	Order  *faults.Request   `json:"order,omitempty"`
	State  document.State    `json:"state,omitempty"`
	Signal string            `json:"signal,omitempty"`
}

// Read reads and validates the scenario file at path.
func Read(path string) (*Scenario, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Wrap(err, "read scenario")
	}
	s, err := Parse(raw)
	return s, errors.Wrapf(err, "scenario %s", path)
}

// Parse decodes and validates a scenario. Unknown fields are errors.
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
		return errors.New("duration must be greater than 0")
	case s.Warmup < 0 || s.Warmup >= s.Duration:
		return errors.Errorf("warmup %s must be at least 0 and less than the duration", s.Warmup.Std())
	case s.Scale < 0 || s.Attempts < 1:
		return errors.New("scale and attempts must be positive")
	case len(s.Teams) == 0:
		return errors.New("teams must contain at least one team")
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
		return errors.New("chats_per_second requires chats >= 1, zipf_exponent > 1, chat.path, chat.max_turns and chat.answer_tokens")
	}
	for _, c := range t.Calls {
		if c.PerSecond < 0 || c.Method == "" || c.Path == "" || c.Route == "" {
			return errors.Errorf("call %q must have a route, a method, a path and a rate of at least 0", c.Route)
		}
	}
	for _, u := range t.Surges {
		if u.Factor <= 0 || u.To <= u.From {
			return errors.New("surge must have a factor > 0 and end after it starts")
		}
	}
	return nil
}

func (f *Fault) check(duration settings.Duration) error {
	if f.Target == "" || f.At < 0 || f.At > duration {
		return errors.New("fault must have a target and a time within the run")
	}
	switch f.Kind {
	case FaultStandIn:
		if f.Order == nil {
			return errors.New("act standin requires an order")
		}
	case FaultDataCentre, FaultUpstream:
		if f.State != document.StateIn && f.State != document.StateOut {
			return errors.Errorf("act %s: state %q must be in or out", f.Kind, f.State)
		}
	case FaultProcess:
		if !slices.Contains([]string{SignalKill, SignalFreeze, SignalThaw, SignalRestart}, f.Signal) {
			return errors.Errorf("act process: signal %q must be kill, freeze, thaw or restart", f.Signal)
		}
	default:
		return errors.Errorf("act %q does not exist", f.Kind)
	}
	return nil
}

// SurgeFactor returns the product of the team's surge factors at the given time of the run.
func (t *Team) SurgeFactor(at time.Duration) float64 {
	factor := 1.0
	for _, u := range t.Surges {
		if at >= u.From.Std() && at < u.To.Std() {
			factor *= u.Factor
		}
	}
	return factor
}
