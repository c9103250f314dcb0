package settings

import (
	"os"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against a router that does not start because the default of the drain time is longer than the configured stop.
func TestDefaultDrainFitsIntoStop(t *testing.T) {
	for _, tt := range []struct{ stop, drain time.Duration }{
		{8 * time.Second, 3 * time.Second}, {6 * time.Second, 3 * time.Second}, {2 * time.Second, time.Second},
	} {
		is := is.New(t)
		raw, err := os.ReadFile("testdata/direct.json")
		is.NoErr(err)
		file := t.TempDir() + "/settings.json"
		text := strings.Replace(string(raw), `"stop": "8s"`, `"stop": "`+tt.stop.String()+`"`, 1)
		is.NoErr(os.WriteFile(file, []byte(text), 0o600))
		var s Direct
		is.NoErr(Load(file, &s))
		is.Equal(s.Timeouts.Stop.Std(), tt.stop)
		is.Equal(s.Timeouts.Drain.Std(), tt.drain)
	}
}
