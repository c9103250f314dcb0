package fleet

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/orioleusher/orioleusher/internal/load"
	"github.com/orioleusher/orioleusher/internal/outcome"
	"github.com/orioleusher/orioleusher/internal/settings"
	"github.com/orioleusher/orioleusher/internal/standin/engine"
	"github.com/orioleusher/orioleusher/internal/standin/service"
	"github.com/orioleusher/orioleusher/internal/testfleet"
)

const drainTimeout = 1500 * time.Millisecond

func setShortDrain(s *settings.Router) {
	s.Timeouts.Drain = settings.Duration(drainTimeout)
	s.Log.Level = "info"
}

// balancer returns only routers whose latest readiness probe succeeded.
type balancer struct {
	f *testfleet.Fleet

	mu    sync.Mutex
	ready map[int]bool
	next  int
}

// probeInterval is the interval between readiness probes of a router, and their timeout.
const probeInterval = 200 * time.Millisecond

func (b *balancer) run(ctx context.Context) {
	client := &http.Client{Timeout: probeInterval}
	for ctx.Err() == nil {
		for n, p := range b.f.Routers {
			resp, err := client.Get("http://" + p.AdminAddress + "/readyz")
			ok := err == nil && resp.StatusCode == http.StatusOK
			if err == nil {
				resp.Body.Close()
			}
			b.mu.Lock()
			b.ready[n] = ok
			b.mu.Unlock()
		}
		time.Sleep(probeInterval)
	}
}

// pick returns the caller address of the next ready router, round-robin.
func (b *balancer) pick() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	for range b.f.Routers {
		b.next = (b.next + 1) % len(b.f.Routers)
		if b.ready[b.next] {
			break
		}
	}
	return b.f.CallerAddress(b.next)
}

// callCounts counts the results of all calls during a rolling restart.
type callCounts struct {
	mu         sync.Mutex
	complete   int
	notRun     map[string]int
	lost       []string
	unexpected []string
}

func (c *callCounts) record(what string, result *load.Result, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case err != nil:
		c.lost = append(c.lost, what+": "+err.Error())
	case !result.Complete:
		c.lost = append(c.lost, what+": the answer is incomplete")
	case result.Status == http.StatusOK:
		c.complete++
	case result.Outcome == outcome.NotRun:
		c.notRun[what+" "+result.Code]++
	default:
		c.unexpected = append(c.unexpected, fmt.Sprintf("%s: status %d code %s outcome %s", what, result.Status, result.Code, result.Outcome))
	}
}

// runCaller sends chats and orders through the balancer until the context is cancelled.
func runCaller(ctx context.Context, b *balancer, caller *load.Caller, worker int, c *callCounts) {
	for n := 0; ctx.Err() == nil; n++ {
		messages := []engine.Message{{Role: "user", Content: fmt.Sprintf("chat %d", worker)}}
		body, _ := load.ChatBody(testfleet.Model, messages, true, 24)
		result, err := caller.Do(context.Background(), load.Call{
			Address: b.pick(), Method: http.MethodPost, Path: testfleet.PathChat, Key: testfleet.TeamKey(team), Body: body,
		})
		if err == nil && result.Status == http.StatusOK {
			if _, done := load.StreamText(result.Body); !done {
				result.Complete = false
			}
		}
		c.record("chat", result, err)
		order := load.Call{Address: b.pick(), Method: http.MethodPost, Path: testfleet.PathOrders, Key: testfleet.TeamKey(team)}
		result, err = caller.Do(context.Background(), order)
		if err == nil && result.Status == http.StatusPreconditionRequired {
			order.IdempotencyKey, order.Address = result.IdempotencyKey, b.pick()
			result, err = caller.Do(context.Background(), order)
		}
		c.record("order", result, err)
	}
}

