// Package platform reads the fleet's document from the platform's configuration service, which can only be read and
// watched.
//
// The protocol: GET /v1/config/NAME returns the value with its index in the header X-Config-Index. With the query
// ?index=N&wait=30s the answer waits until the index differs from N, or is 304 when the time is over.
package platform

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/url"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/pkg/errors"
	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"

	"github.com/orioleusher/orioleusher/internal/config"
	"github.com/orioleusher/orioleusher/internal/document"
	"github.com/orioleusher/orioleusher/internal/ownership"
)

// HeaderIndex carries the index of a configuration value.
const HeaderIndex = "X-Config-Index"

const (
	// watchWait is how long the platform holds a watch open. It is short, since a watch that the platform forgot or
	// whose connection went silent tells of nothing until it ends.
	watchWait = time.Second
	// readTimeout bounds a plain read, and a watch beyond its wait.
	readTimeout = 2 * time.Second
	// minBackoff and maxBackoff bound the wait after a failed call, before jitter. Together with a call that is silent
	// to its end the longest wait stays below the 5 s in which a router has to know what it can reach.
	minBackoff = 200 * time.Millisecond
	maxBackoff = time.Second
	// minCallInterval is the least time between two calls, whatever the platform answers.
	minCallInterval = 100 * time.Millisecond
	// rankCheck is how often a host that does not watch looks whether it has to.
	rankCheck = time.Second
)

// Options configures NewClient.
type Options struct {
	// BaseURL is the platform's base URL.
	BaseURL string
	// Fleet is the name of the document.
	Fleet string
	// Self is this host's name.
	Self     string
	Dialer   *net.Dialer
	Liveness ownership.Liveness
	Store    *config.Store
	Clock    clockwork.Clock
	Rand     *rand.Rand
	Log      zerolog.Logger
	Scope    tally.Scope
}

// Client reads one document. Run feeds the store.
type Client struct {
	Options
	http *http.Client

	callsCounter  tally.Counter
	failedCounter tally.Counter

	mu    sync.Mutex
	state State
	first chan struct{}
}

// NewClient returns a client of the platform.
func NewClient(o Options) *Client {
	return &Client{
		Options: o, first: make(chan struct{}),
		http:         &http.Client{Transport: &http.Transport{DialContext: o.Dialer.DialContext, DisableCompression: true}},
		callsCounter: o.Scope.Counter("platform_calls"), failedCounter: o.Scope.Counter("platform_calls_failed"),
	}
}

// Run reads until the context ends: the first time at once, then as the host's rank says.
func (c *Client) Run(ctx context.Context) {
	backoff := minBackoff
	for ctx.Err() == nil {
		err := c.call(ctx)
		wait := c.pause()
		if err != nil {
			c.Log.Warn().Str("event", "platform-failed").Str("peer", c.BaseURL).Err(err).Send()
			wait = max(wait, c.jitter(backoff))
			backoff = min(2*backoff, maxBackoff)
		} else {
			backoff = minBackoff
		}
		c.sleep(ctx, wait)
	}
}

// FirstCallDone is closed when the first call has ended, whatever came of it.
func (c *Client) FirstCallDone() <-chan struct{} { return c.first }

// Refresh makes one plain read besides those of Run.
func (c *Client) Refresh(ctx context.Context) error {
	return c.read(ctx, "", 0)
}

// sleep waits. A host whose rank becomes that of a watcher meanwhile stops waiting for its next poll.
func (c *Client) sleep(ctx context.Context, wait time.Duration) {
	end := c.Clock.Now().Add(wait)
	for left := wait; left > 0; left = end.Sub(c.Clock.Now()) {
		select {
		case <-ctx.Done():
			return
		case <-c.Clock.After(min(left, rankCheck)):
		}
		if wait >= pollUnit/2 && c.rank() < watchersPerDataCentre {
			return
		}
	}
}

// pause returns the wait after a call that did not fail.
func (c *Client) pause() time.Duration {
	if interval := pollInterval(c.rank()); interval > 0 {
		return c.jitter(interval)
	}
	return minCallInterval
}

func (c *Client) rank() int {
	snap := c.Store.Current()
	if snap == nil {
		return 0
	}
	return rank(snap, c.Liveness, c.Self)
}

// jitter returns between half of d and one and a half of d.
func (c *Client) jitter(d time.Duration) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return d/2 + time.Duration(c.Rand.Int64N(int64(d)))
}

