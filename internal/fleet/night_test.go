package fleet

import (
	"flag"
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
)

// nightPattern is a fleet with little traffic, to which a request with the deadly segment comes every two seconds.
type nightPattern struct {
	hosts, engines int
	soundPerSecond float64
	crashDelay     time.Duration
}

const (
	nightThings    = 60
	deadlyInterval = 2 * time.Second
	nightLength    = time.Minute
)

// seeds returns the number of seeds to play: few in short tests, and none of large fleets.
func (p nightPattern) seeds() uint64 {
	switch {
	case !testing.Short():
		return 10
	case p.hosts > 7:
		return 0
	default:
		return 3
	}
}

// Guards against a deadly segment that is not refused because few answers are on record (BUDGET).
func TestDeadlySegmentIsRefusedAtNight(t *testing.T) {
	t.Parallel()
	for _, p := range []nightPattern{{7, 9, 1, 0}, {7, 9, 2, 0}, {7, 9, 3, 0}, {7, 9, 5, 0}, {7, 9, 1, 50 * time.Millisecond}, {7, 9, 2, 50 * time.Millisecond}, {7, 9, 5, 50 * time.Millisecond}, {88, 60, 1, 0}, {88, 60, 5, 0}} {
		for seed := range p.seeds() {
			t.Run(fmt.Sprintf("%d hosts, %.0f a second, crash after %s, seed %d", p.hosts, p.soundPerSecond, p.crashDelay, seed), func(t *testing.T) {
				f := newDeadlyFleet(p.hosts, p.engines, nightThings, seed)
				f.crashDelay = p.crashDelay
				deadly := 1 / deadlyInterval.Seconds()
				f.arrive(p.soundPerSecond+deadly, deadly/(p.soundPerSecond+deadly))
				f.runFor(nightLength)
				t.Logf("%d crashes, %d late, %d sound ones refused", len(f.crashes), f.lateSends, sum(f.refused))
				is := is.New(t)
				is.True(len(f.crashes) >= crashesNeeded-1)
				is.True(f.lateSends <= maxLateSends)
				is.Equal(sum(f.refused), 0)
			})
		}
	}
}

// nightHours is how many hours of each pattern TestSoundPromptsAreNotBlamedAtNight plays.
var nightHours = flag.Int("night.hours", 1, "simulated hours of each pattern of crashes at night")

// nightCrashes are crashes that have nothing to do with prompts: count upstreams every interval, with a gap between them.
type nightCrashes struct {
	name          string
	interval, gap time.Duration
	count         int
}

// Guards against blame that is not earned, when few answers are on record: less than one in 1,000 hours.
func TestSoundPromptsAreNotBlamedAtNight(t *testing.T) {
	t.Parallel()
	for _, c := range []nightCrashes{
		{"one upstream every 10 s", 10 * time.Second, 0, 1}, {"all upstreams every minute", time.Minute, 0, 9},
		{"half of the upstreams every 20 s", 20 * time.Second, 0, 5}, {"all upstreams one after another every minute", time.Minute, 60 * time.Millisecond, 9},
		{"nine crashes in a row every 5 minutes", 5 * time.Minute, time.Second, 9},
		{"all upstreams every 4 s", 4 * time.Second, 0, 9}, {"one upstream every 400 ms", 400 * time.Millisecond, 0, 1},
	} {
		for _, perSecond := range []float64{1, 2, 5} {
			if testing.Short() && (perSecond != 2 || c.interval < 20*time.Second || c.gap == 0 && c.count == 9) {
				continue // takes minutes
			}
			t.Run(fmt.Sprintf("%s, %.0f requests a second", c.name, perSecond), func(t *testing.T) {
				t.Parallel()
				blamed, refused := 0, 0
				for hour := range uint64(*nightHours) {
					f := newNight(c, perSecond, hour)
					f.runFor(time.Hour)
					blamed, refused = blamed+f.blamed, refused+sum(f.refused)
				}
				t.Logf("%d hours: %d blames, %d requests refused", *nightHours, blamed, refused)
				is.New(t).True(float64(blamed) <= float64(*nightHours)/1000)
			})
		}
	}
}

// night is a fleet without deadly requests.
type night struct {
	*deadlyFleet
	// blamed counts the blames, of which those within a minute are one.
	blamed   int
	blamedAt time.Time
}

func newNight(c nightCrashes, perSecond float64, seed uint64) *night {
	f := &night{deadlyFleet: newDeadlyFleet(7, 9, nightThings, seed)}
	f.promptsOnly = true
	for _, h := range f.hosts {
		h.prompts.OnBlame(func() {
			if f.blamed == 0 || f.clock.Since(f.blamedAt) > time.Minute {
				f.blamed++
			}
			f.blamedAt = f.clock.Now()
		})
	}
	f.arrive(perSecond, 0)
	f.after(time.Second, func() { f.crashRandomly(c.interval, c.gap, c.count) })
	return f
}

func sum(counts map[int]int) int {
	total := 0
	for _, n := range counts {
		total += n
	}
	return total
}