func TestRollingRestartLosesNoRequests(t *testing.T) {
	skipIfShort(t)
	is := is.New(t)
	f := testfleet.Start(t, testfleet.Options{Block: 85, Hosts: []int{2, 2, 1}, Engines: 4, Services: 2, EditRouter: setShortDrain})
	b := &balancer{f: f, ready: map[int]bool{}}
	for n := range f.Routers {
		b.ready[n] = true
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	counts := &callCounts{notRun: map[string]int{}}
	var wg sync.WaitGroup
	wg.Go(func() { b.run(ctx) })
	const workers = 8
	caller := load.NewCaller(callTimeout)
	for worker := range workers {
		wg.Go(func() { runCaller(ctx, b, caller, worker, counts) })
	}
	for _, p := range f.Routers {
		is.Equal(p.Stop(), 0)
		p.Restart()
		f.WaitReady(p)
		time.Sleep(2 * probeInterval)
	}
	cancel()
	wg.Wait()
	t.Logf("%d complete answers; refused and not run: %v; unexpected: %v; lost: %v", counts.complete, counts.notRun, counts.unexpected, counts.lost)
	is.Equal(len(counts.lost), 0)
	is.Equal(len(counts.unexpected), 0)
	is.True(counts.complete > 100)
	for what := range counts.notRun {
		// A restart of the issuer invalidates its idempotency keys. Calls may be refused for no other reason.
		is.True(what == "order key-dead" || what == "order peer-unreachable")
	}
	runs := 0
	for _, p := range f.Services {
		var s service.State
		is.True(f.State(p, &s))
		runs += len(s.Runs)
	}
	is.True(runs <= counts.complete)
}

func TestGracefulStopFinishesStreamsAndClosesIdleConnections(t *testing.T) {
	is := is.New(t)
	f := testfleet.Start(t, testfleet.Options{Block: 86, Hosts: []int{2}, Engines: 2, EditRouter: setShortDrain, EditEngine: func(e *settings.Engine) {
		e.Step = settings.Duration(20 * time.Millisecond)
	}})
	const streamTokens = 200 // four seconds
	messages := []engine.Message{{Role: "user", Content: "a long answer"}}
	body, err := load.ChatBody(testfleet.Model, messages, true, streamTokens)
	is.NoErr(err)
	const streams = 4
	results := make(chan *load.Result, streams)
	for range streams {
		go func() {
			result, _ := load.NewCaller(callTimeout).Do(context.Background(), load.Call{
				Address: f.CallerAddress(0), Method: http.MethodPost, Path: testfleet.PathChat, Key: testfleet.TeamKey(team), Body: body,
			})
			results <- result
		}()
	}
	idle, used := dial(t, f.CallerAddress(0)), dial(t, f.CallerAddress(0))
	is.Equal(getHours(t, idle).StatusCode, http.StatusServiceUnavailable)
	is.Equal(getHours(t, used).StatusCode, http.StatusServiceUnavailable)
	testfleet.Eventually(t, worstTarget, "the streams have started", func() bool {
		s, ok := f.RouterState(f.Routers[0])
		return ok && s.Stop.Requests == streams
	})
	stopped := make(chan int, 1)
	go func() { stopped <- f.Routers[0].Stop() }()
	testfleet.Eventually(t, worstTarget, "the router is no longer ready", func() bool {
		s, ok := f.RouterState(f.Routers[0])
		return ok && s.NotReady == "stopping"
	})
	resp := getHours(t, used)
	is.True(resp.Close)
	is.NoErr(idle.SetReadDeadline(time.Now().Add(callTimeout)))
	_, err = idle.Read(make([]byte, 1))
	is.Equal(err, io.EOF)
	for range streams {
		result := <-results
		is.True(result != nil)
		text, done := load.StreamText(result.Body)
		is.True(done)
		is.Equal(text, engine.AnswerText(messages, streamTokens))
	}
	is.Equal(<-stopped, 0)
	waitLive(t, f, 1, "router-1", false)
}

func TestStopTimeoutAndSecondSignalEndGracefulStop(t *testing.T) {
	const limit = time.Second
	for name, signals := range map[string]int{"limit": 1, "second signal": 2} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := testfleet.Start(t, testfleet.Options{
				Block: 86 + signals, Hosts: []int{1}, Engines: 1,
				EditRouter: func(s *settings.Router) {
					setShortDrain(s)
					s.Timeouts.Stop = settings.Duration(limit)
				},
				EditEngine: func(e *settings.Engine) { e.Step = settings.Duration(time.Second) },
			})
			body, err := load.ChatBody(testfleet.Model, []engine.Message{{Role: "user", Content: "slow"}}, true, 100)
			is.NoErr(err)
			go func() {
				_, _ = load.NewCaller(callTimeout).Do(context.Background(), load.Call{
					Address: f.CallerAddress(0), Method: http.MethodPost, Path: testfleet.PathChat, Key: testfleet.TeamKey(team), Body: body,
				})
			}()
			testfleet.Eventually(t, worstTarget, "the request is in flight", func() bool {
				s, ok := f.RouterState(f.Routers[0])
				return ok && s.Stop.Requests == 1
			})
			start := time.Now()
			if signals == 2 {
				f.Routers[0].Signal(syscall.SIGTERM)
				time.Sleep(limit / 10)
			}
			code := f.Routers[0].Stop()
			is.True(code != 0)
			if signals == 2 {
				is.True(time.Since(start) < drainTimeout)
			} else {
				is.True(time.Since(start) < drainTimeout+2*limit)
			}
		})
	}
}

func dial(t *testing.T, address string) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close() })
	return conn
}

// getHours sends a request to the anonymous route on the connection and leaves the connection open.
func getHours(t *testing.T, conn net.Conn) *http.Response {
	t.Helper()
	req, err := http.NewRequest(http.MethodGet, "http://fleet"+testfleet.PathHours, bytes.NewReader(nil))
	if err != nil {
		t.Fatal(err)
	}
	if err := req.Write(conn); err != nil {
		t.Fatal(err)
	}
	resp, err := http.ReadResponse(bufio.NewReader(conn), req)
	if err != nil {
		t.Fatal(err)
	}
	_, _ = io.Copy(io.Discard, resp.Body)
	resp.Body.Close()
	return resp
}
