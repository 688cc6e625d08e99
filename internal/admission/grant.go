package admission

import "time"

// UrgentGrants is the number of consecutive grants to the most urgent waiting priority after
// which a less urgent one gets the next grant.
const UrgentGrants = 3

// minServiceDivisor divides the average service time to get the minimum time that must be left
// before a request's deadline for the request to be run.
const minServiceDivisor = 2

// Done frees the slot of a request that took the given time, and returns the requests that get
// a slot and those that can no longer meet their deadline. A request that was granted a slot
// but never sent has taken zero, which is left out of the average.
func (q *Queue) Done(now time.Time, took time.Duration) (granted, expired []uint64) {
	q.running--
	if took > 0 {
		q.serviceTime += (took - q.serviceTime) / averageWeight
	}
	return q.grant(now)
}

// grant assigns the free slots to the requests that are served next.
func (q *Queue) grant(now time.Time) (granted, expired []uint64) {
	for q.running < q.config.Slots && q.waiting > 0 && q.rate.allows() {
		next := q.next(now)
		if q.cannotMeetDeadline(now, next) {
			expired = append(expired, next.ID)
			continue
		}
		q.running++
		q.rate.take()
		granted = append(granted, next.ID)
	}
	return granted, expired
}

// next removes and returns the request that is served next. The queue must not be empty.
func (q *Queue) next(now time.Time) Request {
	q.waiting--
	return q.nextLevel().popNext(now.Add(q.serviceTime))
}

// nextLevel returns the level that is served next: the most urgent one with waiting requests, or
// after UrgentGrants grants to it the one after that.
func (q *Queue) nextLevel() *level {
	first := -1
	for i, l := range q.levels {
		if len(l.entries) == 0 {
			continue
		}
		if first >= 0 {
			q.urgentGrants = 0
			return l
		}
		first = i
		if q.urgentGrants < UrgentGrants {
			break
		}
	}
	q.urgentGrants++
	return q.levels[first]
}

// cannotMeetDeadline reports whether too little time is left before the deadline for the
// request to be run.
func (q *Queue) cannotMeetDeadline(now time.Time, r Request) bool {
	return now.Add(q.serviceTime / minServiceDivisor).After(r.Deadline)
}
