package settings

import (
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

// settingsTemplate is the settings file that the platform fills in at each start of a router.
const settingsTemplate = "../../deploy/router.json.tmpl"

// TestTemplateGivesValidSettings fills in the template as the platform does and checks the result.
func TestTemplateGivesValidSettings(t *testing.T) {
	is := is.New(t)
	raw, err := os.ReadFile(settingsTemplate)
	is.NoErr(err)
	values := map[string]string{
		"node": "front-catania-a-1", "zone": "catania-a", "ip": "10.1.0.40", "listen.front": "10.1.0.40:8227",
		"listen.ready": "10.1.0.40:8220", "listen.control": "10.1.0.40:8229", "platform.address": "10.200.1.7:8223",
		"limits.memory_mb": "284", "bounds.retry_budget_ratio": "0.2", "bounds.budget_slack": "54",
		"bounds.cold_overage": "1.5", "bounds.cold_slack": "5", "bounds.grace_s": "8", "bounds.drain_ms": "3000", "bounds.config_ms": "2000",
		"platform.history_s": "20",
	}
	lists := map[string][]string{"zones": {"acireale", "catania-a"}, "seeds": {"10.1.0.40:8229", "10.2.0.29:8229"}}
	file := filepath.Join(t.TempDir(), "router.json")
	is.NoErr(os.WriteFile(file, []byte(fillIn(t, string(raw), values, lists)), 0o600))
	var got, want Direct
	is.NoErr(Load(file, &got))
	is.NoErr(Load("testdata/direct.json", &want))
	is.Equal(got, want)
	is.Equal(got.Timeouts.MaxStaleness(), 2*time.Second) // the smaller of leaving and configuration
}

var (
	sectionPattern = regexp.MustCompile(`\{\{#(\w+)\}\}(.*?)\{\{/\w+\}\}`)
	valuePattern   = regexp.MustCompile(`\{\{([\w.]+)\}\}`)
)

// fillIn renders the template constructs of the platform that this project uses: values, and sections over lists.
func fillIn(t *testing.T, text string, values map[string]string, lists map[string][]string) string {
	t.Helper()
	text = sectionPattern.ReplaceAllStringFunc(text, func(section string) string {
		parts := sectionPattern.FindStringSubmatch(section)
		var out []string
		for _, entry := range lists[parts[1]] {
			out = append(out, strings.NewReplacer("{{@}}", entry, "{{.}}", entry, "{{,}}", "").Replace(parts[2]))
		}
		return strings.Join(out, ",")
	})
	return valuePattern.ReplaceAllStringFunc(text, func(placeholder string) string {
		value, ok := values[strings.Trim(placeholder, "{}")]
		if !ok {
			t.Errorf("placeholder %s is not known", placeholder)
		}
		return value
	})
}
