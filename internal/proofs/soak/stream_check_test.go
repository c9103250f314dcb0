package soak

import (
	"cmp"
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"time"
)

// Limits of the promises about streams that clients take up, as the users' documentation states them.
const (
	maxMixedStreams = 2
	// minTakeUps is the number from which on the share of streams that go on is bounded, if minServing servers of their
	// version serve.
	minTakeUps = 12
	minServing = 2
)

// servingPeriod is a period in which an instance was published as ready. to is zero until it ends.
type servingPeriod struct {
	writer
	from, to time.Time
}

func (a *servers) beginServing(instance, version string, at time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.serving = append(a.serving, servingPeriod{writer: writer{instance, version}, from: at})
}

func (a *servers) endServing(instance string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for i := range a.serving {
		if p := &a.serving[i]; p.instance == instance && p.to.IsZero() {
			p.to = time.Now()
		}
	}
}

// servingThroughout returns the number of servers of the version that served from the one time to the other.
func (f *faultLog) servingThroughout(version string, from, to time.Time) (n int) {
	for _, p := range f.serving {
		if p.version == version && p.from.Before(from) && (p.to.IsZero() || p.to.After(to)) {
			n++
		}
	}
	return n
}

// writersByRequest returns the servers that ran each request.
func writersByRequest(runs []arrival) map[string][]writer {
	writers := map[string][]writer{}
	for _, r := range runs {
		if r.executed {
			writers[r.request] = append(writers[r.request], writer{r.instance, r.version})
		}
	}
	return writers
}

// readEvents returns the servers that wrote the events of the response, and the rest that is not the next complete event of
// a server that ran the request.
func readEvents(c *call, writers []writer) (by []writer, rest string) {
	rest = c.body
	for n := c.after + 1; n <= routes[c.path].events; n++ {
		i := slices.IndexFunc(writers, func(w writer) bool { return strings.HasPrefix(rest, streamEvent(c.id, n, w)) })
		if i < 0 {
			break
		}
		by, rest = append(by, writers[i]), rest[len(streamEvent(c.id, n, writers[i])):]
	}
	return by, rest
}

// isCompleteStream reports whether the response is every event that was missing, in order, and nothing else.
func isCompleteStream(c *call, writers []writer) bool {
	by, rest := readEvents(c, writers)
	return c.after+len(by) == routes[c.path].events && rest == ""
}

// isPartOfStream reports whether the response is the first of the events that were missing, the last of which may be cut.
func isPartOfStream(c *call, writers []writer) bool {
	by, rest := readEvents(c, writers)
	next := c.after + len(by) + 1
	return rest == "" || next <= routes[c.path].events && slices.ContainsFunc(writers, func(w writer) bool {
		return strings.HasPrefix(streamEvent(c.id, next, w), rest)
	})
}

// streamTry is one request for a stream, with the servers that wrote its events.
type streamTry struct {
	*call
	by []writer
}

func (t streamTry) refused() bool {
	return t.status == http.StatusServiceUnavailable || t.status == http.StatusTooManyRequests
}

// goesOn reports whether the stream went on, or ended where only its end was missing.
func (t streamTry) goesOn() bool {
	return len(t.by) > 0 || t.status == http.StatusOK && t.complete
}

// clientStream is a stream as a client received it over all its tries.
type clientStream struct{ tries []streamTry }

// joinStreams joins the tries of each stream, in the order in which they were sent.
func joinStreams(calls []call, writers map[string][]writer) (streams []*clientStream) {
	byFirst := map[string]*clientStream{}
	for i := range calls {
		c := &calls[i]
		if !isStream(c.path) {
			continue
		}
		first := cmp.Or(c.resumes, c.id)
		if byFirst[first] == nil {
			byFirst[first] = &clientStream{}
			streams = append(streams, byFirst[first])
		}
		try := streamTry{call: c}
		if c.status == http.StatusOK {
			try.by, _ = readEvents(c, writers[c.id])
		}
		byFirst[first].tries = append(byFirst[first].tries, try)
	}
	return streams
}

// versions returns the versions of the servers that wrote the events, each time that they change.
func (s *clientStream) versions() (versions []string) {
	for _, t := range s.tries {
		for _, w := range t.by {
			versions = append(versions, w.version)
		}
	}
	return slices.Compact(versions)
}

// checkStreams checks that each try goes on where the one before it ended, and that few streams hold events of several
// versions.
func checkStreams(streams []*clientStream, add func(string, ...any)) {
	var mixed []string
	for _, s := range streams {
		received := 0
		for _, t := range s.tries {
			if t.after != received {
				add("stream %s has a missing or repeated event after event %d", t.id, received)
			}
			received = t.after + len(t.by)
		}
		if versions := s.versions(); len(versions) > 1 {
			mixed = append(mixed, fmt.Sprintf("%s in %d tries from %v", s.tries[0].id, len(s.tries), versions))
		}
	}
	if len(mixed) > maxMixedStreams {
		add("%d streams hold events of several versions, %d allowed:\n%s", len(mixed), maxMixedStreams, strings.Join(mixed, "\n"))
	}
}

// streamShares counts new streams at undisturbed routers, and those that clients took up there while minServing servers of
// their version served.
type streamShares struct{ created, begun, takenUp, goneOn int }

func undisturbedShares(streams []*clientStream, f *faultLog) (n streamShares) {
	for _, s := range streams {
		for i, t := range s.tries {
			ip, _, _ := strings.Cut(t.router, ":")
			switch {
			case !f.undisturbed(ip, t.started) || !f.undisturbed(ip, t.ended):
			case i == 0:
				n.created++
				n.begun += count(len(t.by) > 0)
			case f.servingThroughout(s.versions()[0], t.started, t.ended) >= minServing:
				n.takenUp++
				n.goneOn += count(t.goesOn())
			}
		}
	}
	return n
}

// checkTakeUps checks that streams that clients take up go on at least half as often as new ones begin.
func checkTakeUps(streams []*clientStream, f *faultLog, add func(string, ...any)) {
	n := undisturbedShares(streams, f)
	if n.takenUp >= minTakeUps && 2*n.goneOn*n.created < n.begun*n.takenUp {
		add("%d of %d streams that clients took up went on, but %d of %d new ones began", n.goneOn, n.takenUp, n.begun, n.created)
	}
}

func count(yes bool) int {
	if yes {
		return 1
	}
	return 0
}

// countStreams describes what became of the streams.
func countStreams(streams []*clientStream) string {
	var begun, broken, takenUp, goneOn, mixed int
	refused := map[string]int{}
	for _, s := range streams {
		begun += count(len(s.tries[0].by) > 0)
		broken += count(s.tries[0].brokeOff())
		mixed += count(len(s.versions()) > 1)
		for _, t := range s.tries[1:] {
			takenUp++
			goneOn += count(t.goesOn())
			if t.refused() {
				refused[refusalCode(t.body)]++
			}
		}
	}
	return fmt.Sprintf("%d streams, %d begun, %d broken off, %d taken up, %d gone on, %d of several versions, take-ups refused: %v",
		len(streams), begun, broken, takenUp, goneOn, mixed, refused)
}

func refusalCode(body string) string {
	var refusal struct {
		Code string `json:"code"`
	}
	_ = json.Unmarshal([]byte(body), &refusal)
	return refusal.Code
}
