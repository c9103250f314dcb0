package transport

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// probeTimeout bounds one probe of an upstream.
const probeTimeout = 500 * time.Millisecond

// PathLoad is the path of an upstream's load report, the cheapest request to which every upstream responds.
const PathLoad = "/v1/load"

// HeaderBootID is the header in which an engine sends its boot ID, which changes with each restart, in every response.
const HeaderBootID = "X-Boot-Id"

// Prober determines whether an upstream crashed after a connection to it was lost. It is safe for concurrent use.
type Prober struct {
	client *http.Client

	mu      sync.Mutex
	bootIDs map[string]string
}

// NewProber returns a prober that opens a new connection with the dialer for each probe.
func NewProber(dialer *net.Dialer) *Prober {
	return &Prober{
		client: &http.Client{
			Timeout: probeTimeout,
			Transport: &http.Transport{
				DialContext: dialer.DialContext, DisableKeepAlives: true, MaxResponseHeaderBytes: MaxResponseHeadBytes,
			},
		},
		bootIDs: map[string]string{},
	}
}

// RecordBootID records the boot ID from the header of an upstream's response, if there is one.
func (p *Prober) RecordBootID(upstream string, header http.Header) {
	bootID := header.Get(HeaderBootID)
	if bootID == "" {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.bootIDs[upstream] = bootID
}

// BootID returns the last known boot ID of the upstream, or "".
func (p *Prober) BootID(upstream string) string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.bootIDs[upstream]
}

// DownOrRestarted reports whether the upstream closes or refuses connections, or has a boot ID other than the given
// one. It returns false for an upstream that does not respond in time.
func (p *Prober) DownOrRestarted(ctx context.Context, address, bootID string) bool {
	now, err := p.probe(ctx, address)
	if err != nil {
		return !isTimeout(err)
	}
	return bootID != "" && now != "" && now != bootID
}

// Alive reports whether the upstream responds to a probe.
func (p *Prober) Alive(ctx context.Context, address string) bool {
	_, err := p.probe(ctx, address)
	return err == nil
}

// probe requests the load report and returns the upstream's boot ID, or "" if the response has none.
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
