package soak

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"time"
)

const (
	eventEnd   = "\n\n"
	maxTakeUps = 3
	// reconnectInterval is the interval between attempts to connect to a router.
	reconnectInterval = 20 * time.Millisecond
)

// lastEvent returns the number of the last complete event that the client has received of the stream.
func (c *call) lastEvent() int {
	last := c.after
	end := strings.LastIndex(c.body, eventEnd)
	if c.status != http.StatusOK || end < 0 {
		return last
	}
	if begin := strings.LastIndex(c.body[:end], "id: "); begin >= 0 {
		_, _ = fmt.Sscanf(c.body[begin:end], "id: %d", &last)
	}
	return last
}

// brokeOff reports whether the response is a stream that began and then broke off.
func (c *call) brokeOff() bool {
	return isStream(c.path) && c.status == http.StatusOK && !c.complete && c.lastEvent() > 0
}

// mayTryAgain reports whether a client that takes a stream up may send once more after this response.
func (c *call) mayTryAgain() bool {
	switch c.status {
	case http.StatusOK:
		return !c.complete
	case http.StatusServiceUnavailable, http.StatusTooManyRequests:
		return c.retryAfter > 0
	case 0, http.StatusBadGateway, http.StatusGatewayTimeout:
		return true
	}
	return false
}

// takeUp sends the request of a stream that broke off again, with what is left of its deadline, to one router after another,
// until the stream is complete.
func (c *clients) takeUp(first call, routers []string) {
	deadline := first.started.Add(requestTimeout)
	last := first
	for try := 1; try <= maxTakeUps && last.mayTryAgain(); {
		time.Sleep(min(last.retryAfter, time.Until(deadline)/3))
		left := time.Until(deadline)
		if left < time.Millisecond {
			return
		}
		next := call{
			id: fmt.Sprintf("%s+%d", first.id, try), path: first.path, team: first.team, key: first.key, resumes: first.id,
			after: last.lastEvent(), router: routerAfter(routers, last.router), timeLeft: left,
		}
		send(&http.Client{Timeout: left + time.Second, Transport: &http.Transport{DisableCompression: true, DisableKeepAlives: true}}, &next)
		if next.unconnected {
			last.router = next.router
			time.Sleep(reconnectInterval)
			continue
		}
		c.record(next)
		last = next
		try++
	}
}

func routerAfter(routers []string, router string) string {
	return routers[(slices.Index(routers, router)+1)%len(routers)]
}
