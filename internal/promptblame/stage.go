package promptblame

import "time"

// Stage is how far an answer has come. An upstream may crash before the first event of an answer or some time after it, but a
// deadly segment crashes all upstreams at about the same stage: an answer that has passed a stage shows that its segments are
// not deadly at that stage, and nothing of later ones.
type Stage int

// The stages of an answer. Each but the first begins with the first event, so that it includes the ones before it.
const (
	// Beginning ends with the first event.
	Beginning Stage = iota
	FirstEvents
	FirstMoments
	FirstSecond
	// Answered is passed by all complete answers. It is not a stage at which segments are blamed.
	Answered

	stageCount = int(Answered)
)

// stageEnds are the times after the first event at which the stages end.
var stageEnds = [stageCount]time.Duration{Beginning: 0, FirstEvents: 100 * time.Millisecond, FirstMoments: 600 * time.Millisecond, FirstSecond: 1500 * time.Millisecond}

// firstEventSlack is how long most upstreams take to the first event.
const firstEventSlack = 250 * time.Millisecond

// counts reports whether the attempt counts by now. Once an answer has begun, an attempt counts when the answers that had
// begun beside it have passed its stage: otherwise a run would hold the crashes of a moment and lack its answers.
func (a Attempt) counts(now time.Time) bool {
	stage := a.stage()
	return stage == Beginning || stage >= Answered || now.Sub(a.CrashedAt) >= stageEnds[stage]+firstEventSlack
}

// StageAt returns the stage of an answer whose first event came that long ago.
func StageAt(sinceFirstEvent time.Duration) Stage {
	stage := FirstEvents
	for stage < Answered && sinceFirstEvent >= stageEnds[stage] {
		stage++
	}
	return stage
}

// stageMask are the bits of a segment's hash that hold a stage, so that what is known of a segment is kept, exchanged and
// refused by stage.
const stageMask = 3

func (s Stage) of(segment uint64) uint64 { return segment&^stageMask | uint64(s) }

func (s Stage) ofAll(segments []uint64) []uint64 {
	at := make([]uint64, len(segments))
	for i, segment := range segments {
		at[i] = s.of(segment)
	}
	return at
}

// stageOf returns the stage of the segment.
func stageOf(segment uint64) Stage { return Stage(segment & stageMask) }
