package logread

import (
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"testing"
)

// eventsPage is the documentation page that lists the events of direct mode.
const eventsPage = "../../docs/operations-direct.md"

// sources lists the packages that an oriole-router runs in direct mode.
var sources = []string{
	"../catalog", "../published", "../fleet", "../direct", "../balance", "../gateway", "../logging", "../allowance",
	"../upconn", "../framing", "../schedlag", "../promptblame", "../origin", "../detour", "../reach", "../lending", "../../cmd/oriole-router", "../../platform",
}

var (
	writtenPattern = regexp.MustCompile(`(?:"event", "|logLater\("|event=|level, event :?= zerolog\.\w+, ")([a-z]+(?:-[a-z]+)*)`)
	listedPattern  = regexp.MustCompile("(?m)^\\| `([a-z-]+)` \\|")
)

// TestEveryEventIsListed compares the events in the sources with the page, in both directions.
func TestEveryEventIsListed(t *testing.T) {
	written := map[string]bool{}
	for _, dir := range sources {
		files, err := filepath.Glob(filepath.Join(dir, "*.go"))
		if err != nil || len(files) == 0 {
			t.Fatalf("no sources in %s: %v", dir, err)
		}
		for _, file := range files {
			if strings.HasSuffix(file, "_test.go") {
				continue
			}
			raw, err := os.ReadFile(file)
			if err != nil {
				t.Fatal(err)
			}
			for _, match := range writtenPattern.FindAllStringSubmatch(string(raw), -1) {
				written[match[1]] = true
			}
		}
	}
	raw, err := os.ReadFile(eventsPage)
	if err != nil {
		t.Fatal(err)
	}
	_, section, _ := strings.Cut(string(raw), "## Events of the log")
	section, _, _ = strings.Cut(section, "\n## ")
	var listed []string
	for _, match := range listedPattern.FindAllStringSubmatch(section, -1) {
		listed = append(listed, match[1])
		if !written[match[1]] {
			t.Errorf("event %s is listed and never written", match[1])
		}
	}
	for name := range written {
		if !slices.Contains(listed, name) {
			t.Errorf("event %s is written and not listed", name)
		}
	}
}
