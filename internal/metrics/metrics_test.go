package metrics

import (
	"net/http"
	"net/http/httptest"
	"regexp"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// linePattern matches a comment or a sample of the text format.
var linePattern = regexp.MustCompile(`^(# (HELP|TYPE) [a-zA-Z_:][a-zA-Z0-9_:]* .*|[a-zA-Z_:][a-zA-Z0-9_:]*(\{[^}]*\})? [-+0-9.eEInfNa]+)$`)

func TestMetricsUseTextFormat(t *testing.T) {
	is := is.New(t)
	r := New("test")
	r.Scope.Counter("requests").Inc(3)
	r.Scope.Tagged(map[string]string{"team": "a\"b\nc"}).Gauge("in-flight").Update(2)
	is.NoErr(r.Close()) // reports the metrics once more
	w := httptest.NewRecorder()
	r.Handler.ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/metrics", nil))
	is.True(strings.HasPrefix(w.Header().Get("Content-Type"), "text/plain"))
	text := w.Body.String()
	for sample := range strings.Lines(text) {
		if !linePattern.MatchString(strings.TrimSuffix(sample, "\n")) {
			t.Errorf("not a line of the text format: %q", sample)
		}
	}
	is.True(strings.Contains(text, "test_requests 3\n"))
	is.True(strings.Contains(text, "test_in_flight{team="))
}
