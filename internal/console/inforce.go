package console

import (
	"context"
	"io"
	"net/http"
	"net/url"
	"os"
	"time"

	"github.com/pkg/errors"

	"github.com/orioleusher/orioleusher/internal/document"
	"github.com/orioleusher/orioleusher/internal/settings"
)

// readTimeout bounds one read of the platform.
const readTimeout = 3 * time.Second

// inForce reads the document in force, each time anew, so that a conflict is seen at once.
type inForce struct {
	file   string
	url    string
	client *http.Client
}

func newInForce(s *settings.Console) *inForce {
	f := &inForce{file: s.DocumentFile, client: &http.Client{Timeout: readTimeout}}
	if s.Platform != "" {
		f.url = s.Platform + "/v1/config/" + url.PathEscape(s.Fleet)
	}
	return f
}

func (f *inForce) read(ctx context.Context) (*document.Snapshot, error) {
	raw, err := f.raw(ctx)
	if err != nil {
		return nil, errors.Wrap(err, "read the document in force")
	}
	snap, err := document.Parse(raw)
	return snap, errors.Wrap(err, "read the document in force")
}

func (f *inForce) raw(ctx context.Context) ([]byte, error) {
	if f.url == "" {
		raw, err := os.ReadFile(f.file)
		return raw, errors.WithStack(err)
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, f.url, nil)
	if err != nil {
		return nil, errors.WithStack(err)
	}
	resp, err := f.client.Do(req)
	if err != nil {
		return nil, errors.WithStack(err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return nil, errors.Errorf("peer %s: status %d", f.url, resp.StatusCode)
	}
	raw, err := io.ReadAll(io.LimitReader(resp.Body, document.MaxBytes+1))
	return raw, errors.WithStack(err)
}
