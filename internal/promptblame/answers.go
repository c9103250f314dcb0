package promptblame

import "time"

const (
	// answersPerGeneration bounds each of the two generations of an answerLog.
	answersPerGeneration = 4096
	// answerGeneration is the time after which a generation is replaced.
	answerGeneration = 30 * time.Second
)

// answerLog remembers when upstreams last answered this host's prompts with a segment. When the current
// generation is full or old, it becomes the previous one, whose entries are dropped.
type answerLog struct {
	current, previous map[uint64]time.Time
	startedAt         time.Time
}

// last returns the time of the last answer, or zero if it is not remembered.
func (l *answerLog) last(segment uint64) time.Time {
	if at, ok := l.current[segment]; ok {
		return at
	}
	return l.previous[segment]
}

func (l *answerLog) record(segment uint64, now time.Time) {
	if l.current == nil || len(l.current) >= answersPerGeneration || now.Sub(l.startedAt) >= answerGeneration {
		l.previous, l.current, l.startedAt = l.current, map[uint64]time.Time{}, now
	}
	l.current[segment] = now
}
