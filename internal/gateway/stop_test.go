package gateway

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/orioleusher/orioleusher/internal/settings"
)

// Guards against a planned stop that waits so long for the load balancer that its process is killed before the requests in flight
// are answered.
func TestStopEndsInTime(t *testing.T) {
	const s = time.Second
	for _, tt := range []struct{ drain, stop, wantDrain, wantCutOff time.Duration }{
		{3 * s, 8 * s, 3 * s, 8*s - shutdownMargin},
		{3 * s, 3 * s, 3*s - shutdownMargin, 3*s - shutdownMargin},
		{shutdownMargin / 2, shutdownMargin / 2, 0, 0},
	} {
		is := is.New(t)
		drain, cutOff := stopTimes(settings.DirectTimeouts{Drain: settings.Duration(tt.drain), Stop: settings.Duration(tt.stop)})
		is.Equal(drain, tt.wantDrain)
		is.Equal(cutOff, tt.wantCutOff)
		is.True(cutOff+finalResponseTime <= max(tt.stop, finalResponseTime))
	}
}
