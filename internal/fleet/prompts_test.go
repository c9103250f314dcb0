package fleet

import (
	"context"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"

	"github.com/orioleusher/orioleusher/internal/promptblame"
)

// Guards against records that other hosts understand otherwise than they were meant.
func TestPromptRecordsKeepTheirMeaning(t *testing.T) {
	is := is.New(t)
	now := clockwork.NewFakeClock().Now()
	r := promptblame.Records{
		Attempts: []promptblame.Attempt{{
			Segments: []uint64{1, 2}, Request: 3, Upstream: 4, CrashedAt: now.Add(-time.Second),
		}},
		Clearances: []promptblame.Clearance{{Segment: 5, At: now.Add(-2 * time.Second)}},
		Blames: []promptblame.Blame{
			{Segments: []uint64{6}, Since: now.Add(-time.Second), Until: now.Add(time.Minute), Duration: 2 * time.Minute},
			{Segments: []uint64{7}, Since: now.Add(-2 * time.Minute), Until: now.Add(-time.Second), Duration: time.Minute}, // on probation
		},
		Reports: []*promptblame.Report{{Host: 8, At: now.Add(-3 * time.Second)}},
	}
	for i := range promptblame.ReportSize {
		r.Reports[0].Answered[i], r.Reports[0].Crashed[i] = 10+i, 100+i
	}
	is.Equal(decodePrompts(encodePrompts(r, now), now), r)
}

// Guards against a blame that other hosts hear of only in a later round.
func TestNewBlameIsAnnouncedAtOnce(t *testing.T) {
	is := is.New(t)
	clock := clockwork.NewFakeClock()
	hosts := startFleet(t, clock, "a", "a", "b", "b", "c", "c")
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	for _, h := range hosts {
		h.prompts.OnBlame(h.Announce)
		go h.runAnnouncements(ctx)
	}
	segments, now := []uint64{1}, clock.Now()
	hosts[0].prompts.Merge(promptblame.Records{Blames: []promptblame.Blame{
		{Segments: segments, Since: now, Until: now.Add(time.Minute), Duration: time.Minute},
	}})
	for _, h := range hosts {
		for h.prompts.Check(segments, promptblame.Beginning) == 0 {
			time.Sleep(time.Millisecond) // until it arrives, or the test times out
		}
	}
	is.Equal(len(hosts[0].prompts.State().Blames), 1)
}

// Guards against one announcement for each request of a crash.
func TestAnnouncementsOfOneMomentAreJoined(t *testing.T) {
	is := is.New(t)
	clock := clockwork.NewFakeClock()
	host := startFleet(t, clock, "a", "a")[0]
	for range 2 {
		for range 100 {
			host.AnnounceSoon()
		}
		is.Equal(len(host.announcements), 0)
		clock.Advance(announceDelay)
		select {
		case <-host.announcements:
		case <-time.After(time.Minute):
			t.Fatal("not announced")
		}
		is.Equal(len(host.announcements), 0)
	}
}