// call watches if this host's rank says so and something has been read before, and reads else.
func (c *Client) call(ctx context.Context) error {
	place := c.rank()
	c.mu.Lock()
	index := c.state.Index
	c.state.Watching = place < watchersPerDataCentre && index != ""
	watching := c.state.Watching
	c.mu.Unlock()
	if watching {
		return c.read(ctx, index, watchWait)
	}
	return c.read(ctx, index, 0)
}

// read makes one call and offers what it returns to the store. A broken document is not an error of the call.
func (c *Client) read(ctx context.Context, index string, wait time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, wait+readTimeout)
	defer cancel()
	raw, newIndex, err := c.get(ctx, index, wait)
	verdict := config.OfferResult("")
	var version uint64
	if err == nil && raw != nil {
		// A broken document is logged by the store; the next index may hold a good one.
		verdict, version, _ = c.Store.OfferVersion(raw, "platform")
	}
	c.note(newIndex, verdict, version, err)
	return err
}

// get returns the value and its index, or no value if it has not changed.
func (c *Client) get(ctx context.Context, index string, wait time.Duration) (raw []byte, newIndex string, err error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, c.url(index, wait), nil)
	if err != nil {
		return nil, index, errors.Wrap(err, "build platform request")
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return nil, index, errors.Wrap(err, "read platform")
	}
	defer resp.Body.Close()
	switch resp.StatusCode {
	case http.StatusNotModified:
		return nil, index, nil
	case http.StatusOK:
	default:
		return nil, index, errors.Errorf("read platform: status %d", resp.StatusCode)
	}
	raw, err = io.ReadAll(io.LimitReader(resp.Body, document.MaxBytes+1))
	if err != nil {
		return nil, index, errors.Wrap(err, "read platform value")
	}
	// A value beyond the limit goes on to the store, which refuses it and reports that.
	return raw, resp.Header.Get(HeaderIndex), nil
}

// note keeps what a call brought.
func (c *Client) note(index string, verdict config.OfferResult, version uint64, err error) {
	c.callsCounter.Inc(1)
	c.mu.Lock()
	defer c.mu.Unlock()
	s := &c.state
	s.Calls++
	s.Index = index
	s.LastError = ""
	if err != nil {
		c.failedCounter.Inc(1)
		s.Failed++
		s.LastError = err.Error()
	} else {
		s.LastSuccess = c.Clock.Now()
	}
	if verdict != "" {
		s.OfferResult, s.Version = verdict, version
	}
	if err == nil {
		c.noteStale()
	}
	if s.Calls == 1 {
		close(c.first)
	}
}

// noteStale compares the platform's answer, new or unchanged, with the document in force. The caller holds mu.
func (c *Client) noteStale() {
	current := c.Store.Current()
	before := c.state.Stale
	c.state.Stale = current != nil && c.state.Version != 0 && c.state.Version < current.Version
	if !c.state.Stale {
		return
	}
	c.state.StaleResponses++
	if !before {
		c.Log.Warn().Str("event", "platform-stale").Str("peer", c.BaseURL).Uint64("version", c.state.Version).
			Uint64("in_force", current.Version).Send()
	}
}

func (c *Client) url(index string, wait time.Duration) string {
	u := fmt.Sprintf("%s/v1/config/%s", c.BaseURL, url.PathEscape(c.Fleet))
	if index == "" {
		return u
	}
	u += "?index=" + url.QueryEscape(index)
	if wait > 0 {
		u += "&wait=" + wait.String()
	}
	return u
}

// State is the client's section of the state dump.
type State struct {
	// Watching says that this host is one of the watchers of its data centre.
	Watching bool   `json:"watching"`
	Index    string `json:"index"`
	Calls    uint64 `json:"calls"`
	Failed   uint64 `json:"failed"`
	// Version is the version of the platform's last answer, and Verdict what was done with it.
	Version     uint64             `json:"version"`
	OfferResult config.OfferResult `json:"verdict"`
	// Stale says that the platform's last answer was older than the document in force.
	Stale          bool      `json:"stale"`
	StaleResponses uint64    `json:"stale_answers"`
	LastSuccess    time.Time `json:"answered"`
	LastError      string    `json:"last_error,omitempty"`
}

// State returns the counts.
func (c *Client) State() State {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.state
}
