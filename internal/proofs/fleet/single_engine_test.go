package fleet

import (
	"testing"
	"time"

	"github.com/orioleusher/orioleusher/internal/document"
	"github.com/orioleusher/orioleusher/internal/settings"
	"github.com/orioleusher/orioleusher/internal/testfleet"
)

// TestSingleEngineIsNotTreatedAsColdWhenAnswersGrowLonger loads a pool of one engine first with short answers and then with
// long ones. If the owner mistook the longer answers for a cold start, it would limit the engine's load. A long answer
// takes one second; the callers must get at least half of the answers that an engine without a load bound would give.
func TestSingleEngineIsNotTreatedAsColdWhenAnswersGrowLonger(t *testing.T) {
	skipIfShort(t)
	f := testfleet.Start(t, testfleet.Options{
		Block: 89, Hosts: []int{1, 1}, Engines: 1,
		EditDocument: func(d *document.Document) { d.Pools[0].Upstreams[0].Capacity = 2 * capacityStreams },
		EditRouter:   func(s *settings.Router) { s.Log.Level = "warn" },
		EditEngine:   func(e *settings.Engine) { e.MaxActive = 2 * capacityStreams },
	})
	waitLive(t, f, 1, "router-1", true)
	time.Sleep(worstTarget)
	countAnswers(t, f, shortAnswerTokens)
	const leastAnswers = capacityWorkers * int64(requestWindow/time.Second) / 2
	if answers := countAnswers(t, f, longAnswerTokens); answers < leastAnswers {
		t.Errorf("%d answers, want at least %d", answers, leastAnswers)
	}
}
