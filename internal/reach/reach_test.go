package reach

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"
	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"
)

// network holds which upstreams accept connections.
type network struct {
	mu sync.Mutex
	// reaches tells which upstreams accept connections, and responds which respond.
	reaches, responds func(Target) bool
	dials, asked      int
}

func (n *network) connect(_ context.Context, t Target) error {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.dials++
	return result(n.reaches(t))
}

func (n *network) ask(_ context.Context, t Target) error {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.asked++
	return result(n.responds(t))
}

func result(succeeds bool) error {
	if succeeds {
		return nil
	}
	return errors.New("unreachable")
}

func (n *network) set(reaches func(Target) bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.reaches = reaches
}

// targets are two upstreams in each of four data centres.
func targets() []Target {
	var list []Target
	for dc := range 4 {
		for n := range 2 {
			list = append(list, Target{Address: fmt.Sprintf("%d-%d", dc, n), DataCentre: fmt.Sprintf("dc%d", dc)})
		}
	}
	return list
}

func newDetector(n *network, changes chan bool) (*Detector, *clockwork.FakeClock) {
	clock := clockwork.NewFakeClock()
	d := New(Options{
		DataCentre: "dc0", Targets: targets, Clock: clock, Rand: rand.New(rand.NewPCG(1, 1)), Log: zerolog.Nop(), Scope: tally.NoopScope,
		OnChange: func(cutOff bool) { changes <- cutOff },
		Connect:  n.connect, Ask: n.ask,
	})
	clock.Advance(time.Second)
	return d, clock
}

func none(Target) bool  { return false }
func every(Target) bool { return true }

// confirm runs a round of probes and returns its conclusion.
func confirm(d *Detector, clock *clockwork.FakeClock) bool {
	clock.Advance(roundInterval)
	return d.Confirm(context.Background())
}

// Guards against a host that cannot tell that it is cut off, or that takes faults of upstreams or of other data centres for that.
func TestHostIsCutOffOnlyIfItReachesNoUpstream(t *testing.T) {
	for name, tt := range map[string]struct {
		reaches func(Target) bool
		want    bool
	}{
		"none":              {none, true},
		"every":             {every, false},
		"own data centre":   {func(t Target) bool { return t.DataCentre == "dc0" }, false},
		"other data centre": {func(t Target) bool { return t.DataCentre != "dc0" }, false},
		"half":              {func(t Target) bool { return t.Address[2] == '0' }, false},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			n := &network{reaches: tt.reaches}
			d, clock := newDetector(n, make(chan bool, 1))
			is.Equal(confirm(d, clock), tt.want)
		})
	}
}

// counts returns the numbers of probes that connected and that asked for a response.
func (n *network) counts() (dials, asked int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.dials, n.asked
}

// awaitRound waits until a round after the given number of dials has ended.
func awaitRound(t *testing.T, d *Detector, n *network, dials int) {
	t.Helper()
	for end := time.Now().Add(5 * time.Second); time.Now().Before(end); time.Sleep(time.Millisecond) {
		connected, asked := n.counts()
		begun := connected+asked > dials
		d.mu.Lock()
		ended := d.round == nil
		d.mu.Unlock()
		if begun && ended {
			return
		}
	}
	t.Fatal("no round of probes has ended")
}

// Guards against a host that stays cut off after its path works again, against one that counts as reconnected by one upstream while
// others serve its requests, and against one that waits for most upstreams to return while nobody reaches any.
func TestHostIsReconnectedOnceProbesSucceed(t *testing.T) {
	own := func(t Target) bool { return t.DataCentre == "dc0" }
	for name, tt := range map[string]struct {
		reaches func(Target) bool
		detours bool
		cutOff  bool
	}{
		"every":                      {every, true, false},
		"few while others serve":     {own, true, true},
		"few while nobody serves":    {own, false, false},
		"none while nobody serves":   {none, false, true},
		"every while nobody serves":  {every, false, false},
		"none while others serve it": {none, true, true},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			n, changes := &network{reaches: none}, make(chan bool, 2)
			d, clock := newDetector(n, changes)
			is.True(confirm(d, clock))
			is.True(<-changes)
			n.set(tt.reaches)
			is.NoErr(clock.BlockUntilContext(t.Context(), 1)) // the next round is planned
			if tt.detours {
				d.RecordDetour()
				clock.Advance(soonRoundInterval)
				is.NoErr(clock.BlockUntilContext(t.Context(), 1)) // the round is put off
			}
			n.mu.Lock()
			dials := n.dials
			n.mu.Unlock()
			clock.Advance(roundInterval)
			awaitRound(t, d, n, dials)
			is.Equal(d.CutOff(), tt.cutOff)
		})
	}
}

// Guards against a host that stays cut off for good because too few upstreams were published at the moment of a round.
func TestHostIsReconnectedAfterUpstreamsWereUnpublished(t *testing.T) {
	is := is.New(t)
	n, changes := &network{reaches: none}, make(chan bool, 1)
	d, clock := newDetector(n, changes)
	var gone atomic.Bool
	d.Targets = func() []Target {
		if gone.Load() {
			return nil
		}
		return targets()
	}
	is.True(confirm(d, clock))
	is.True(<-changes)
	ctx, cancel := context.WithTimeout(t.Context(), time.Second)
	defer cancel()
	gone.Store(true)
	is.NoErr(clock.BlockUntilContext(ctx, 1)) // the next round is planned
	clock.Advance(roundInterval)
	is.NoErr(clock.BlockUntilContext(ctx, 1))
	gone.Store(false)
	n.set(every)
	clock.Advance(roundInterval)
	is.True(!<-changes)
}

