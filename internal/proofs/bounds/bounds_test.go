// Package bounds tests that a router process keeps within the memory of the smallest hosts, and goes on serving, whatever callers and
// upstreams send without end or take slowly.
package bounds

import (
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"
	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"

	"github.com/orioleusher/orioleusher/internal/schedlag"
	"github.com/orioleusher/orioleusher/internal/testfleet"
)

var (
	seed   = flag.Uint64("bounds.seed", 1, "seed of the sizes and pauses of callers")
	length = flag.Duration("bounds.length", 0, "length of each case; 0 stands for 3 s with -short and 20 s without")
)

const (
	block = 47
	// hostMemoryMB is the memory of the smallest hosts.
	hostMemoryMB = 184
	disturbers   = 400
	flooders     = 50
	// manyConns is about as many connections as a host has descriptors for sockets.
	manyConns    = 3700
	soundCallers = 4
	// soundInterval is the pause between two requests of a caller that must be served, and soundTimeout how long it waits.
	soundInterval = 100 * time.Millisecond
	soundTimeout  = 5 * time.Second
	soundBytes    = 2 << 10
	// endlessTimeout is the time that other callers allow.
	endlessTimeout = 3 * time.Second
	headerTimeout  = 12 * time.Second
	// returnAfter is the mean time after which other callers come again.
	returnAfter  = 250 * time.Millisecond
	maxBodyBytes = 1 << 20
)

var (
	routerAddress = fmt.Sprintf("127.%d.1.1:8080", block)
	storeAddress  = fmt.Sprintf("127.%d.3.1:8000", block)
)

func route(name, kind string) map[string]any {
	return map[string]any{
		"name": name, "host": "bounds.example", "prefix": "/" + name + "/", "kind": kind, "service": name, "public": true,
		"timeout_ms": 10_000, "target_latency_ms": 800, "max_attempts": 2, "priority": 1,
	}
}

// startRouter starts one router with a sound upstream and those in trouble.
func startRouter(t *testing.T) *testfleet.Process {
	t.Helper()
	testfleet.LockBlock(t, block)
	s := &store{}
	var services []map[string]any
	add := func(service string, count int, respond func(n int) func(net.Conn, string) bool) {
		services = append(services, map[string]any{"name": service, "max_connections": 1000})
		for n := range count {
			u := &upstream{fmt.Sprintf("%s-%d", service, n), service, fmt.Sprintf("127.%d.%d.%d:8000", block, 10+len(services), n+1), respond(n)}
			u.start(t)
			s.put(t, "servers/"+u.instance, u.entry())
		}
	}
	add("sound", 2, func(int) func(net.Conn, string) bool { return respondSound })
	add("flood", flooders, func(n int) func(net.Conn, string) bool { return floods[n%len(floods)] })
	add("body", 10, func(int) func(net.Conn, string) bool { return endlessBody })
	add("stream", 10, func(n int) func(net.Conn, string) bool {
		if n%2 == 0 {
			return endlessEvent
		}
		return endlessStream
	})
	s.put(t, "op/config", map[string]any{
		"version": 1, "services": services,
		"routes": []map[string]any{route("sound", "unsafe"), route("flood", "unsafe"), route("body", "unsafe"), route("stream", "streaming")},
		"limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": maxBodyBytes, "header_timeout_ms": headerTimeout.Milliseconds(), "idle_timeout_ms": 5000},
	})
	s.start(t, storeAddress)
	ip := fmt.Sprintf("127.%d.1.1", block)
	raw, err := json.Marshal(map[string]any{
		"name": "r0", "data_centre": "z", "data_centres": []string{"z"}, "caller_address": routerAddress,
		"ready_address": ip + ":8081", "peer_address": ip + ":7080", "admin_address": ip + ":9080", "store_address": storeAddress,
		"memory_mb": hostMemoryMB, "retry": map[string]any{"ratio": 0.2, "slack": 60}, "cold": map[string]any{"overage": 1.5, "slack": 5},
	})
	is := is.New(t)
	is.NoErr(err)
	dir := t.TempDir()
	file := filepath.Join(dir, "r0.json")
	is.NoErr(os.WriteFile(file, raw, 0o600))
	p := testfleet.StartProcess(t, dir, "r0", filepath.Join(testfleet.Binaries(t), "oriole-router"), "--direct", "--settings", file)
	testfleet.Eventually(t, 10*time.Second, "the router is ready", func() bool {
		resp, err := http.Get("http://" + ip + ":8081/")
		if err != nil {
			return false
		}
		resp.Body.Close()
		return resp.StatusCode == http.StatusOK
	})
	return p
}

// peakMemoryMB returns the highest resident memory of the process.
func peakMemoryMB(t *testing.T, p *testfleet.Process) float64 {
	t.Helper()
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.PID()))
	if err != nil {
		t.Fatal(err)
	}
	for line := range strings.Lines(string(raw)) {
		if fields := strings.Fields(line); len(fields) == 3 && fields[0] == "VmHWM:" {
			kb, err := strconv.Atoi(fields[1])
			if err != nil {
				t.Fatal(err)
			}
			return float64(kb) / 1024
		}
	}
	t.Fatal("the process status holds no peak memory")
	return 0
}

