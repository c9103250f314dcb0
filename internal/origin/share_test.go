package origin

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"
	"github.com/pkg/errors"
	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"
	"google.golang.org/protobuf/proto"

	"github.com/orioleusher/orioleusher/internal/rpc/fleetpb"
)

// fakeConn records what is sent.
type fakeConn struct {
	net.PacketConn
	sent []sentDatagram
	err  error
}

type sentDatagram struct {
	to   string
	data []byte
}

func (c *fakeConn) WriteTo(b []byte, to net.Addr) (int, error) {
	if c.err != nil {
		return 0, c.err
	}
	c.sent = append(c.sent, sentDatagram{to.String(), append([]byte(nil), b...)})
	return len(b), nil
}

// twoWitnesses selects the same hosts for all streams.
type twoWitnesses struct{}

func (twoWitnesses) Witnesses(StreamID) []string { return []string{"127.0.0.1:1", "127.0.0.2:2"} }

// lineCounter counts log lines.
type lineCounter int

func (l *lineCounter) Write(b []byte) (int, error) { *l++; return len(b), nil }

type sharerTest struct {
	*Sharer
	clock    *clockwork.FakeClock
	versions *fakeVersions
	conn     *fakeConn
	lines    lineCounter
	metrics  tally.TestScope
}

func newSharerTest() *sharerTest {
	clock := clockwork.NewFakeClock()
	st := &sharerTest{
		clock: clock, versions: &fakeVersions{clock: clock, versions: []string{"1"}}, conn: &fakeConn{}, metrics: tally.NewTestScope("", nil),
	}
	st.Sharer = NewSharer(SharerOptions{
		Table: NewTable(clock), Versions: st.versions, Window: testWindow, MaxDataAge: testMaxAge, Witnesses: twoWitnesses{},
		Conn: st.conn, Clock: clock, Log: zerolog.New(&st.lines), Scope: st.metrics,
	})
	return st
}

// told returns the records that the host at the address was told.
func (st *sharerTest) told(is *is.I, address string) []Record {
	var list []Record
	for _, d := range st.conn.sent {
		if d.to != address {
			continue
		}
		var m fleetpb.Loads
		is.NoErr(proto.Unmarshal(d.data, &m))
		for _, o := range m.GetOrigins() {
			list = append(list, Decode(o, st.clock.Now()))
		}
	}
	return list
}

// Guards against a host that is killed before it has told others of a stream whose first event a caller has received, and
// against hosts that are told twice.
func TestOriginIsToldBeforeRecordReturns(t *testing.T) {
	for _, tt := range []struct {
		name    string
		prepare func(st *sharerTest)
		atOnce  bool
	}{
		{"one version", func(*sharerTest) {}, false},
		{"no version", func(st *sharerTest) { st.versions.versions = nil }, false},
		{"two versions", func(st *sharerTest) { st.versions.versions = []string{"1", "2"} }, true},
		{"oldest data that is accepted", func(st *sharerTest) { st.versions.age = fresh }, false},
		{"data too old", func(st *sharerTest) { st.versions.age = tooOld }, true},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			st := newSharerTest()
			tt.prepare(st)
			r := record(st.clock, testStream, "1", time.Minute)
			st.Record(r)
			found, ok := st.Table.Find(testStream)
			is.True(ok)
			is.Equal(found, r)
			is.Equal(len(st.conn.sent) == 2, tt.atOnce)
			is.Equal(len(st.conn.sent) == 0, !tt.atOnce)
			for range 2 {
				st.Share()
				is.Equal(st.told(is, "127.0.0.1:1"), []Record{r})
				is.Equal(st.told(is, "127.0.0.2:2"), []Record{r})
			}
		})
	}
}

// Guards against streams that only their host knows: it may die before a second version is published. They are told in parts.
func TestOtherStreamsAreToldInParts(t *testing.T) {
	is := is.New(t)
	st := newSharerTest()
	const streams = maxShared + 10
	for i := range StreamID(streams) {
		st.Record(record(st.clock, i, "1", time.Minute))
	}
	is.Equal(len(st.conn.sent), 0)
	st.Share()
	is.Equal(len(st.told(is, "127.0.0.1:1")), maxShared)
	st.Share()
	st.Share()
	told := map[StreamID]bool{}
	for _, r := range st.told(is, "127.0.0.2:2") {
		told[r.Stream] = true
	}
	is.Equal(len(told), streams)
	is.Equal(len(st.conn.sent), 2*streams)
}

