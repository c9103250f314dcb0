package direct

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/orioleusher/orioleusher/internal/catalog"
)

// troubled are upstreams that refuse, execute or lose requests at random, and send late second copies of their responses.
type troubled struct {
	mu    sync.Mutex
	rand  *rand.Rand
	runs  map[string]int
	locks map[net.Conn]*sync.Mutex
}

func (u *troubled) draw(n int) int {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.rand.IntN(n)
}

func (u *troubled) delay() time.Duration { return time.Duration(u.draw(12)) * time.Millisecond }

// write writes a whole response, which no other one interrupts.
func (u *troubled) write(c net.Conn, text string) {
	u.mu.Lock()
	lock := u.locks[c]
	if lock == nil {
		lock = &sync.Mutex{}
		u.locks[c] = lock
	}
	u.mu.Unlock()
	lock.Lock()
	defer lock.Unlock()
	writeText(c, text)
}

func (u *troubled) writeTwice(c net.Conn, text string) {
	u.write(c, text)
	time.AfterFunc(u.delay(), func() { u.write(c, text) })
}

// serve answers one request.
func (u *troubled) serve(c net.Conn, r *http.Request) bool {
	id := r.Header.Get("X-Id")
	if u.draw(2) == 0 {
		status := []int{http.StatusServiceUnavailable, http.StatusMisdirectedRequest, http.StatusTooManyRequests}[u.draw(3)]
		u.writeTwice(c, fmt.Sprintf("HTTP/1.1 %d Not run\r\nX-Id: %s\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n", status, id))
		return true
	}
	u.mu.Lock()
	u.runs[id]++
	u.mu.Unlock()
	time.Sleep(u.delay())
	switch u.draw(8) {
	case 0:
		resetConn(c)
		return false
	case 1:
		return false
	case 2:
		u.write(c, refusalTo(id)[:60])
		return false
	case 3:
		status := []int{http.StatusServiceUnavailable, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusRequestTimeout}[u.draw(4)]
		u.write(c, fmt.Sprintf("HTTP/1.1 %d Own\r\nX-Id: %s\r\nX-Signed: 1\r\nContent-Length: 0\r\n\r\n", status, id))
	default:
		u.writeTwice(c, response200(id, event(1)))
	}
	return true
}

// restart publishes, until stop is closed, that upstreams have started again at their addresses, under their ID or another one.
func (h *harness) restart(u *troubled, stop <-chan struct{}) {
	for started := 2; ; started++ {
		select {
		case <-stop:
			return
		case <-time.After(time.Millisecond):
		}
		n := u.draw(len(h.listeners))
		h.publish(fmt.Sprintf("up/%s%d/%s/started-%d", []string{"u", "v"}[u.draw(2)], n+1, h.listeners[n].Addr(), started))
	}
}

// Guards against requests that are executed twice, or refused with the promise that they were not executed although they were,
// beside upstreams that lose, refuse and repeat responses and start again, deadlines and the end of a planned stop.
func TestPromisesHoldBesideTroubledUpstreams(t *testing.T) {
	const callers, calls = 8, 40
	for seed := range uint64(6) {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			is := is.New(t)
			u := &troubled{rand: rand.New(rand.NewPCG(seed, 0)), runs: map[string]int{}, locks: map[net.Conn]*sync.Mutex{}}
			script := make([]behaviour, callers*calls*maxSends)
			for i := range script {
				script[i] = behaviour{"troubled", u.serve, true}
			}
			h := newHarness(t, []catalog.Kind{catalog.Unsafe, catalog.Stream}[seed%2], false, script...)
			if seed%3 == 0 {
				cutOff := 200 * time.Millisecond
				h.server.BeginStop(time.Now().Add(time.Hour), time.Now().Add(time.Hour))
				time.AfterFunc(cutOff, h.server.CutOff)
			}
			stop := make(chan struct{})
			var restarts, done sync.WaitGroup
			restarts.Go(func() { h.restart(u, stop) })
			var mu sync.Mutex
			statuses := map[string]int{}
			for caller := range callers {
				done.Go(func() {
					for call := range calls {
						id := fmt.Sprintf("%d-%d", caller, call)
						got := h.call(http.MethodPost, "/r/", "hello", "X-Id", id, "X-Wait-Ms", []string{"0", "40", "120"}[call%3])
						mu.Lock()
						statuses[id] = got.status
						mu.Unlock()
					}
				})
			}
			done.Wait()
			close(stop)
			restarts.Wait()
			u.mu.Lock()
			defer u.mu.Unlock()
			for id, status := range statuses {
				is.True(u.runs[id] <= 1)
				is.True(u.runs[id] == 0 || !promisesNotRun(status))
			}
		})
	}
}