// requestHead returns the head of a request, without the empty line at its end.
func requestHead(method, service string, id uint64) string {
	return fmt.Sprintf("%s /%s/ HTTP/1.1\r\nHost: bounds.example\r\nOrioleusher-Request-Id: c-%d\r\nOrioleusher-Deadline-Ms: %d\r\n",
		method, service, id, endlessTimeout.Milliseconds())
}

// disturber is a caller that sends or reads what it likes. It returns when its connection has ended.
type disturber func(c net.Conn, id uint64, r *rand.Rand)

// readSlowly requests a response and reads little of it at a time.
func readSlowly(service string) disturber {
	return func(c net.Conn, id uint64, _ *rand.Rand) {
		_, _ = io.WriteString(c, requestHead(http.MethodPost, service, id)+"Content-Length: 0\r\n\r\n")
		buf := make([]byte, 1<<10)
		for {
			time.Sleep(slowPause)
			if _, err := c.Read(buf); err != nil {
				return
			}
		}
	}
}

// readFast requests a response and reads it until its connection ends or falls silent.
func readFast(service string) disturber {
	return func(c net.Conn, id uint64, _ *rand.Rand) {
		_, _ = io.WriteString(c, requestHead(http.MethodPost, service, id)+"Connection: close\r\nContent-Length: 0\r\n\r\n")
		_, _ = io.Copy(struct{ io.Writer }{io.Discard}, c)
	}
}

// sendHeadSlowly sends most of a head at once and the rest by single bytes. One in two heads is one long line.
func sendHeadSlowly(c net.Conn, id uint64, r *rand.Rand) {
	const longestHead = 250 << 10
	size := longestHead/2 + r.IntN(longestHead/2)
	long := "X-Long: " + strings.Repeat("x", size)
	if r.IntN(2) == 0 {
		const line = "X-Many: 1\r\n"
		long = strings.Repeat(line, size/len(line)) + "X-Long: "
	}
	_, _ = io.WriteString(c, requestHead(http.MethodGet, "sound", id)+long)
	trickle(c)
}

// sendHeadBeginning sends the beginning of a head.
func sendHeadBeginning(c net.Conn, id uint64, _ *rand.Rand) {
	_, _ = io.WriteString(c, requestHead(http.MethodGet, "sound", id)+strings.Repeat("X-Many: 1\r\n", 4<<10/11))
	_, _ = io.Copy(io.Discard, c)
}

// sendBodySlowly sends most of a body at once and the rest by single bytes.
func sendBodySlowly(c net.Conn, id uint64, r *rand.Rand) {
	size := maxBodyBytes/2 + r.IntN(maxBodyBytes/2)
	_, _ = fmt.Fprintf(c, "%sContent-Length: %d\r\n\r\n%s", requestHead(http.MethodPost, "sound", id), maxBodyBytes, strings.Repeat("x", size))
	trickle(c)
}

func trickle(c net.Conn) {
	go func() {
		for {
			time.Sleep(slowPause)
			if _, err := c.Write([]byte("x")); err != nil {
				return
			}
		}
	}()
	_, _ = io.Copy(io.Discard, c)
}

// disturb runs callers that begin again when their connection has ended, until stop is closed.
func disturb(callers int, d disturber, stop <-chan struct{}, wg *sync.WaitGroup) {
	var ids atomic.Uint64
	for n := range callers {
		r := rand.New(rand.NewPCG(*seed, uint64(n)))
		wg.Go(func() {
			for {
				select {
				case <-stop:
					return
				default:
				}
				c, err := net.Dial("tcp", routerAddress)
				if err != nil {
					time.Sleep(slowPause)
					continue
				}
				ended := make(chan struct{})
				go func() {
					select {
					case <-stop:
					case <-ended:
					}
					c.Close()
				}()
				d(c, ids.Add(1), r)
				close(ended)
				time.Sleep(time.Duration(r.Int64N(int64(2 * returnAfter))))
			}
		})
	}
}

// soundCaller is a caller that must be served, on one connection that it keeps.
type soundCaller struct {
	client *http.Client
	sent   int
	lost   []string
}

func newSoundCaller() *soundCaller {
	return &soundCaller{client: &http.Client{Timeout: soundTimeout + time.Second, Transport: &http.Transport{MaxConnsPerHost: 1}}}
}

// call sends a request and records whether it was served.
func (c *soundCaller) call() {
	c.sent++
	if problem := callOnce(c.client, c.sent); problem != "" {
		c.lost = append(c.lost, problem)
	}
}

// run sends requests until stop is closed.
func (c *soundCaller) run(stop <-chan struct{}) {
	for {
		select {
		case <-stop:
			c.client.CloseIdleConnections()
			return
		case <-time.After(soundInterval):
			c.call()
		}
	}
}

