package replylimit

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against a reply that is taken for whole although its request is just being cancelled.
func TestLiftTellsWhetherRequestIsCancelled(t *testing.T) {
	is := is.New(t)
	var lifts, cancels int
	for i := range 1000 {
		cancelled := make(chan struct{}, 1)
		l := Start(time.Duration(i%20)*10*time.Microsecond, func() { cancelled <- struct{}{} })
		time.Sleep(time.Duration(i%7) * 10 * time.Microsecond)
		if l.Lift() {
			lifts++
			is.True(l.Lift()) // the result is final
			select {
			case <-cancelled:
				t.Fatal("cancelled after it was lifted")
			case <-time.After(300 * time.Microsecond):
			}
			continue
		}
		cancels++
		<-cancelled
		is.True(!l.Lift())
	}
	is.True(lifts > 0 && cancels > 0)
}
