package upstreams

import "time"

// The window over which a late load report may have been taken.
const (
	extremeSlots = 16
	slotTime     = 125 * time.Millisecond
)

// extremes keeps the lowest and highest value of the last two seconds. The zero value is empty.
type extremes struct {
	slots [extremeSlots]extreme
}

type extreme struct {
	number    int64
	low, high int
}

// record notes a value at the time.
func (e *extremes) record(now time.Time, value int) {
	number := now.UnixNano() / int64(slotTime)
	slot := &e.slots[number%extremeSlots]
	if slot.number != number {
		*slot = extreme{number: number, low: value, high: value}
		return
	}
	slot.low, slot.high = min(slot.low, value), max(slot.high, value)
}

// span returns the lowest and highest value of the window, whose last value is current.
func (e *extremes) span(now time.Time, current int) (low, high int) {
	low, high = current, current
	newest := now.UnixNano() / int64(slotTime)
	for _, slot := range e.slots {
		if slot.number > newest-extremeSlots {
			low, high = min(low, slot.low), max(high, slot.high)
		}
	}
	return low, high
}
