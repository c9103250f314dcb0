package direct

import (
	"net/http"
	"net/url"
	"strings"

	"github.com/orioleusher/orioleusher/internal/outcome"
)

// checkTarget refuses a request whose target has no path, or could not be sent to an upstream byte for byte.
func checkTarget(in *http.Request) error {
	if !strings.HasPrefix(in.URL.Path, "/") || upstreamURL(in).RequestURI() != in.RequestURI {
		return outcome.Refuse(stepAdmit, http.StatusBadRequest, "bad-target", "the target cannot be forwarded")
	}
	return nil
}

// upstreamURL returns the URL with which net/http sends the request's target.
func upstreamURL(in *http.Request) *url.URL {
	if strings.HasPrefix(in.RequestURI, "//") { // net/http would put the scheme before an opaque URL that begins so
		return &url.URL{Scheme: "http", Host: in.Host, Path: in.URL.Path, RawPath: in.URL.RawPath, RawQuery: in.URL.RawQuery, ForceQuery: in.URL.ForceQuery}
	}
	return &url.URL{Scheme: "http", Host: in.Host, Opaque: in.RequestURI}
}
