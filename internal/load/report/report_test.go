package report

import (
	"bytes"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

const second = time.Second

func TestOracleHoldsBlocksAnsweredBeforeSend(t *testing.T) {
	is := is.New(t)
	requests := []CompletedRequest{
		{Sent: 0, FirstByte: 2 * second, PromptTokens: 40, Blocks: []uint64{1, 2}},
		{Sent: 1 * second, FirstByte: 2 * second, PromptTokens: 40, Blocks: []uint64{1, 2}},
		{Sent: 3 * second, FirstByte: 4 * second, PromptTokens: 60, Blocks: []uint64{1, 2, 3}},
		{Sent: 5 * second, FirstByte: 6 * second, PromptTokens: 60, Blocks: []uint64{9, 2, 3}},
	}
	is.Equal(oracleCachedTokens(requests), []int{0, 0, 32, 0})
}

func TestWrongfulRefusalsAreAdmittedByExactBucket(t *testing.T) {
	is := is.New(t)
	charges := []Charge{
		{Team: "a", At: 0}, {Team: "a", At: 0, Refused: true},
		{Team: "a", At: 0, Refused: true},
		{Team: "a", At: 1 * second, Refused: true},
	}
	counts := replayCharges(charges, map[string]TeamRate{"a": {PerSecond: 1, Burst: 2}}, func(time.Duration) bool { return true })
	is.Equal(*counts["a"], rateCount{charged: 4, refused: 3, wrongful: 2})
}

func TestLatencyIsMeasuredFromScheduledTime(t *testing.T) {
	is := is.New(t)
	in := &Input{Duration: 2 * second, Requests: []CompletedRequest{
		{Team: "a", Status: OK, Due: 0, Sent: second, FirstByte: second + 100*time.Millisecond, End: second + 200*time.Millisecond, Attempts: 1},
	}}
	var r Result
	Summarise(in, &r)
	is.True(r.Total.FirstByte.P50 > 1099 && r.Total.FirstByte.P50 < 1102)
	is.True(r.Series[0].FirstByteP50 > 1099)
}

func TestLoadSkewIsMaxOverMean(t *testing.T) {
	is := is.New(t)
	k := loadSkew([]LoadSample{
		{At: second, Factor: 1.25, InFlight: []int{4, 4, 4}},
		{At: second, Factor: 1.25, InFlight: []int{6, 3, 3}},
		{At: second, Factor: 1.25, InFlight: []int{1, 0, 0}},
	}, 0)
	is.Equal(k.Samples, 2)
	is.Equal(k.Max, 1.5)
	is.Equal(k.OverBound, 0.5)
}

func TestFairnessComparesWorstTeamWithMedianDuringSurge(t *testing.T) {
	is := is.New(t)
	in := &Input{Duration: 10 * second, Surges: []Window{{From: 5 * second, To: 6 * second}}, SurgingTeams: []string{"d"}}
	add := func(team string, due time.Duration, status EndStatus) {
		in.Requests = append(in.Requests, CompletedRequest{Team: team, Due: due, FirstByte: due + second, End: due + second, Status: status})
	}
	add("a", second, Failed)
	for _, team := range []string{"a", "b", "c"} {
		add(team, 5*second, OK)
		add(team, 5*second, OK)
	}
	add("d", 5*second, Refused)
	add("c", 5*second, Refused)
	add("c", 5*second, Refused)
	var r Result
	Summarise(in, &r)
	is.Equal(r.Fairness.WorstTeam, "c")
	is.Equal(r.Fairness.SuccessRatio, 0.5)
	is.Equal(r.Total.Lost(), 4)
}

func TestComparisonShowsUnavailableMeasures(t *testing.T) {
	is := is.New(t)
	var out bytes.Buffer
	is.NoErr(Compare(&out, []*Result{{Fleet: "x", Label: "ours"}}))
	for _, line := range strings.Split(out.String(), "\n") {
		if strings.Contains(line, "control bytes") || strings.Contains(line, "data centre moves") {
			is.True(strings.HasSuffix(strings.TrimSpace(line), unknownCell))
		}
	}
}
