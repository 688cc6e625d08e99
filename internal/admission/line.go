package admission

import (
	"cmp"
	"slices"
	"time"
)

// level holds the waiting requests of one priority. Their customers take turns in rounds: each
// customer has one turn in a round, and within a round requests are served in order of arrival.
// A customer that floods the queue therefore delays only its own requests.
type level struct {
	priority  int
	entries   []entry // oldest first
	waiting   [bucketCount]int
	round     uint64              // round of the turn served last
	nextRound [bucketCount]uint64 // round of the bucket's next turn, unless that round is over
}

// entry is a waiting request.
type entry struct {
	Request
	since  time.Time
	bucket int
	round  uint64 // round of its turn
}

// push adds a request after the others of its customer.
func (l *level) push(now time.Time, bucket int, r Request) {
	round := max(l.round, l.nextRound[bucket])
	l.nextRound[bucket] = round + 1
	l.entries = append(l.entries, entry{Request: r, since: now, bucket: bucket, round: round})
	l.waiting[bucket]++
}

// popNext removes and returns the request whose turn is next among those whose latency target
// is not before ready, the earliest time at which an answer could arrive, or among all requests
// if there are none. The level must not be empty.
//
// Late requests come last: if many customers wait with one request each, serving them in turn
// leaves too few slots for requests that can still be in time. For 81 customers
// at 1.2 times the capacity, 63% of the requests would be in time instead of 79%.
func (l *level) popNext(ready time.Time) Request {
	next := l.firstMatching(func(r Request) bool { return r.LatencyTargetAt.IsZero() || !r.LatencyTargetAt.Before(ready) })
	if next < 0 {
		next = l.firstMatching(func(Request) bool { return true })
	}
	l.round = max(l.round, l.entries[next].round)
	return l.removeAt(next)
}

// firstMatching returns the index of the request whose turn is next among those that match, or
// -1 if none does.
func (l *level) firstMatching(match func(Request) bool) int {
	first := -1
	for i, e := range l.entries {
		if match(e.Request) && (first < 0 || e.round < l.entries[first].round) {
			first = i
		}
	}
	return first
}

// removeAt removes and returns the request at the index.
func (l *level) removeAt(index int) Request {
	e := l.entries[index]
	l.entries = slices.Delete(l.entries, index, index+1)
	l.waiting[e.bucket]--
	return e.Request
}

// inTurnOrder returns the waiting requests in the order of their turns.
func (l *level) inTurnOrder() []entry {
	entries := slices.Clone(l.entries)
	slices.SortStableFunc(entries, func(a, b entry) int { return cmp.Compare(a.round, b.round) })
	return entries
}

// newestIndex returns the index of the bucket's newest request. The bucket must not be empty.
func (l *level) newestIndex(bucket int) int {
	index := len(l.entries) - 1
	for l.entries[index].bucket != bucket {
		index--
	}
	return index
}

// popNewest removes and returns the bucket's newest request; its turn becomes available again.
func (l *level) popNewest(bucket int) Request {
	index := l.newestIndex(bucket)
	l.nextRound[bucket] = l.entries[index].round
	return l.removeAt(index)
}

// longest returns the bucket with the most waiting requests.
func (l *level) longest() int {
	longest := 0
	for i, waiting := range l.waiting {
		if waiting > l.waiting[longest] {
			longest = i
		}
	}
	return longest
}

// remove removes the requests that match and returns their IDs.
func (l *level) remove(match func(Request) bool) []uint64 {
	var removed []uint64
	l.entries = slices.DeleteFunc(l.entries, func(e entry) bool {
		if !match(e.Request) {
			return false
		}
		removed = append(removed, e.ID)
		l.waiting[e.bucket]--
		return true
	})
	return removed
}
