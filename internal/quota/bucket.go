package quota

import (
	"math"
	"time"
)

// GrantValidity is how long after its request a borrowed token may be spent. The lender counts a lent token against
// its burst until then, since it may be admitted at any moment of that time.
const GrantValidity = 100 * time.Millisecond

// The lender keeps lent tokens in a ring of slots, so that a token is counted for GrantValidity and at most one slot
// longer.
const (
	lentSlots    = 4
	lentSlotTime = GrantValidity / (lentSlots - 1)
)

// never is the wait for a token that will not come.
const never = time.Duration(math.MaxInt64)

// bucket is a token bucket of one part; tokens and burst count requests, rate requests a second.
type bucket struct {
	rate     float64
	burst    float64
	tokens   float64
	refilled time.Time
	// lent are the tokens that borrowers may still spend, by slot; lentStart is the start of the current slot.
	lent      [lentSlots]float64
	lentSlot  int
	lentStart time.Time
}

// outstanding returns the tokens that borrowers may still spend.
func (b *bucket) outstanding() float64 {
	sum := 0.0
	for _, n := range b.lent {
		sum += n
	}
	return sum
}

// refill advances the bucket to now. It stops at every slot's end, because lent tokens lower the level that the
// bucket may reach until they lapse.
func (b *bucket) refill(now time.Time) {
	for b.outstanding() > 0 {
		end := b.lentStart.Add(lentSlotTime)
		if now.Before(end) {
			break
		}
		b.fill(end)
		b.lentSlot = (b.lentSlot + 1) % lentSlots
		b.lent[b.lentSlot] = 0
		b.lentStart = end
	}
	b.fill(now)
}

func (b *bucket) fill(now time.Time) {
	elapsed := now.Sub(b.refilled).Seconds()
	if elapsed <= 0 {
		return
	}
	b.refilled = now
	b.tokens = max(b.tokens, min(b.burst-b.outstanding(), b.tokens+elapsed*b.rate))
}

// resize changes the part. Tokens are never created by it.
func (b *bucket) resize(rate, burst float64) {
	b.rate, b.burst = rate, burst
	b.tokens = min(b.tokens, burst-b.outstanding())
}

// spend takes one token for a request of this host.
func (b *bucket) spend() bool {
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// lend takes up to want whole tokens for a borrower. The bucket must have been refilled to now.
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
