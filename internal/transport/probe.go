package transport

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// probeTimeout bounds one probe of an upstream that closed a connection.
const probeTimeout = 500 * time.Millisecond

// PathLoad is the upstreams' load report, the cheapest call that they all answer.
const PathLoad = "/v1/load"

// HeaderBootID identifies the run of an engine in each of its answers.
const HeaderBootID = "X-Boot-Id"

// Prober finds out whether an upstream died after a connection to it was lost. It is safe for concurrent use.
type Prober struct {
	client *http.Client

	mu    sync.Mutex
	boots map[string]string
}

// NewProber returns a prober that connects with the dialer, anew for each probe.
func NewProber(dialer *net.Dialer) *Prober {
	return &Prober{
		client: &http.Client{
			Timeout:   probeTimeout,
			Transport: &http.Transport{DialContext: dialer.DialContext, DisableKeepAlives: true},
		},
		boots: map[string]string{},
	}
}

// RecordBootID remembers the run of the upstream that gave an answer.
func (p *Prober) RecordBootID(upstream string, header http.Header) {
	boot := header.Get(HeaderBootID)
	if boot == "" {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.boots[upstream] = boot
}

// Boot returns the last known run of the upstream, or "".
func (p *Prober) Boot(upstream string) string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.boots[upstream]
}

// Died reports whether the upstream closes or refuses connections, or runs another boot than the given one. An
// upstream that stays silent has not died.
func (p *Prober) Died(ctx context.Context, address, boot string) bool {
	now, err := p.probe(ctx, address)
	if err != nil {
		return !isTimeout(err)
	}
	return boot != "" && now != "" && now != boot
}

// Alive reports whether the upstream answers a probe.
func (p *Prober) Alive(ctx context.Context, address string) bool {
	_, err := p.probe(ctx, address)
	return err == nil
}

// probe asks for the load report and returns the boot of the upstream, or "" if it names none.
func (p *Prober) probe(ctx context.Context, address string) (string, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+PathLoad, nil)
	if err != nil {
		return "", errors.Wrapf(err, "probe %s", address)
	}
	resp, err := p.client.Do(req)
	if err != nil {
		return "", errors.Wrapf(err, "probe %s", address)
	}
	defer resp.Body.Close()
	return resp.Header.Get(HeaderBootID), nil
}

func isTimeout(err error) bool {
	var t net.Error
	return errors.As(err, &t) && t.Timeout()
}
