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
	"net"
	"net/http"
	"net/url"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"github.com/orioleusher/orioleusher/internal/config"
	"github.com/orioleusher/orioleusher/internal/document"
)

// HeaderIndex carries the index of a configuration value.
const HeaderIndex = "X-Config-Index"

const (
	// watchWait is how long the platform holds a watch open.
	watchWait = 30 * time.Second
	// readTimeout bounds one call beyond the watch's wait.
	readTimeout = 5 * time.Second
	// minBackoff and maxBackoff bound the wait after a failed call.
	minBackoff = 200 * time.Millisecond
	maxBackoff = 10 * time.Second
)

// Client watches one document. Run feeds the store.
type Client struct {
	base  string
	fleet string
	http  *http.Client
	store *config.Store
	clock clockwork.Clock
	log   zerolog.Logger

	mu     sync.Mutex
	index  string
	calls  uint64
	failed uint64
	err    string
}

// NewClient returns a client for the platform at base that connects with the dialer.
func NewClient(base, fleet string, dialer *net.Dialer, store *config.Store, clock clockwork.Clock, log zerolog.Logger) *Client {
	return &Client{
		base: base, fleet: fleet, store: store, clock: clock, log: log,
		http: &http.Client{
			Timeout:   watchWait + readTimeout,
			Transport: &http.Transport{DialContext: dialer.DialContext, DisableCompression: true},
		},
	}
}

// Run watches until the context ends.
func (c *Client) Run(ctx context.Context) {
	backoff := minBackoff
	for ctx.Err() == nil {
		err := c.watch(ctx)
		c.note(err)
		if err == nil {
			backoff = minBackoff
			continue
		}
		c.log.Warn().Str("event", "platform-failed").Str("peer", c.base).Err(err).Send()
		select {
		case <-ctx.Done():
			return
		case <-c.clock.After(backoff):
		}
		backoff = min(2*backoff, maxBackoff)
	}
}

func (c *Client) note(err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.calls++
	c.err = ""
	if err != nil {
		c.failed++
		c.err = err.Error()
	}
}

// watch makes one call and offers what it returns to the store. A broken document is not an error of the call.
func (c *Client) watch(ctx context.Context) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, c.url(), nil)
	if err != nil {
		return errors.Wrap(err, "build platform request")
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return errors.Wrap(err, "read platform")
	}
	defer resp.Body.Close()
	switch resp.StatusCode {
	case http.StatusNotModified:
		return nil
	case http.StatusOK:
	default:
		return errors.Errorf("read platform: status %d", resp.StatusCode)
	}
	raw, err := io.ReadAll(io.LimitReader(resp.Body, document.MaxBytes+1))
	if err != nil {
		return errors.Wrap(err, "read platform value")
	}
	c.setIndex(resp.Header.Get(HeaderIndex))
	// A broken document is logged by the store; the next index may hold a good one.
	_, _ = c.store.Offer(raw, "platform")
	return nil
}

func (c *Client) setIndex(index string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.index = index
}

func (c *Client) url() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	u := fmt.Sprintf("%s/v1/config/%s", c.base, url.PathEscape(c.fleet))
	if c.index != "" {
		u += fmt.Sprintf("?index=%s&wait=%s", url.QueryEscape(c.index), watchWait)
	}
	return u
}

// State is the client's section of the state dump.
type State struct {
	Index     string `json:"index"`
	Calls     uint64 `json:"calls"`
	Failed    uint64 `json:"failed"`
	LastError string `json:"last_error,omitempty"`
}

// State returns the counts.
func (c *Client) State() State {
	c.mu.Lock()
	defer c.mu.Unlock()
	return State{Index: c.index, Calls: c.calls, Failed: c.failed, LastError: c.err}
}
