package published

import (
	"context"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"
	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"
)

// Guards against polls that are further apart than a change may take.
func TestReadTiming(t *testing.T) {
	is := is.New(t)
	short, long := ReadTimingFor(time.Second), ReadTimingFor(time.Minute)
	is.True(short.PollInterval < maxPollInterval && short.SharedPollInterval < maxSharedPollInterval)
	is.True(short.PollInterval+short.PeerTimeoutSlack < short.MaxStaleness)
	is.Equal(long.PollInterval, maxPollInterval)
	is.Equal(long.SharedPollInterval, maxSharedPollInterval)
}

// snapshotPeers is a PeerSelector that knows at most one host with all items.
type snapshotPeers struct{ peer SnapshotPeer }

func (snapshotPeers) SelectPeer(bool) Peer               { return nil }
func (s snapshotPeers) SelectSnapshotPeer() SnapshotPeer { return s.peer }

// anyPeer is a host without items.
type anyPeer struct{}

func (anyPeer) Address() string                             { return "peer" }
func (anyPeer) Snapshot(context.Context) (PeerBatch, error) { return PeerBatch{}, ErrNoSnapshot }

// Guards against a host that asks others for all items although it has them, or waits for others that there are not.
func TestStartingEnds(t *testing.T) {
	const delay = time.Second
	for _, tt := range []struct {
		name     string
		peers    PeerSelector
		after    time.Duration
		change   func(*Reader)
		starting bool
	}{
		{"begins", snapshotPeers{}, 0, func(*Reader) {}, true},
		{"no peers at all", nil, 0, func(*Reader) {}, false},
		{"before others are known", snapshotPeers{}, startGrace - 1, func(*Reader) {}, true},
		{"others are not known", snapshotPeers{}, startGrace, func(*Reader) {}, false},
		{"another is known", snapshotPeers{anyPeer{}}, startGrace, func(*Reader) {}, true},
		{"until the delay", snapshotPeers{anyPeer{}}, delay - 1, func(*Reader) {}, true},
		{"delay is over", snapshotPeers{anyPeer{}}, delay, func(*Reader) {}, false},
		{"has all items", snapshotPeers{anyPeer{}}, 0, func(r *Reader) { r.needsFullList = false }, false},
		{"has received items", snapshotPeers{anyPeer{}}, 0, func(r *Reader) { r.dataAsOf.set(r.Clock.Now()) }, false},
	} {
		t.Run(tt.name, func(t *testing.T) {
			clock := clockwork.NewFakeClock()
			r := NewReader(ReaderOptions{
				Source: &scriptedSource{}, Mirror: newMirror("", func([]Item) {}), Timing: ReadTimingFor(time.Second), Outages: &fakeOutageListener{},
				Peers: tt.peers, StartDelay: delay, Clock: clock, Log: zerolog.Nop(), Scope: tally.NoopScope,
			})
			r.startedAt = clock.Now()
			tt.change(r)
			clock.Advance(tt.after)
			is.New(t).Equal(r.starting(), tt.starting)
		})
	}
}