// Guards against a loop that does not run, or does not end.
func TestRunTellsOfStreams(t *testing.T) {
	is := is.New(t)
	st := newSharerTest()
	st.Record(record(st.clock, testStream, "1", time.Minute))
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() { st.Run(ctx); close(ended) }()
	is.NoErr(st.clock.BlockUntilContext(ctx, 1))
	st.clock.Advance(ShareInterval)
	is.NoErr(st.clock.BlockUntilContext(ctx, 1)) // the next round waits
	cancel()
	<-ended
	is.Equal(len(st.told(is, "127.0.0.1:1")), 1)
}

// Guards against a log that fills up while a host cannot send, and against failures that nobody sees.
func TestFailedSendsAreCountedAndSeldomLogged(t *testing.T) {
	is := is.New(t)
	st := newSharerTest()
	st.versions.versions = []string{"1", "2"}
	st.conn.err = errors.New("unreachable")
	const streams = 50
	for i := range StreamID(streams) {
		st.Record(record(st.clock, i, "1", time.Minute))
		st.clock.Advance(errorLogInterval / (streams - 1))
	}
	is.Equal(st.metrics.Snapshot().Counters()["origin.send_errors+"].Value(), int64(2*streams))
	is.Equal(int(st.lines), 1)
	st.clock.Advance(errorLogInterval)
	st.Record(record(st.clock, streams, "1", time.Minute))
	is.Equal(int(st.lines), 2)
	st.conn.err = nil
	st.Record(record(st.clock, streams+1, "1", time.Minute))
	is.Equal(st.metrics.Snapshot().Counters()["origin.sent_bytes+"].Value(), int64(2*len(st.conn.sent[0].data)))
}

// Guards against records that change on their way to another host.
func TestRecordSurvivesEncoding(t *testing.T) {
	clock := clockwork.NewFakeClock()
	for _, tt := range []struct {
		name       string
		left, want time.Duration
	}{
		{"ordinary", 1500 * time.Millisecond, 1500 * time.Millisecond},
		{"expired", -time.Second, 0},
		{"longer than the message can hold", 100 * 24 * time.Hour, (1<<32 - 1) * time.Millisecond},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			r := record(clock, HashRequestID("id"), "v1.1", tt.left)
			encoded, err := proto.Marshal(Encode(r, clock.Now()))
			is.NoErr(err)
			var m fleetpb.StreamOrigin
			is.NoErr(proto.Unmarshal(encoded, &m))
			later := clock.Now().Add(time.Hour) // the clocks of hosts differ
			got := Decode(&m, later)
			is.Equal(got.Expires.Sub(later), tt.want)
			got.Expires = r.Expires
			is.Equal(got, r)
		})
	}
}

// Guards against an origin that is not certain and that another host takes for certain.
func TestUncertainRecordSurvivesEncoding(t *testing.T) {
	is := is.New(t)
	clock := clockwork.NewFakeClock()
	r := record(clock, HashRequestID("id"), "v1.1", time.Minute)
	r.Upstream, r.Due = "i-1", clock.Now().Add(200*time.Millisecond)
	got := Decode(Encode(r, clock.Now()), clock.Now())
	is.Equal(got.Upstream, r.Upstream)
	is.True(!got.Due.Before(r.Due)) // the message has milliseconds
	is.True(got.Due.Sub(r.Due) <= time.Millisecond)
	late := Decode(Encode(r, clock.Now().Add(time.Second)), clock.Now().Add(time.Second))
	is.Equal(late.Upstream, r.Upstream)
}

// Guards against a certain origin that is forgotten because a message that is older comes later.
func TestCertainOriginIsKept(t *testing.T) {
	is := is.New(t)
	clock := clockwork.NewFakeClock()
	table := NewTable(clock)
	certain := record(clock, testStream, "1", time.Minute)
	open := certain
	open.Upstream, open.Due, open.Version = "i-1", clock.Now().Add(time.Second), "2"
	for _, r := range []Record{open, certain, open} {
		table.Add(r)
	}
	got, ok := table.Find(testStream)
	is.True(ok)
	is.Equal(got.Upstream, "")
	is.Equal(got.Version, "1")
}
