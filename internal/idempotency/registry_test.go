package idempotency

import (
	"bytes"
	"context"
	"crypto/sha256"
	"fmt"
	"os"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/orioleusher/orioleusher/internal/outcome"
	"github.com/orioleusher/orioleusher/internal/testfleet/rapidseed"
)

func TestMain(m *testing.M) { os.Exit(rapidseed.Run(m, 5000)) }

// machine drives the registry of one host through its incarnations and remembers, outside of it, what ran.
type machine struct {
	clock    *clockwork.FakeClock
	registry *Registry
	boot     uint64
	keys     []string
	// first is the request that each key was first accepted for; ran counts the runs that may have reached an upstream.
	first   map[string][sha256.Size]byte
	ran     map[string]int
	answers map[string][]byte
	open    []openRun
}

type openRun struct {
	text string
	run  *Run
	reg  *Registry
}

const machineRuns = 6

func (m *machine) restart(t *rapid.T) {
	m.boot++
	signer, err := NewSigner("host", m.boot)
	if err != nil {
		t.Fatal(err)
	}
	m.registry = NewRegistry(signer, m.clock)
	m.registry.maxRuns, m.registry.maxBytes = machineRuns, 64
}

func (m *machine) issue(t *rapid.T) {
	text, err := m.registry.Issue("team")
	if err != nil {
		t.Fatal(err)
	}
	m.keys = append(m.keys, text)
}

// send uses some key that was ever issued for one of two requests.
func (m *machine) send(t *rapid.T) {
	if len(m.keys) == 0 {
		return
	}
	text := m.keys[rapid.IntRange(0, len(m.keys)-1).Draw(t, "key")]
	request := sha256.Sum256([]byte{byte(rapid.IntRange(0, 1).Draw(t, "request"))})
	key, err := ParseKey(text)
	if err != nil {
		t.Fatal(err)
	}
	if m.registry.Verify(key, "team") != (key.Incarnation == m.boot) {
		t.Fatalf("key of incarnation %d verified by incarnation %d", key.Incarnation, m.boot)
	}
	if !m.registry.Verify(key, "team") {
		return
	}
	run, verdict := m.registry.Begin(key, request)
	if fault := m.judge(text, request, run, verdict); fault != "" {
		t.Fatalf("key %s: %s", text, fault)
	}
}

// judge returns what is wrong with a verdict, or "".
func (m *machine) judge(text string, request [sha256.Size]byte, run *Run, verdict Decision) string {
	same := m.first[text] == request
	switch {
	case verdict == Execute:
		m.ran[text]++
		m.first[text] = request
		m.open = append(m.open, openRun{text: text, run: run, reg: m.registry})
		if m.ran[text] > 1 {
			return "runs again"
		}
	case verdict == Join && !same:
		return "another request joined its run"
	case verdict == Join && answered(run) && !bytes.Equal(run.Result().Body, m.answers[text]):
		return "replays another answer"
	case verdict == DifferentRequest && same:
		return "is refused for its own request"
	case verdict == Full && len(m.registry.runs) < machineRuns:
		return "is refused although the registry is not full"
	case verdict == Full && m.ran[text] > 0:
		return "is refused as if it had not run"
	}
	return ""
}

// answered reports whether a run has an answer that is still kept.
func answered(run *Run) bool {
	return run.finished() && !run.Result().Dropped && run.Result().Refusal == nil
}

func (m *machine) finish(t *rapid.T) {
	if len(m.open) == 0 {
		return
	}
	i := rapid.IntRange(0, len(m.open)-1).Draw(t, "run")
	o := m.open[i]
	m.open = append(m.open[:i], m.open[i+1:]...)
	switch rapid.IntRange(0, 2).Draw(t, "end") {
	case 0:
		body := fmt.Appendf(nil, "answer of %s", o.text)
		m.answers[o.text] = body
		o.reg.Finish(o.run, Result{Status: 200, Body: body[:min(len(body), 30)]})
		m.answers[o.text] = body[:min(len(body), 30)]
	case 1:
		o.reg.Finish(o.run, Result{Refusal: &outcome.Refusal{Outcome: outcome.Unknown}})
	default:
		m.ran[o.text]--
		o.reg.Finish(o.run, Result{Refusal: &outcome.Refusal{Outcome: outcome.NotRun}})
	}
}

