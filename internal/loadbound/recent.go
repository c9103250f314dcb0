package loadbound

// recentCount is the number of values that RecentLoads keeps. An owner records one every 100 ms.
const recentCount = 10

// RecentLoads keeps the most recent loads of a pool. The zero value is empty.
type RecentLoads struct {
	loads [recentCount]float64
	next  int
	count int
}

// Record records the pool's load.
func (r *RecentLoads) Record(load float64) {
	r.loads[r.next] = load
	r.next = (r.next + 1) % recentCount
	r.count = min(r.count+1, recentCount)
}

// WithLowestLoad returns the totals with the load replaced by the lowest recent one if that is lower. A limit computed
// from a short peak, or from late reports of one, would be too high as soon as the peak is over.
func (r *RecentLoads) WithLowestLoad(t Totals) Totals {
	for _, load := range r.loads[:r.count] {
		t.Load = min(t.Load, load)
	}
	return t
}
