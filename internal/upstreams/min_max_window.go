package upstreams

import "time"

// The window covers 2 s, within which a delayed load report may have been taken.
const (
	windowBuckets = 16
	bucketWidth   = 125 * time.Millisecond
)

// minMaxWindow keeps the lowest and highest value of the last two seconds. The zero value is empty.
type minMaxWindow struct {
	buckets [windowBuckets]minMaxBucket
}

type minMaxBucket struct {
	number    int64
	low, high int
}

// record adds a value observed at the given time.
func (w *minMaxWindow) record(now time.Time, value int) {
	number := now.UnixNano() / int64(bucketWidth)
	bucket := &w.buckets[number%windowBuckets]
	if bucket.number != number {
		*bucket = minMaxBucket{number: number, low: value, high: value}
		return
	}
	bucket.low, bucket.high = min(bucket.low, value), max(bucket.high, value)
}

// minMax returns the lowest and highest value of the window, including the current value.
func (w *minMaxWindow) minMax(now time.Time, current int) (low, high int) {
	low, high = current, current
	newest := now.UnixNano() / int64(bucketWidth)
	for _, bucket := range w.buckets {
		if bucket.number > newest-windowBuckets {
			low, high = min(low, bucket.low), max(high, bucket.high)
		}
	}
	return low, high
}
