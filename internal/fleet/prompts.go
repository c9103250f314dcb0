package fleet

import (
	"context"
	"time"

	"github.com/orioleusher/orioleusher/internal/promptblame"
	"github.com/orioleusher/orioleusher/internal/rpc/fleetpb"
)

const (
	// announceFanout is the number of hosts that a host tells at once of a new blame. Each of them tells as many.
	announceFanout = 4
	// announceDelay joins the news of one crash, which comes in as many parts as requests ran there.
	announceDelay = 5 * time.Millisecond
)

// maxCount is far beyond the outcomes of a host in a minute.
const maxCount = 1 << 24

// PromptRecords holds the records of prompt segments that crash upstreams, which hosts exchange.
type PromptRecords interface {
	Records() promptblame.Records
	Merge(promptblame.Records)
}

// Announce requests exchanges of digests with several hosts before the next round, and does not wait for them. While Run
// runs, runAnnouncements makes them.
func (f *Fleet) Announce() {
	select {
	case f.announcements <- struct{}{}:
	default: // one is pending
	}
}

// AnnounceSoon requests exchanges as Announce does, in a moment. Requests in the meantime are joined.
func (f *Fleet) AnnounceSoon() {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.announcesSoon {
		return
	}
	f.announcesSoon = true
	f.Clock.AfterFunc(announceDelay, func() {
		f.mu.Lock()
		f.announcesSoon = false
		f.mu.Unlock()
		f.Announce()
	})
}

// runAnnouncements announces until the context ends.
func (f *Fleet) runAnnouncements(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-f.announcements:
			f.announce(ctx)
		}
	}
}

// announce exchanges digests with announceFanout hosts.
func (f *Fleet) announce(ctx context.Context) {
	for _, address := range f.pickAnnounced() {
		go f.exchangeWith(ctx, address)
	}
}

func encodePrompts(r promptblame.Records, now time.Time) *fleetpb.PromptRecords {
	p := &fleetpb.PromptRecords{}
	for _, a := range r.Attempts {
		p.Attempts = append(p.Attempts, &fleetpb.PromptAttempt{
			Segments: a.Segments, Request: a.Request, Upstream: a.Upstream, AgeMs: ageMs(now, a.CrashedAt),
		})
	}
	for _, c := range r.Clearances {
		p.Clearances = append(p.Clearances, &fleetpb.PromptClearance{Segment: c.Segment, AgeMs: ageMs(now, c.At)})
	}
	for _, b := range r.Blames {
		p.Blames = append(p.Blames, &fleetpb.PromptBlame{
			Segments: b.Segments, SinceMs: ageMs(now, b.Since), LeftMs: int32(b.Until.Sub(now).Milliseconds()),
			DurationMs: uint32(b.Duration.Milliseconds()),
		})
	}
	for _, r := range r.Reports {
		p.Reports = append(p.Reports, &fleetpb.PromptReport{
			Host: r.Host, AgeMs: ageMs(now, r.At), Answered: encodeCounts(r.Answered), Crashed: encodeCounts(r.Crashed),
		})
	}
	return p
}

func encodeCounts(counts [promptblame.ReportSize]int) []uint32 {
	list := make([]uint32, len(counts))
	for i, n := range counts {
		list[i] = uint32(n)
	}
	return list
}

// decodeCounts returns the counts of a message. Those that are missing are 0.
func decodeCounts(list []uint32) (counts [promptblame.ReportSize]int) {
	for i := range min(len(list), len(counts)) {
		counts[i] = int(min(list[i], maxCount))
	}
	return counts
}

func decodePrompts(p *fleetpb.PromptRecords, now time.Time) promptblame.Records {
	var r promptblame.Records
	for _, a := range p.GetAttempts() {
		r.Attempts = append(r.Attempts, promptblame.Attempt{
			Segments: a.GetSegments(), Request: a.GetRequest(), Upstream: a.GetUpstream(), CrashedAt: now.Add(-milliseconds(a.GetAgeMs())),
		})
	}
	for _, c := range p.GetClearances() {
		r.Clearances = append(r.Clearances, promptblame.Clearance{Segment: c.GetSegment(), At: now.Add(-milliseconds(c.GetAgeMs()))})
	}
	for _, b := range p.GetBlames() {
		r.Blames = append(r.Blames, promptblame.Blame{
			Segments: b.GetSegments(), Since: now.Add(-milliseconds(b.GetSinceMs())),
			Until: now.Add(time.Duration(b.GetLeftMs()) * time.Millisecond), Duration: milliseconds(b.GetDurationMs()),
		})
	}
	for _, report := range p.GetReports() {
		r.Reports = append(r.Reports, &promptblame.Report{
			Host: report.GetHost(), At: now.Add(-milliseconds(report.GetAgeMs())), Answered: decodeCounts(report.GetAnswered()), Crashed: decodeCounts(report.GetCrashed()),
		})
	}
	return r
}

// ageMs returns the time from at to now in milliseconds, or 0 if at is later.
func ageMs(now, at time.Time) uint32 { return uint32(max(0, now.Sub(at).Milliseconds())) }

func milliseconds(ms uint32) time.Duration { return time.Duration(ms) * time.Millisecond }
