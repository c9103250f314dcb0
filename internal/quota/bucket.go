package quota

import (
	"math"
	"time"
)

// GrantValidity is how long after the borrow request a borrowed token may be spent. The lender counts a lent token
// against its burst until then, since the borrower may spend it at any time in between.
const GrantValidity = 100 * time.Millisecond

// The lender counts lent tokens in a ring of time slots, so that a token is counted for at least GrantValidity and at
// most one slot longer.
const (
	lentSlots    = 4
	lentSlotTime = GrantValidity / (lentSlots - 1)
)

// never is the wait time if no token will become available.
const never = time.Duration(math.MaxInt64)

// bucket is the token bucket for this host's share of a team. tokens and burst are in requests, rate in requests per
// second.
type bucket struct {
	rate     float64
	burst    float64
	tokens   float64
	refilled time.Time
	// lent counts the tokens that borrowers may still spend, by time slot. lentSlot is the current slot and lentStart its
	// start time.
	lent      [lentSlots]float64
	lentSlot  int
	lentStart time.Time
}

// outstanding returns the number of tokens that borrowers may still spend.
func (b *bucket) outstanding() float64 {
	sum := 0.0
	for _, n := range b.lent {
		sum += n
	}
	return sum
}

// refill advances the bucket to now, slot by slot: lent tokens lower the level to which the bucket may fill until they
// expire at the end of a slot.
func (b *bucket) refill(now time.Time) {
	for b.outstanding() > 0 {
		end := b.lentStart.Add(lentSlotTime)
		if now.Before(end) {
			break
		}
		b.fillTo(end)
		b.lentSlot = (b.lentSlot + 1) % lentSlots
		b.lent[b.lentSlot] = 0
		b.lentStart = end
	}
	b.fillTo(now)
}

func (b *bucket) fillTo(now time.Time) {
	elapsed := now.Sub(b.refilled).Seconds()
	if elapsed <= 0 {
		return
	}
	b.refilled = now
	b.tokens = max(b.tokens, min(b.burst-b.outstanding(), b.tokens+elapsed*b.rate))
}

// resize changes rate and burst. It never adds tokens.
func (b *bucket) resize(rate, burst float64) {
	b.rate, b.burst = rate, burst
	b.tokens = min(b.tokens, burst-b.outstanding())
}

// spend takes one token for a request of this host. It returns false if there is none.
func (b *bucket) spend() bool {
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// lend takes up to want whole tokens for a borrower and returns their number. The bucket must have been refilled to
// now.
func (b *bucket) lend(want uint32, now time.Time) uint32 {
	granted := min(want, uint32(max(0, math.Floor(b.tokens))))
	if granted == 0 {
		return 0
	}
	if b.outstanding() == 0 {
		b.lentStart = now
	}
	b.tokens -= float64(granted)
	b.lent[b.lentSlot] += float64(granted)
	return granted
}

// wait returns the time until the bucket holds n tokens.
func (b *bucket) wait(n float64) time.Duration {
	if b.tokens >= n {
		return 0
	}
	if b.rate <= 0 || b.burst < n {
		return never
	}
	return time.Duration((n - b.tokens) / b.rate * float64(time.Second))
}