// Guards against a cut that goes unnoticed because all upstreams are in this host's data centre.
func TestCutIsNoticedWithUpstreamsOfOneDataCentre(t *testing.T) {
	is := is.New(t)
	n := &network{reaches: none}
	d, clock := newDetector(n, make(chan bool, 1))
	d.Targets = func() []Target { return targets()[:2] }
	is.True(confirm(d, clock))
}

// Guards against a host that takes a cut between data centres for its own because it asks no upstream of its own data centre, where
// there are many others.
func TestEachRoundProbesOwnDataCentre(t *testing.T) {
	is := is.New(t)
	d, _ := newDetector(&network{reaches: none}, make(chan bool, 1))
	var list []Target
	for dc := range 9 {
		list = append(list, Target{Address: fmt.Sprintf("%d-0", dc), DataCentre: fmt.Sprintf("dc%d", dc)})
	}
	for range 50 {
		first := d.choose(list)[:firstProbes]
		is.True(slices.ContainsFunc(first, func(t Target) bool { return t.DataCentre == "dc0" }))
	}
}

// Guards against a cut that goes unnoticed because something accepts the connections in the place of the upstreams and closes them.
func TestConnectionThatIsClosedAtOnceDoesNotCount(t *testing.T) {
	for name, serve := range map[string]func(c net.Conn){
		"closed": func(c net.Conn) { c.Close() },
		"reset": func(c net.Conn) {
			_ = c.(*net.TCPConn).SetLinger(0)
			c.Close()
		},
		"open": func(net.Conn) {},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			l, err := net.Listen("tcp", "127.0.0.1:0")
			is.NoErr(err)
			defer l.Close()
			conn, err := net.Dial("tcp", l.Addr().String())
			is.NoErr(err)
			defer conn.Close()
			accepted, err := l.Accept()
			is.NoErr(err)
			defer accepted.Close()
			serve(accepted)
			is.Equal(CheckOpen(conn) == nil, name == "open")
		})
	}
}

// Guards against a cut that goes unnoticed because something accepts the connections in the place of the upstreams and is silent,
// and against health checks because of a silent upstream.
func TestSilenceOfSeveralUpstreamsIsNoticedByTheirResponses(t *testing.T) {
	is := is.New(t)
	n, changes := &network{reaches: every, responds: none}, make(chan bool, 1)
	d, clock := newDetector(n, changes)
	silence := func(address string) {
		clock.Advance(roundInterval)
		dials, asked := n.counts()
		d.RecordSilence(address)
		awaitRound(t, d, n, dials+asked)
	}
	silence("0-0")
	silence("1-0")
	_, asked := n.counts()
	is.Equal(asked, 0)
	is.True(!d.CutOff())
	d.RecordData()
	silence("2-0") // the others have been heard since, as far as is known
	_, asked = n.counts()
	is.Equal(asked, 0)
	silence("0-0")
	silence("1-0")
	is.True(<-changes)
	is.NoErr(clock.BlockUntilContext(t.Context(), 1)) // the next round is planned
	dials, asked := n.counts()
	clock.Advance(roundInterval)
	awaitRound(t, d, n, dials+asked)
	is.True(d.CutOff()) // they accept connections but do not respond
	n.mu.Lock()
	n.responds = every
	n.mu.Unlock()
	is.NoErr(clock.BlockUntilContext(t.Context(), 1))
	clock.Advance(roundInterval)
	is.True(!<-changes)
}

// Guards against a host that takes its own lack of descriptors or ports for a cut, and then closes the connections that it has.
func TestLackOfDescriptorsIsNotTakenForCut(t *testing.T) {
	for _, cause := range []error{syscall.EMFILE, syscall.ENFILE, syscall.EADDRNOTAVAIL, syscall.ENOBUFS} {
		is := is.New(t)
		d, clock := newDetector(&network{reaches: none}, make(chan bool, 1))
		d.Connect = func(context.Context, Target) error {
			return &net.OpError{Op: "dial", Err: os.NewSyscallError("socket", cause)}
		}
		is.True(!confirm(d, clock))
	}
}

// Guards against probes for each failure of a single upstream, and against a cut that is not noticed while open connections live on.
func TestDataOfOtherUpstreamsSavesProbes(t *testing.T) {
	is := is.New(t)
	n, changes := &network{reaches: none}, make(chan bool, 1)
	d, _ := newDetector(n, changes)
	d.RecordData()
	for range 9 {
		d.RecordFailure("0-0", true)
	}
	is.Equal(n.dials, 0)
	d.RecordConnected()
	d.RecordFailure("0-0", true)
	d.RecordFailure("1-0", true)
	d.RecordFailure("1-1", false) // a broken response
	is.Equal(n.dials, 0)
	d.RecordFailure("2-0", true)
	is.True(<-changes)
}
