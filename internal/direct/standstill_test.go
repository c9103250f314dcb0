package direct

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"github.com/orioleusher/orioleusher/internal/catalog"
)

// standsStill returns an upstream that sends the first events of a stream, stands still, and goes on.
func standsStill(first int, wait func()) behaviour {
	return behaviour{"stands still", func(c net.Conn, r *http.Request) bool {
		if first > 0 {
			streamFrom(c, r, first)
		}
		wait()
		if first == 0 {
			streamFrom(c, r, 0)
		}
		for id := first + 1; id <= streamEvents; id++ {
			writeText(c, chunk(event(id)))
		}
		writeText(c, "0\r\n\r\n")
		return true
	}, true}
}

// Guards against streams that go on at another upstream while the first one, which stood still for a moment, works on
// them.
func TestStreamStaysAtUpstreamThatStandsStill(t *testing.T) {
	for _, first := range []int{0, 2} {
		for _, silence := range []time.Duration{700, 1000, 1300, 1600, 1900} {
			t.Run(fmt.Sprintf("%d ms after %d events", silence, first), func(t *testing.T) {
				t.Parallel()
				is := is.New(t)
				h := newHarness(t, catalog.Stream, true, standsStill(first, func() { time.Sleep(silence * time.Millisecond) }), streams)
				got := h.call(http.MethodPost, "/r/", "")
				is.NoErr(got.err)
				is.Equal(got.body, wholeStream())
				_, _, ran, _ := h.record()
				is.Equal(ran, 1)
			})
		}
	}
}

// Guards against a probe for each stream of an upstream that stands still.
func TestStreamsOfSilentUpstreamShareProbe(t *testing.T) {
	is := is.New(t)
	const count = 8
	log := &lockedLog{}
	untilAllAreSilent := func() {
		for end := time.Now().Add(5 * time.Second); log.count(`"event":"send-silent"`) < count && time.Now().Before(end); {
			time.Sleep(10 * time.Millisecond)
		}
	}
	script := make([]behaviour, count)
	for i := range script {
		script[i] = standsStill(2, untilAllAreSilent)
	}
	h := newHarness(t, catalog.Stream, true, script...)
	h.server.Log = zerolog.New(log)
	h.server.assemble()
	h.leaveOnly()
	replies := make(chan reply, count)
	for range count {
		go func() { replies <- h.call(http.MethodPost, "/r/", "") }()
	}
	for range count {
		got := <-replies
		is.NoErr(got.err)
		is.Equal(got.body, wholeStream())
	}
	is.Equal(h.connCount(), count+1)
	is.Equal(log.count(`"event":"send-silent"`), count)
	is.Equal(log.count(`"accepts":true,"silent_ms":1200,"limit_ms":2000,"outcome":"wait"`), count)
}

// listenWithoutQueue returns a listener that has room for one connection that is not accepted; further ones get no answer.
func listenWithoutQueue(t *testing.T) net.Listener {
	t.Helper()
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	if err == nil {
		err = syscall.Bind(fd, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}})
	}
	if err == nil {
		err = syscall.Listen(fd, 0)
	}
	if err != nil {
		t.Fatal(err)
	}
	file := os.NewFile(uintptr(fd), "listener")
	defer file.Close()
	l, err := net.FileListener(file)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	return l
}

// Guards against streams that are not moved before their callers give up, and against those of a dark upstream that are
// moved late because a silent one may go on.
func TestStreamOfUpstreamThatStaysSilentIsMoved(t *testing.T) {
	const patience = 3200 * time.Millisecond // four times the objective
	for _, tt := range []struct {
		name    string
		darken  func(t *testing.T, l net.Listener)
		longest time.Duration
	}{
		{"accepts connections", func(*testing.T, net.Listener) {}, patience},
		{"refuses connections", func(_ *testing.T, l net.Listener) { l.Close() }, silenceTimeout},
		{"does not answer connections", func(t *testing.T, l net.Listener) {
			c, err := net.Dial("tcp", l.Addr().String())
			if err != nil {
				t.Error(err)
				return
			}
			t.Cleanup(func() { c.Close() })
		}, silenceTimeout},
	} {
		for _, first := range []int{0, 2} {
			t.Run(fmt.Sprintf("%s, after %d events", tt.name, first), func(t *testing.T) {
				t.Parallel()
				is := is.New(t)
				l := listenWithoutQueue(t)
				silentSince, done := make(chan time.Time, 1), make(chan struct{})
				defer close(done)
				silent := standsStill(first, func() {
					tt.darken(t, l)
					silentSince <- time.Now()
					<-done
				})
				h := newHarness(t, catalog.Stream, true, silent, streams)
				pool := h.store.Current().Upstreams["s"]
				h.publish("up/u1/" + l.Addr().String())
				for _, u := range pool[1:] {
					h.publish("up/" + u.ID + "/" + u.Address + "/leaving")
				}
				go func() {
					c, err := l.Accept()
					if err == nil {
						h.upstreams.serve(c)
					}
				}()
				replies := make(chan reply, 1)
				go func() { replies <- h.call(http.MethodPost, "/r/", "") }()
				start := <-silentSince
				for _, u := range pool[1:] {
					h.publish("up/" + u.ID + "/" + u.Address)
				}
				got := <-replies
				took := time.Since(start)
				is.NoErr(got.err)
				is.Equal(got.body, wholeStream())
				is.True(took < tt.longest)
				is.True(took > eventGapTimeout)
			})
		}
	}
}
