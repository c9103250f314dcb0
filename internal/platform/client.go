// Package platform reads the fleet's document from the platform's configuration service, which supports only reads and
// watches.
//
// GET /v1/config/NAME returns the value, with its index in the header X-Config-Index. With the query ?index=N&wait=30s
// the service delays the response until the index differs from N, or responds with 304 when the wait is over.
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

// HeaderIndex is the header with the index of a configuration value.
const HeaderIndex = "X-Config-Index"

const (
	// watchDuration is how long the platform holds a watch open. It is short because a watch that the platform has
	// dropped, or whose connection no longer delivers data, reports no change until it ends.
	watchDuration = time.Second
	// readTimeout is the time limit of a plain read, and of a watch beyond its duration.
	readTimeout = 2 * time.Second
	// minBackoff and maxBackoff bound the backoff after a failed call, before jitter. Even after a call that runs into
	// its timeout, the time between calls stays below the 5 s within which a router must detect what it can
	// reach.
	minBackoff = 200 * time.Millisecond
	maxBackoff = time.Second
	// minCallInterval is the shortest time between two calls, whatever the platform responds.
	minCallInterval = 100 * time.Millisecond
	// rankCheckInterval is how often a host that does not watch checks whether its rank has made it a watcher.
	rankCheckInterval = time.Second
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

// Client reads one document and offers it to the store.
type Client struct {
	Options
	http *http.Client

	calls       tally.Counter
	failedCalls tally.Counter

	mu            sync.Mutex
	state         State
	firstCallDone chan struct{}
}

// maxHeadBytes limits the status line and the headers of a response.
const maxHeadBytes = 64 << 10

// NewClient returns a client of the platform.
func NewClient(o Options) *Client {
	return &Client{
		Options: o, firstCallDone: make(chan struct{}),
		http: &http.Client{Transport: &http.Transport{
			DialContext: o.Dialer.DialContext, DisableCompression: true, MaxResponseHeaderBytes: maxHeadBytes,
		}},
		calls: o.Scope.Counter("platform_calls"), failedCalls: o.Scope.Counter("platform_calls_failed"),
	}
}

// Run reads immediately and then as often as the host's rank requires, until the context ends.
func (c *Client) Run(ctx context.Context) {
	backoff := minBackoff
	for ctx.Err() == nil {
		err := c.call(ctx)
		wait := c.nextInterval()
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

// FirstCallDone returns a channel that is closed when the first call has ended, successfully or not.
func (c *Client) FirstCallDone() <-chan struct{} { return c.firstCallDone }

// Refresh makes one plain read in addition to those of Run.
func (c *Client) Refresh(ctx context.Context) error {
	return c.read(ctx, "", 0)
}

// sleep waits for the next call. It returns early when the host's rank makes it a watcher in the meantime.
func (c *Client) sleep(ctx context.Context, wait time.Duration) {
	end := c.Clock.Now().Add(wait)
	for left := wait; left > 0; left = end.Sub(c.Clock.Now()) {
		select {
		case <-ctx.Done():
			return
		case <-c.Clock.After(min(left, rankCheckInterval)):
		}
		if wait >= pollIntervalPerRank/2 && c.rank() < watchersPerDataCentre {
			return
		}
	}
}

// nextInterval returns the wait after a successful call.
func (c *Client) nextInterval() time.Duration {
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

// jitter returns a random duration between 0.5 and 1.5 times d.
func (c *Client) jitter(d time.Duration) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return d/2 + time.Duration(c.Rand.Int64N(int64(d)))
}

// call watches if this host's rank makes it a watcher and an index is known, and makes a plain read otherwise.
func (c *Client) call(ctx context.Context) error {
	hostRank := c.rank()
	c.mu.Lock()
	index := c.state.Index
	c.state.Watching = hostRank < watchersPerDataCentre && index != ""
	watching := c.state.Watching
	c.mu.Unlock()
	if watching {
		return c.read(ctx, index, watchDuration)
	}
	return c.read(ctx, index, 0)
}

// read makes one call and offers the returned document to the store. An invalid document is not an error of the call.
func (c *Client) read(ctx context.Context, index string, wait time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, wait+readTimeout)
	defer cancel()
	raw, newIndex, err := c.get(ctx, index, wait)
	result := config.OfferResult("")
	var version uint64
	if err == nil && raw != nil {
		// The store logs an invalid document; the value at the next index may be valid.
		result, version, _ = c.Store.OfferVersion(raw, "platform")
	}
	c.recordCall(newIndex, result, version, err)
	return err
}

// get returns the value and its index, or no value if it has not changed.
func (c *Client) get(ctx context.Context, index string, wait time.Duration) (raw []byte, newIndex string, err error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, c.url(index, wait), nil)
	if err != nil {
		return nil, index, errors.Wrap(err, "build request to platform")
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return nil, index, errors.Wrap(err, "read document from platform")
	}
	defer resp.Body.Close()
	switch resp.StatusCode {
	case http.StatusNotModified:
		return nil, index, nil
	case http.StatusOK:
	default:
		return nil, index, errors.Errorf("read document from platform: unexpected status %d", resp.StatusCode)
	}
	raw, err = io.ReadAll(io.LimitReader(resp.Body, document.MaxBytes+1))
	if err != nil {
		return nil, index, errors.Wrap(err, "read platform response body")
	}
	// A value over the size limit is passed to the store, which refuses and logs it.
	return raw, resp.Header.Get(HeaderIndex), nil
}

// recordCall records the result of a call.
func (c *Client) recordCall(index string, result config.OfferResult, version uint64, err error) {
	c.calls.Inc(1)
	c.mu.Lock()
	defer c.mu.Unlock()
	s := &c.state
	s.Calls++
	s.Index = index
	s.LastError = ""
	if err != nil {
		c.failedCalls.Inc(1)
		s.Failed++
		s.LastError = err.Error()
	} else {
		s.LastSuccess = c.Clock.Now()
	}
	if result != "" {
		s.OfferResult, s.Version = result, version
	}
	if err == nil {
		c.recordStaleness()
	}
	if s.Calls == 1 {
		close(c.firstCallDone)
	}
}

// recordStaleness compares the platform's response, new or unchanged, with the document in force. The caller holds mu.
func (c *Client) recordStaleness() {
	current := c.Store.Current()
	wasStale := c.state.Stale
	c.state.Stale = current != nil && c.state.Version != 0 && c.state.Version < current.Version
	if !c.state.Stale {
		return
	}
	c.state.StaleResponses++
	if !wasStale {
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
	// Watching is set if this host is one of the watchers of its data centre.
	Watching bool   `json:"watching"`
	Index    string `json:"index"`
	Calls    uint64 `json:"calls"`
	Failed   uint64 `json:"failed"`
	// Version is the version in the platform's last response, and OfferResult is what the store did with it.
	Version     uint64             `json:"version"`
	OfferResult config.OfferResult `json:"verdict"`
	// Stale is set if the platform's last response was older than the document in force.
	Stale          bool      `json:"stale"`
	StaleResponses uint64    `json:"stale_answers"`
	LastSuccess    time.Time `json:"answered"`
	LastError      string    `json:"last_error,omitempty"`
}

// State returns a copy of the client's state.
func (c *Client) State() State {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.state
}
