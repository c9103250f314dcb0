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

// readTimeout limits one request to the platform.
const readTimeout = 3 * time.Second

// documentReader reads the document in force from a file or the platform. It does not cache, so that conflicts are detected
// immediately.
type documentReader struct {
	file   string
	url    string
	client *http.Client
}

func newDocumentReader(s *settings.Console) *documentReader {
	r := &documentReader{file: s.DocumentFile, client: &http.Client{Timeout: readTimeout}}
	if s.Platform != "" {
		r.url = s.Platform + "/v1/config/" + url.PathEscape(s.Fleet)
	}
	return r
}

func (r *documentReader) read(ctx context.Context) (*document.Snapshot, error) {
	raw, err := r.readRaw(ctx)
	if err != nil {
		return nil, errors.Wrap(err, "read the document in force")
	}
	snap, err := document.Parse(raw)
	return snap, errors.Wrap(err, "parse the document in force")
}

func (r *documentReader) readRaw(ctx context.Context) ([]byte, error) {
	if r.url == "" {
		raw, err := os.ReadFile(r.file)
		return raw, errors.WithStack(err)
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, r.url, nil)
	if err != nil {
		return nil, errors.WithStack(err)
	}
	resp, err := r.client.Do(req)
	if err != nil {
		return nil, errors.WithStack(err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return nil, errors.Errorf("peer %s: status %d", r.url, resp.StatusCode)
	}
	raw, err := io.ReadAll(io.LimitReader(resp.Body, document.MaxBytes+1))
	return raw, errors.WithStack(err)
}
