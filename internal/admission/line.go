package admission

import "time"

// line is the requests of one priority that wait. Their customers take turns.
type line struct {
	priority int
	waiting  int
	buckets  [bucketCount][]place
	turn     int
}

// place is a waiting request.
type place struct {
	Request
	since time.Time
}

func (l *line) push(now time.Time, bucket int, r Request) {
	l.buckets[bucket] = append(l.buckets[bucket], place{Request: r, since: now})
	l.waiting++
}

// popTurn takes the oldest request of the next customer whose turn it is. The
// line is not empty.
func (l *line) popTurn() Request {
	for len(l.buckets[l.turn]) == 0 {
		l.turn = (l.turn + 1) % bucketCount
	}
	bucket := l.turn
	l.turn = (l.turn + 1) % bucketCount
	r := l.buckets[bucket][0]
	l.buckets[bucket] = l.buckets[bucket][1:]
	l.waiting--
	return r.Request
}

func (l *line) newest(bucket int) place {
	return l.buckets[bucket][len(l.buckets[bucket])-1]
}

func (l *line) popNewest(bucket int) Request {
	newest := l.newest(bucket)
	l.buckets[bucket] = l.buckets[bucket][:len(l.buckets[bucket])-1]
	l.waiting--
	return newest.Request
}

func (l *line) longest() int {
	longest := 0
	for i := range l.buckets {
		if len(l.buckets[i]) > len(l.buckets[longest]) {
			longest = i
		}
	}
	return longest
}

// cancel takes a request out and says whether it was there.
func (l *line) cancel(bucket int, id uint64) bool {
	for i, r := range l.buckets[bucket] {
		if r.ID == id {
			l.buckets[bucket] = append(l.buckets[bucket][:i], l.buckets[bucket][i+1:]...)
			l.waiting--
			return true
		}
	}
	return false
}
