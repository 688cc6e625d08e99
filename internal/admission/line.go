package admission

import (
	"cmp"
	"slices"
	"time"
)

// line holds the waiting requests of one priority. Their customers take turns in rounds: each
// customer has one turn in a round, and within a round requests are served in order of arrival.
// A customer that floods the queue therefore delays only its own requests.
type line struct {
	priority int
	places   []place // oldest first
	waiting  [bucketCount]int
	round    uint64              // round of the turn served last
	next     [bucketCount]uint64 // round of the bucket's next turn, unless that round is over
}

// place is a waiting request.
type place struct {
	Request
	since  time.Time
	bucket int
	round  uint64 // round of its turn
}

// push adds a request after the others of its customer.
func (l *line) push(now time.Time, bucket int, r Request) {
	round := max(l.round, l.next[bucket])
	l.next[bucket] = round + 1
	l.places = append(l.places, place{Request: r, since: now, bucket: bucket, round: round})
	l.waiting[bucket]++
}

// popTurn removes and returns the request whose turn is next among those whose latency target
// is not before ready, the earliest time at which an answer could arrive, or among all requests
// if there are none. The line must not be empty.
//
// Late requests come last because, with many customers waiting with one request each, serving
// them in turn leaves too few slots for requests that can still be in time.
func (l *line) popTurn(ready time.Time) Request {
	next := l.firstTurn(func(r Request) bool { return r.TargetAt.IsZero() || !r.TargetAt.Before(ready) })
	if next < 0 {
		next = l.firstTurn(func(Request) bool { return true })
	}
	l.round = max(l.round, l.places[next].round)
	return l.take(next)
}

// firstTurn returns the index of the request whose turn is next among those that match, or -1
// if none does.
func (l *line) firstTurn(which func(Request) bool) int {
	first := -1
	for i, p := range l.places {
		if which(p.Request) && (first < 0 || p.round < l.places[first].round) {
			first = i
		}
	}
	return first
}

// take removes and returns the request at the index.
func (l *line) take(at int) Request {
	p := l.places[at]
	l.places = slices.Delete(l.places, at, at+1)
	l.waiting[p.bucket]--
	return p.Request
}

// inOrder returns the waiting requests in the order of their turns.
func (l *line) inOrder() []place {
	places := slices.Clone(l.places)
	slices.SortStableFunc(places, func(a, b place) int { return cmp.Compare(a.round, b.round) })
	return places
}

// newest returns the index of the bucket's newest request. The bucket must not be empty.
func (l *line) newest(bucket int) int {
	at := len(l.places) - 1
	for l.places[at].bucket != bucket {
		at--
	}
	return at
}

// popNewest removes and returns the bucket's newest request; its turn becomes available again.
func (l *line) popNewest(bucket int) Request {
	at := l.newest(bucket)
	l.next[bucket] = l.places[at].round
	return l.take(at)
}

// longest returns the bucket with the most waiting requests.
func (l *line) longest() int {
	longest := 0
	for i, waiting := range l.waiting {
		if waiting > l.waiting[longest] {
			longest = i
		}
	}
	return longest
}

// remove removes the requests that match and returns their IDs.
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