func TestAKeyRunsAtMostOnceThroughPausesRestartsAndClockSteps(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &machine{
			clock: clockwork.NewFakeClock(), first: map[string][sha256.Size]byte{}, ran: map[string]int{}, answers: map[string][]byte{},
		}
		m.restart(t)
		t.Repeat(map[string]func(*rapid.T){
			"issue":   m.issue,
			"send":    m.send,
			"resend":  m.send,
			"finish":  m.finish,
			"restart": m.restart,
			"wait": func(t *rapid.T) {
				m.clock.Advance(time.Duration(rapid.IntRange(1, 400).Draw(t, "seconds")) * time.Second)
			},
			"set the clock back": func(t *rapid.T) {
				m.clock.Advance(-time.Duration(rapid.IntRange(1, 900).Draw(t, "seconds")) * time.Second)
			},
			"": func(t *rapid.T) {
				if s := m.registry.State(); s.Runs > machineRuns || s.KeptBytes > 64 || s.KeptBytes < 0 {
					t.Fatalf("registry holds %d runs and %d bytes", s.Runs, s.KeptBytes)
				}
			},
		})
	})
}

func newTestRegistry(t *testing.T, clock clockwork.Clock) *Registry {
	t.Helper()
	signer, err := NewSigner("host", 7)
	if err != nil {
		t.Fatal(err)
	}
	return NewRegistry(signer, clock)
}

func issued(t *testing.T, r *Registry) Key {
	t.Helper()
	text, err := r.Issue("team")
	if err != nil {
		t.Fatal(err)
	}
	key, err := ParseKey(text)
	if err != nil {
		t.Fatal(err)
	}
	return key
}

func TestAPausedRunIsNotForgottenWhenItsKeyExpires(t *testing.T) {
	is := is.New(t)
	clock := clockwork.NewFakeClock()
	r := newTestRegistry(t, clock)
	key := issued(t, r)
	run, verdict := r.Begin(key, [sha256.Size]byte{})
	is.Equal(verdict, Execute)
	clock.Advance(2 * keyLifetime)
	_, verdict = r.Begin(key, [sha256.Size]byte{})
	is.Equal(verdict, Expired)
	is.Equal(r.State().Runs, 1)
	r.Finish(run, Result{})
	clock.Advance(2 * sweepInterval)
	_, verdict = r.Begin(key, [sha256.Size]byte{})
	is.Equal(verdict, Expired)
	is.Equal(r.State().Runs, 0)
}

func TestForgedAndForeignKeysAreNotVerified(t *testing.T) {
	is := is.New(t)
	r := newTestRegistry(t, clockwork.NewFakeClock())
	key := issued(t, r)
	is.True(r.Verify(key, "team"))
	is.True(!r.Verify(key, "other"))
	for _, change := range []func(*Key){
		func(k *Key) { k.Sequence++ },
		func(k *Key) { k.Expires = k.Expires.Add(time.Hour) },
		func(k *Key) { k.Incarnation++ },
		func(k *Key) { k.Host = "other" },
		func(k *Key) { k.Team = "other" },
		func(k *Key) { k.mac = append([]byte{k.mac[0] ^ 1}, k.mac[1:]...) },
	} {
		forged := key
		change(&forged)
		is.True(!r.Verify(forged, "team") && !r.Verify(forged, "other"))
	}
}

func TestAStoppingRegistryIssuesNothingAndWaitsForItsRuns(t *testing.T) {
	is := is.New(t)
	r := newTestRegistry(t, clockwork.NewFakeClock())
	key := issued(t, r)
	r.StopIssuing()
	_, err := r.Issue("team")
	is.Equal(err, ErrStopping)
	run, verdict := r.Begin(key, [sha256.Size]byte{})
	is.Equal(verdict, Execute) // an outstanding key is good until the process ends
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	is.True(r.Wait(ctx) != nil)
	r.Finish(run, Result{})
	is.NoErr(r.Wait(context.Background()))
}

func FuzzParseKey(f *testing.F) {
	signer, err := NewSigner("host", 7)
	if err != nil {
		f.Fatal(err)
	}
	valid := signer.Sign("team", 1, time.Unix(1e9, 0))
	for _, seed := range []string{"", "....", "a.b.c.d", valid, valid + "=", valid + ".", valid[:9] + "\n" + valid[9:], "\x00.\xff.A.B", valid[1:]} {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, text string) {
		key, err := ParseKey(text)
		if err != nil {
			return
		}
		if key.String() != text {
			t.Fatalf("key %q is written as %q", text, key.String())
		}
		if signer.Verify(key) && text != valid {
			t.Fatalf("key %q was not issued but verifies", text)
		}
	})
}

// setBack is a clock that was set back by an hour.
type setBack struct{ clockwork.Clock }

func (s setBack) Now() time.Time { return s.Clock.Now().Add(-time.Hour) }

func TestAClockThatIsSetBackRevivesNoTime(t *testing.T) {
	is := is.New(t)
	signer, err := NewSigner("host", 1)
	is.NoErr(err)
	clock := clockwork.NewFakeClock()
	r := NewRegistry(signer, clock)
	before := r.now()
	r.clock = setBack{clock}
	is.Equal(r.now(), before)
	clock.Advance(2 * time.Hour)
	is.True(r.now().After(before))
}
