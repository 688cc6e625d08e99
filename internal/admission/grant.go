package admission

import "time"

// UrgentGrants is how many grants go to the more urgent while the less urgent
// wait, before one goes to those. Source: what is less urgent must get a
// quarter of the share that the rest gets at the least.
const UrgentGrants = 3

// hopelessPart is the part of the usual service time, as one part in so many, that has to be left
// for a request to be run at all. Not measured: few requests are answered in half of it.
const hopelessPart = 2

// Done frees a slot after a request that took so long, and returns the
// requests that get a slot and those that can no longer make their deadline.
// A request that was granted a slot and never sent has taken zero, which the
// average leaves out.
func (q *Queue) Done(now time.Time, took time.Duration) (granted, expired []uint64) {
	q.running--
	if took > 0 {
		q.serviceTime += (took - q.serviceTime) / averageWeight
	}
	return q.grant(now)
}

// grant gives the free slots to the requests that are served next.
func (q *Queue) grant(now time.Time) (granted, expired []uint64) {
	for q.running < q.config.Slots && q.waiting > 0 {
		next := q.next(now)
		if q.isHopeless(now, next) {
			expired = append(expired, next.ID)
			continue
		}
		q.running++
		granted = append(granted, next.ID)
	}
	return granted, expired
}

// next takes the request that is served next. The queue is not empty.
func (q *Queue) next(now time.Time) Request {
	q.waiting--
	return q.nextLine().popTurn(now.Add(q.serviceTime))
}

// nextLine returns the line that is served next: the most urgent, or after
// UrgentGrants of those the next one that waits.
func (q *Queue) nextLine() *line {
	first := -1
	for i, l := range q.lines {
		if len(l.places) == 0 {
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
	return q.lines[first]
}

// isHopeless reports whether too little of the usual service time is left before the
// deadline for the request to be run.
func (q *Queue) isHopeless(now time.Time, r Request) bool {
	return now.Add(q.serviceTime / hopelessPart).After(r.Deadline)
}
