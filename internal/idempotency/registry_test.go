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

// registryModel drives the registry of one host through several incarnations and records independently which requests
// ran.
type registryModel struct {
	clock       *clockwork.FakeClock
	registry    *Registry
	incarnation uint64
	keys        []string
	// first is the request that each key was first accepted for. ran counts the runs of each key that may have reached an
	// upstream.
	first  map[string][sha256.Size]byte
	ran    map[string]int
	bodies map[string][]byte
	open   []openRun
}

type openRun struct {
	text     string
	run      *Run
	registry *Registry
}

const modelMaxRuns = 6

func (m *registryModel) restart(t *rapid.T) {
	m.incarnation++
	signer, err := NewSigner("host", m.incarnation)
	if err != nil {
		t.Fatal(err)
	}
	m.registry = NewRegistry(signer, m.clock)
	m.registry.maxRuns, m.registry.maxBytes = modelMaxRuns, 64
}

func (m *registryModel) issue(t *rapid.T) {
	text, err := m.registry.Issue("team")
	if err != nil {
		t.Fatal(err)
	}
	m.keys = append(m.keys, text)
}

// send uses one of all keys issued so far for one of two requests.
func (m *registryModel) send(t *rapid.T) {
	if len(m.keys) == 0 {
		return
	}
	text := m.keys[rapid.IntRange(0, len(m.keys)-1).Draw(t, "key")]
	request := sha256.Sum256([]byte{byte(rapid.IntRange(0, 1).Draw(t, "request"))})
	key, err := ParseKey(text)
	if err != nil {
		t.Fatal(err)
	}
	if m.registry.Verify(key, "team") != (key.Incarnation == m.incarnation) {
		t.Fatalf("key of incarnation %d verified by incarnation %d", key.Incarnation, m.incarnation)
	}
	if !m.registry.Verify(key, "team") {
		return
	}
	run, decision := m.registry.Begin(key, request)
	if fault := m.checkDecision(text, request, run, decision); fault != "" {
		t.Fatalf("key %s: %s", text, fault)
	}
}

// checkDecision describes what is wrong with a decision, or returns "".
func (m *registryModel) checkDecision(text string, request [sha256.Size]byte, run *Run, decision Decision) string {
	same := m.first[text] == request
	switch {
	case decision == Execute:
		m.ran[text]++
		m.first[text] = request
		m.open = append(m.open, openRun{text: text, run: run, registry: m.registry})
		if m.ran[text] > 1 {
			return "is run a second time"
		}
	case decision == Join && !same:
		return "lets another request join its run"
	case decision == Join && hasStoredResponse(run) && !bytes.Equal(run.Result().Body, m.bodies[text]):
		return "replays a different response"
	case decision == DifferentRequest && same:
		return "is refused for its own request"
	case decision == Full && len(m.registry.runs) < modelMaxRuns:
		return "is refused although the registry is not full"
	case decision == Full && m.ran[text] > 0:
		return "is refused as if it had not been run"
	}
	return ""
}

// hasStoredResponse reports whether a run has finished with a response that is stored.
func hasStoredResponse(run *Run) bool {
	return run.finished() && !run.Result().Dropped && run.Result().Refusal == nil
}

func (m *registryModel) finish(t *rapid.T) {
	if len(m.open) == 0 {
		return
	}
	i := rapid.IntRange(0, len(m.open)-1).Draw(t, "run")
	open := m.open[i]
	m.open = append(m.open[:i], m.open[i+1:]...)
	switch rapid.IntRange(0, 2).Draw(t, "end") {
	case 0:
		body := fmt.Appendf(nil, "answer of %s", open.text)
		m.bodies[open.text] = body
		open.registry.Finish(open.run, Result{Status: 200, Body: body[:min(len(body), 30)]})
		m.bodies[open.text] = body[:min(len(body), 30)]
	case 1:
		open.registry.Finish(open.run, Result{Refusal: &outcome.Refusal{Outcome: outcome.Unknown}})
	default:
		m.ran[open.text]--
		open.registry.Finish(open.run, Result{Refusal: &outcome.Refusal{Outcome: outcome.NotRun}})
	}
}

func TestKeyRunsAtMostOnceAcrossPausesRestartsAndClockSteps(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &registryModel{
			clock: clockwork.NewFakeClock(), first: map[string][sha256.Size]byte{}, ran: map[string]int{}, bodies: map[string][]byte{},
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
				if s := m.registry.State(); s.Runs > modelMaxRuns || s.KeptBytes > 64 || s.KeptBytes < 0 {
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

func TestUnfinishedRunIsKeptWhenItsKeyExpires(t *testing.T) {
	is := is.New(t)
	clock := clockwork.NewFakeClock()
	r := newTestRegistry(t, clock)
	key := issued(t, r)
	run, decision := r.Begin(key, [sha256.Size]byte{})
	is.Equal(decision, Execute)
	clock.Advance(2 * keyLifetime)
	_, decision = r.Begin(key, [sha256.Size]byte{})
	is.Equal(decision, Expired)
	is.Equal(r.State().Runs, 1)
	r.Finish(run, Result{})
	clock.Advance(2 * sweepInterval)
	_, decision = r.Begin(key, [sha256.Size]byte{})
	is.Equal(decision, Expired)
	is.Equal(r.State().Runs, 0)
}

func TestVerifyRejectsForgedAndForeignKeys(t *testing.T) {
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

func TestStoppingRegistryIssuesNoKeysAndWaitsForRuns(t *testing.T) {
	is := is.New(t)
	r := newTestRegistry(t, clockwork.NewFakeClock())
	key := issued(t, r)
	r.StopIssuing()
	_, err := r.Issue("team")
	is.Equal(err, ErrStopping)
	run, decision := r.Begin(key, [sha256.Size]byte{})
	is.Equal(decision, Execute) // A key that was issued before may be used until the process ends.
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
			t.Fatalf("key %q verifies although it was not issued", text)
		}
	})
}

// steppedBackClock is a clock that has been set back by an hour.
type steppedBackClock struct{ clockwork.Clock }

func (s steppedBackClock) Now() time.Time { return s.Clock.Now().Add(-time.Hour) }

func TestRegistryTimeDoesNotGoBack(t *testing.T) {
	is := is.New(t)
	signer, err := NewSigner("host", 1)
	is.NoErr(err)
	clock := clockwork.NewFakeClock()
	r := NewRegistry(signer, clock)
	before := r.now()
	r.clock = steppedBackClock{clock}
	is.Equal(r.now(), before)
	clock.Advance(2 * time.Hour)
	is.True(r.now().After(before))
}
