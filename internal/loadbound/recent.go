package loadbound

// recentTicks is how many values Recent remembers; an owner records one every 100 ms.
const recentTicks = 10

// RecentLoads remembers the last loads of a pool. The zero value is empty.
type RecentLoads struct {
	loads [recentTicks]float64
	next  int
	known int
}

// Record notes the pool's load.
func (r *RecentLoads) Record(load float64) {
	r.loads[r.next] = load
	r.next = (r.next + 1) % recentTicks
	r.known = min(r.known+1, recentTicks)
}

// WithLowestLoad returns the totals with the lowest load of the recent past. A bound from a short peak, or from late reports of
// one, would be too wide as soon as the peak is over.
func (r *RecentLoads) WithLowestLoad(t Totals) Totals {
	for _, load := range r.loads[:r.known] {
		t.Load = min(t.Load, load)
	}
	return t
}
