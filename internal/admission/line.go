package admission

import (
	"cmp"
	"slices"
	"time"
)

// line is the requests of one priority that wait. Their customers take turns, in rounds: in
// each round a customer has one turn, and who comes first in a round is served first in it. So
// requests of customers who ask little are served in the order in which they came, and one that
// floods waits behind them with all requests but one.
type line struct {
	priority int
	places   []place // the oldest first
	waiting  [bucketCount]int
	round    uint64              // of the turn that was served last
	next     [bucketCount]uint64 // the round of a bucket's next turn, if that is not over
}

// place is a waiting request.
type place struct {
	Request
	since  time.Time
	bucket int
	round  uint64 // of its turn
}

// push adds a request at the end of its customer's.
func (l *line) push(now time.Time, bucket int, r Request) {
	round := max(l.round, l.next[bucket])
	l.next[bucket] = round + 1
	l.places = append(l.places, place{Request: r, since: now, bucket: bucket, round: round})
	l.waiting[bucket]++
}

// popTurn removes and returns the request whose turn is next among those whose latency target is not before ready,
// which is when an answer could be there, or among all if there are none. The line is not
// empty.
//
// Where many customers wait with one request each, a turn that goes to the next request, late
// or not, leaves too few to those that can still be in time: of what 81 customers asked of a
// backend server at 1.2 times its capacity, 0.63 was answered within its latency target and 0.19 later; so
// it is 0.79 and 0.04, as with one customer (TestManyCustomersInTimeGoFirst).
func (l *line) popTurn(ready time.Time) Request {
	next := l.firstTurn(func(r Request) bool { return r.TargetAt.IsZero() || !r.TargetAt.Before(ready) })
	if next < 0 {
		next = l.firstTurn(func(Request) bool { return true })
	}
	l.round = max(l.round, l.places[next].round)
	return l.take(next)
}

// firstTurn returns the index of the request whose turn is next among those of which the function
// is true; it is less than zero if there are none.
func (l *line) firstTurn(which func(Request) bool) int {
	first := -1
	for i, p := range l.places {
		if which(p.Request) && (first < 0 || p.round < l.places[first].round) {
			first = i
		}
	}
	return first
}

// take removes the request at that index and returns it.
func (l *line) take(at int) Request {
	p := l.places[at]
	l.places = slices.Delete(l.places, at, at+1)
	l.waiting[p.bucket]--
	return p.Request
}

// inOrder returns what waits, in the order of turns.
func (l *line) inOrder() []place {
	places := slices.Clone(l.places)
	slices.SortStableFunc(places, func(a, b place) int { return cmp.Compare(a.round, b.round) })
	return places
}

// newest returns the index of the bucket's newest request, of which there is one at least.
func (l *line) newest(bucket int) int {
	at := len(l.places) - 1
	for l.places[at].bucket != bucket {
		at--
	}
	return at
}

// popNewest removes the bucket's newest request and returns it; its turn is free again.
func (l *line) popNewest(bucket int) Request {
	at := l.newest(bucket)
	l.next[bucket] = l.places[at].round
	return l.take(at)
}

// longest returns the bucket in which most wait.
func (l *line) longest() int {
	longest := 0
	for i, waiting := range l.waiting {
		if waiting > l.waiting[longest] {
			longest = i
		}
	}
	return longest
}

// remove removes the requests of which the function is true and returns their ids.
func (l *line) remove(which func(Request) bool) []uint64 {
	var removed []uint64
	l.places = slices.DeleteFunc(l.places, func(p place) bool {
		if !which(p.Request) {
			return false
		}
		removed = append(removed, p.ID)
		l.waiting[p.bucket]--
		return true
	})
	return removed
}
