package retry

import "time"

const (
	// bucketCount is the number of buckets in a window. Times are accurate to one bucket, a quarter
	// of a second for a window of ten seconds.
	bucketCount = 40
	// lateBuckets is the delay of a retry's arrival, in buckets, up to which it counts in the right
	// window: 0.75 s for a window of ten seconds. It covers the network latency and the wait for a
	// slot, and costs about a thirteenth of what is carried over.
	lateBuckets = 3
)

// LoanTTL returns the time for which a borrowed retry is valid, in a window of that length: the
// delay with which a retry may arrive.
func LoanTTL(length time.Duration) time.Duration { return length / bucketCount * lateBuckets }

// window counts requests and retries over the last two windows. A window of zero length counts
// nothing.
type window struct {
	length time.Duration
	start  time.Time // of the first bucket; zero until something is counted
	// buckets cover the time of two windows; the newest one is at newest modulo their number.
	buckets [2 * bucketCount]bucket
	newest  int64
}

// bucket holds the counts of one of the intervals into which a window is divided.
type bucket struct{ requests, retries int32 }

// current returns the bucket of that time, after clearing those that have expired. It returns nil
// if the window is too short to be divided into buckets.
func (w *window) current(now time.Time) *bucket {
	if w.length < bucketCount {
		return nil
	}
	if w.start.IsZero() {
		w.start = now
	}
	w.clearUntil(int64(now.Sub(w.start) / (w.length / bucketCount)))
	return &w.buckets[w.index(w.newest)]
}

// clearUntil makes the bucket of that number the newest, unless it or a newer one already is.
func (w *window) clearUntil(number int64) {
	count := int64(len(w.buckets))
	w.newest = max(w.newest, number-count) // clearing every bucket once is enough
	for w.newest < number {
		w.newest++
		w.buckets[w.index(w.newest)] = bucket{}
	}
}

// index returns the position of the bucket with that number.
func (w *window) index(number int64) int64 {
	count := int64(len(w.buckets))
	return (number%count + count) % count
}

// previous returns the bucket that many before the newest.
func (w *window) previous(buckets int) bucket { return w.buckets[w.index(w.newest-int64(buckets))] }

// empty reports whether nothing was counted.
func (w *window) empty() bool { return w.buckets == [2 * bucketCount]bucket{} }

// counts holds the counts since a point in time, and the requests in the window before it.
type counts struct{ before, since, retries int }

// minimum returns the minimum of remaining for the counts since each point in time of the last
// window. Requests in the bucket of that point count as before it.
func (w *window) minimum(remaining func(counts) float64) float64 {
	const bucketsBefore = bucketCount - lateBuckets
	var c counts
	for i := range bucketsBefore {
		c.before += int(w.previous(i).requests)
	}
	c.retries = int(w.previous(0).retries)
	minimum := remaining(c)
	for i := 1; i <= bucketCount; i++ {
		c.since += int(w.previous(i - 1).requests)
		c.before += int(w.previous(i+bucketsBefore-1).requests) - int(w.previous(i-1).requests)
		c.retries += int(w.previous(i).retries)
		minimum = min(minimum, remaining(c))
	}
	return minimum
}
