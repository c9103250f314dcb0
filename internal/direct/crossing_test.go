package direct

import (
	"context"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/orioleusher/orioleusher/internal/catalog"
	"github.com/orioleusher/orioleusher/internal/testconn"
)

const crossingRequest = "POST /r/second" + rawHead + "Content-Length: 4\r\n\r\nbody"

// crossing is a request that is sent around the beginning of a drain.
type crossing struct {
	caller *testconn.Caller
	sendAt time.Time
	cut    int // the request arrives in two parts
	// begunAt is when its first part had been sent.
	begunAt time.Time
	status  int
}

func (x *crossing) play() {

	time.Sleep(time.Until(x.sendAt))
	_, err := io.WriteString(x.caller.Conn, crossingRequest[:x.cut])
	x.begunAt = time.Now()
	if err == nil && x.cut < len(crossingRequest) {
		time.Sleep(time.Millisecond)
		_, _ = io.WriteString(x.caller.Conn, crossingRequest[x.cut:]) // fails if the connection has ended
	}
	x.status = x.caller.Status()
	_ = x.caller.Conn.Close()
}

// Guards against a request that is lost because it begins just before its connection is ended as idle.
func TestRequestsThatBeginBeforeDrainAreAnswered(t *testing.T) {
	const rounds, callers, spread = 20, 40, 4 * time.Millisecond
	is := is.New(t)
	rng := rand.New(rand.NewPCG(49, 1))
	before := 0
	for round := range rounds {
		h := newHarness(t, catalog.Unsafe, false, slices.Repeat([]behaviour{ok}, 2*callers)...)
		sent := make([]*crossing, callers)
		for i := range sent {
			sent[i] = &crossing{caller: newRawCaller(t, h), cut: 1 + rng.IntN(len(crossingRequest))}
			sent[i].caller.Write("GET /r/first" + rawHead + "\r\n")
			is.Equal(sent[i].caller.Status(), http.StatusOK)
		}
		drainAt := time.Now().Add(10 * time.Millisecond)
		var wg sync.WaitGroup
		for _, x := range sent {
			x.sendAt = drainAt.Add(time.Duration(rng.Int64N(int64(spread))) - spread/2)
			wg.Go(x.play)
		}
		time.Sleep(time.Until(drainAt))
		ctx, cancel := context.WithTimeout(context.Background(), responseTimeout)
		drainedAt := time.Now()
		is.NoErr(h.server.AwaitConns(ctx))
		cancel()
		wg.Wait()
		for i, x := range sent {
			if !x.begunAt.Before(drainedAt) {
				continue
			}
			before++
			if x.status != http.StatusOK {
				t.Errorf("round %d: caller %d got %d, %v before the drain, cut at %d", round, i, x.status, drainedAt.Sub(x.begunAt), x.cut)
			}
		}
	}
	t.Logf("%d of %d requests began before the drain", before, rounds*callers)
}
