package health

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// step is one event and the status of the upstream after it.
type step struct {
	ms    int
	event string
	want  Status
}

func TestTrackerStatus(t *testing.T) {
	for _, c := range []struct {
		name  string
		steps []step
	}{
		{"a single failure", []step{{0, "failed", Up}, {10, "succeeded", Up}, {20, "failed", Up}, {30, "failed", Up}}},
		{"consecutive failures", []step{{0, "failed", Up}, {10, "failed", Up}, {20, "failed", Down}}},
		{"a successful probe resets the failure count", []step{{0, "failed", Up}, {10, "failed", Up}, {15, "probed", Up}, {20, "failed", Up}}},
		{"unreachable", []step{{0, "unreachable", Down}}},
		{"up again by probe and trial", []step{{0, "unreachable", Down}, {400, "probed", Down}, {500, "probed", Trial}, {510, "succeeded", Up}}},
		{"a failed trial", []step{{0, "unreachable", Down}, {500, "probed", Trial}, {510, "failed", Down}, {1010, "probed", Down}, {1510, "probed", Trial}}},
		{"without a probe it stays down", []step{{0, "unreachable", Down}, {60000, "succeeded", Down}}},
		{"flapping doubles the backoff", []step{
			{0, "unreachable", Down}, {500, "probed", Trial}, {501, "succeeded", Up},
			{600, "unreachable", Down}, {1500, "probed", Down}, {1600, "probed", Trial}, {1601, "succeeded", Up},
			{1700, "unreachable", Down}, {3600, "probed", Down}, {3700, "probed", Trial},
		}},
		{"the backoff resets", []step{
			{0, "unreachable", Down}, {500, "probed", Trial}, {501, "succeeded", Up},
			{70000, "unreachable", Down}, {70500, "probed", Trial},
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			var tracker Tracker
			for _, s := range c.steps {
				now := time.Unix(1000, 0).Add(time.Duration(s.ms) * time.Millisecond)
				switch s.event {
				case "failed":
					tracker.RecordFailure(now)
				case "unreachable":
					tracker.RecordConnectFailure(now)
				case "succeeded":
					tracker.RecordSuccess()
				case "probed":
					tracker.RecordProbeSuccess(now)
				}
				is.Equal(tracker.Status(), s.want)
			}
		})
	}
}

func TestTrialAllowsOneRequest(t *testing.T) {
	is := is.New(t)
	var tracker Tracker
	now := time.Unix(1000, 0)
	tracker.RecordConnectFailure(now)
	is.True(!tracker.AllowsRequest(0))
	tracker.RecordProbeSuccess(now.Add(time.Second))
	is.True(tracker.AllowsRequest(0))
	is.True(!tracker.AllowsRequest(1))
}

func TestBackoffIsBounded(t *testing.T) {
	is := is.New(t)
	var tracker Tracker
	now := time.Unix(1000, 0)
	for range 100 {
		tracker.RecordConnectFailure(now)
		is.True(tracker.RetryAfter(now) <= maxBackoff)
		now = now.Add(maxBackoff)
		tracker.RecordProbeSuccess(now)
		tracker.RecordSuccess()
	}
}
