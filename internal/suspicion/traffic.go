package suspicion

import (
	"math"
	"time"
)

const (
	// trafficMemory is the time constant of the average rate of requests.
	trafficMemory = 5 * time.Second
	// minTrafficSpan is how long requests are counted before their rate is known.
	minTrafficSpan = time.Second
)

// traffic estimates the rate of the requests that are offered to a backend server.
type traffic struct {
	count float64 // decays with trafficMemory; as of at
	at    time.Time
	since time.Time // the first request
}

// record counts a request.
func (t *traffic) record(now time.Time) {
	if t.since.IsZero() {
		t.since, t.at = now, now
	}
	t.count = t.countAt(now) + 1
	t.at = now
}

func (t *traffic) countAt(now time.Time) float64 {
	return t.count * math.Exp(-float64(now.Sub(t.at))/float64(trafficMemory))
}

// interval returns the mean time between requests, or zero if it is not known yet.
func (t *traffic) interval(now time.Time) time.Duration {
	span := now.Sub(t.since)
	count := t.countAt(now)
	if t.since.IsZero() || span < minTrafficSpan || count == 0 {
		return 0
	}
	counted := float64(trafficMemory) * (1 - math.Exp(-float64(span)/float64(trafficMemory)))
	return time.Duration(counted / count)
}
