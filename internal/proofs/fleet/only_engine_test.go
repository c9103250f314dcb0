package fleet

import (
	"testing"
	"time"

	"github.com/orioleusher/orioleusher/internal/document"
	"github.com/orioleusher/orioleusher/internal/settings"
	"github.com/orioleusher/orioleusher/internal/testfleet"
)

// TestAnOnlyEngineIsNotTakenForColdWhenAnswersGrowLonger loads a pool of one engine with short answers and then with long ones. Eight
// callers of answers that take one second each get at least half of what an engine without a bound would give them.
func TestAnOnlyEngineIsNotTakenForColdWhenAnswersGrowLonger(t *testing.T) {
	skipIfShort(t)
	f := testfleet.Start(t, testfleet.Options{
		Block: 89, Hosts: []int{1, 1}, Engines: 1,
		EditDocument: func(d *document.Document) { d.Pools[0].Upstreams[0].Capacity = 2 * capacityStreams },
		EditRouter:   func(s *settings.Router) { s.Log.Level = "warn" },
		EditEngine:   func(e *settings.Engine) { e.MaxActive = 2 * capacityStreams },
	})
	waitLive(t, f, 1, "router-1", true)
	time.Sleep(worstTarget)
	answerLoad(t, f, shortAnswer)
	const leastAnswers = capacityWorkers * int64(requestWindow/time.Second) / 2
	if answers := answerLoad(t, f, longAnswer); answers < leastAnswers {
		t.Errorf("%d answers, want at least %d", answers, leastAnswers)
	}
}
