package admin

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/matryer/is"
	"github.com/pkg/errors"
)

func TestEachPath(t *testing.T) {
	reason := ""
	options := Options{
		Ready: func() string { return reason },
		State: func() any { return map[string]int{"n": 1} },
		Explain: func(route, chat string) (any, error) {
			if route != "known" {
				return nil, errors.Errorf("route %q does not exist", route)
			}
			return chat, nil
		},
	}
	cases := []struct {
		name, path, notReady string
		status               int
		body                 string
	}{
		{"live", "/healthz", "stopping", 200, ""},
		{"ready", "/readyz", "", 200, ""},
		{"not ready", "/readyz", "stopping", 503, "stopping\n"},
		{"state", "/debug/state", "", 200, "{\n  \"n\": 1\n}\n"},
		{"explain", "/debug/explain?route=known&chat=c", "", 200, "\"c\"\n"},
		{"explain an unknown route", "/debug/explain?route=x", "", 404, "route \"x\" does not exist\n"},
		{"no metrics here", "/metrics", "", 404, "404 page not found\n"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			reason = c.notReady
			w := httptest.NewRecorder()
			Handler(options).ServeHTTP(w, httptest.NewRequest(http.MethodGet, c.path, nil))
			is.Equal(w.Code, c.status)
			is.Equal(w.Body.String(), c.body)
			if c.name == "state" {
				is.True(json.Valid(w.Body.Bytes()))
				is.Equal(w.Header().Get("Content-Type"), "application/json")
			}
		})
	}
}