func callOnce(client *http.Client, id int) (problem string) {
	body := strings.Repeat("x", soundBytes)
	req, err := http.NewRequest(http.MethodPost, "http://"+routerAddress+"/sound/", strings.NewReader(body))
	if err != nil {
		return err.Error()
	}
	req.Host = "bounds.example"
	req.Header.Set("Orioleusher-Request-Id", fmt.Sprintf("sound-%d", id))
	req.Header.Set("Orioleusher-Deadline-Ms", strconv.FormatInt(soundTimeout.Milliseconds(), 10))
	start := time.Now()
	resp, err := client.Do(req)
	if err != nil {
		return err.Error()
	}
	defer resp.Body.Close()
	raw, err := io.ReadAll(resp.Body)
	if err != nil || resp.StatusCode != http.StatusOK || string(raw) != soundBody {
		return fmt.Sprintf("status %d after %s, body %.200q, %v", resp.StatusCode, time.Since(start), raw, err)
	}
	return ""
}

// Guards against callers and upstreams that use up the memory of the smallest hosts, or the means of other callers.
func TestMemoryAndOtherCallers(t *testing.T) {
	type crowd struct {
		callers int
		disturber
	}
	slowBodies, slowStreams, flooded := crowd{disturbers, readSlowly("body")}, crowd{disturbers, readSlowly("stream")}, crowd{flooders, readFast("flood")}
	lateHeads, lateBodies := crowd{disturbers, sendHeadSlowly}, crowd{disturbers, sendBodySlowly}
	for _, tt := range []struct {
		name   string
		crowds []crowd
	}{
		{"bodies without end, read slowly", []crowd{slowBodies}},
		{"streams without end, read slowly", []crowd{slowStreams}},
		{"floods", []crowd{flooded}},
		{"heads sent slowly", []crowd{lateHeads}},
		{"bodies sent slowly", []crowd{lateBodies}},
		{"connections", []crowd{{manyConns, sendHeadBeginning}}},
		{"all", []crowd{
			{disturbers / 2, readSlowly("body")}, {disturbers / 2, readSlowly("stream")}, flooded, {disturbers / 2, sendHeadSlowly}, {disturbers / 2, sendBodySlowly},
		}},
	} {
		t.Run(tt.name, func(t *testing.T) {
			p := startRouter(t)
			own := watchOwnDelay(t)
			callers := make([]*soundCaller, soundCallers)
			for n := range callers {
				callers[n] = newSoundCaller()
				callers[n].call()
			}
			stop := make(chan struct{})
			var wg sync.WaitGroup
			for _, c := range tt.crowds {
				disturb(c.callers, c.disturber, stop, &wg)
			}
			for _, c := range callers {
				wg.Go(func() { c.run(stop) })
			}
			time.Sleep(caseLength())
			peak := peakMemoryMB(t, p)
			close(stop)
			wg.Wait()
			sent, lost := 0, []string(nil)
			for _, c := range callers {
				sent, lost = sent+c.sent, append(lost, c.lost...)
			}
			t.Logf("%s: peak %.0f MB, %d of %d other requests not served", tt.name, peak, len(lost), sent)
			if len(lost) > 0 || testing.Verbose() {
				t.Logf("delays of the router and what it logged of these requests:\n%s", linesWith(t, p.LogPath, "event=late-wakeup", "request=sound-"))
				t.Logf("delays of the process with the callers and the upstreams:\n%s", linesWith(t, own, "late-wakeup"))
			}
			for _, problem := range lost[:min(len(lost), 3)] {
				t.Error(problem)
			}
			if peak > hostMemoryMB {
				t.Errorf("the router used %.0f MB at its peak, of %d MB", peak, hostMemoryMB)
			}
		})
	}
}

// watchOwnDelay logs when this process, which plays the callers and the upstreams, runs late. It returns the log's file.
func watchOwnDelay(t *testing.T) string {
	t.Helper()
	is := is.New(t)
	path := filepath.Join(t.TempDir(), "own.log")
	file, err := os.Create(path)
	is.NoErr(err)
	t.Cleanup(func() { file.Close() })
	m := &schedlag.Monitor{Clock: clockwork.NewRealClock(), Log: zerolog.New(file), Scope: tally.NoopScope, Usage: schedlag.ReadUsage}
	go m.Run(t.Context())
	return path
}

// linesWith returns the last lines of the log that contain one of the texts.
func linesWith(t *testing.T, path string, texts ...string) string {
	t.Helper()
	const maxLines = 12
	raw, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	var found []string
	for line := range strings.Lines(string(raw)) {
		if slices.ContainsFunc(texts, func(text string) bool { return strings.Contains(line, text) }) {
			found = append(found, line)
		}
	}
	return strings.Join(found[max(0, len(found)-maxLines):], "")
}

func caseLength() time.Duration {
	switch {
	case *length > 0:
		return *length
	case testing.Short():
		return 3 * time.Second
	default:
		return 20 * time.Second
	}
}
