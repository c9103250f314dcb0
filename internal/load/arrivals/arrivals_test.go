package arrivals

import (
	"reflect"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/orioleusher/orioleusher/internal/load/scenario"
	"github.com/orioleusher/orioleusher/internal/settings"
)

func sample() *scenario.Scenario {
	return &scenario.Scenario{
		Name: "t", Seed: 7, Duration: settings.Duration(100 * time.Second), Scale: 1, Attempts: 1,
		Chat: scenario.Chat{Path: "/chat", SystemTokens: 8, HistoryTokens: 40, TurnTokens: 5, AnswerTokens: 4, MaxTurns: 3, Pause: settings.Duration(time.Second)},
		Teams: []scenario.Team{{
			Name: "a", ChatsPerSecond: 10, Chats: 5, ZipfExponent: 1.2,
			Calls:  []scenario.Call{{Route: "orders", Method: "POST", Path: "/orders", PerSecond: 2, AtMostOnce: true}},
			Surges: []scenario.Surge{{From: settings.Duration(50 * time.Second), To: settings.Duration(60 * time.Second), Factor: 10}},
		}},
	}
}

func TestPlanDependsOnlyOnSeed(t *testing.T) {
	is := is.New(t)
	is.True(reflect.DeepEqual(Plan(sample()), Plan(sample())))
	other := sample()
	other.Seed = 8
	is.True(!reflect.DeepEqual(Plan(sample()), Plan(other)))
}

func TestArrivalRateFollowsSurge(t *testing.T) {
	is := is.New(t)
	var quiet, surge int
	for _, r := range Plan(sample()) {
		if r.Chat == nil {
			continue
		}
		if r.Due >= 50*time.Second && r.Due < 60*time.Second {
			surge++
		} else {
			quiet++
		}
	}
	// The expected counts are 900 and 1000. The bounds are five standard deviations of a Poisson distribution.
	is.True(quiet > 750 && quiet < 1050)
	is.True(surge > 840 && surge < 1160)
}

func TestEachTurnExtendsPreviousPrompt(t *testing.T) {
	is := is.New(t)
	last := map[string]*ChatTurn{}
	turns := map[string]int{}
	due := map[string]time.Duration{}
	for _, r := range Plan(sample()) {
		if r.Chat == nil {
			continue
		}
		turns[r.Chat.ID]++
		if before := last[r.Chat.ID]; before != nil {
			is.Equal(r.Chat.Messages[:len(before.Messages)], before.Messages)
			is.Equal(r.Chat.Messages[len(before.Messages)].Content, before.ExpectedText)
			is.True(r.Due-due[r.Chat.ID] >= time.Second)
		}
		last[r.Chat.ID], due[r.Chat.ID] = r.Chat, r.Due
	}
	for _, n := range turns {
		is.True(n <= 3)
	}
}
