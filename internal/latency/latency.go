// Package latency estimates the response times of a route and decides when a running request is
// slow.
//
// Within one service, response times depend more on the kind of request than on the backend server:
// a call of a tenth of a second and a search of half a second may run side by side. The typical
// latency is therefore estimated for each route from its own successful responses.
//
// An Estimate belongs to one route at one daemon. It takes and returns durations; it has no clock,
// goroutine or socket. It is safe for concurrent use.
//
// # Usage
//
//	estimate := latency.New()
//	estimate.Observe(180 * time.Millisecond)           // for each successful response
//	slow := estimate.SlowAfter(400 * time.Millisecond) // the route's latency target
//
// # Rules
//
//   - Durations are counted in a histogram whose bucket bounds grow by an eighth each, which bounds
//     the error of a quantile in constant space. Counts decay: they are halved each time their sum
//     reaches DecayThreshold.
//   - A request is slow once it has run longer than nearly all successful ones. It is slow earlier
//     if a hedge could otherwise not finish within the target, but not before it has run longer
//     than most.
//   - While there are too few observations, a request is slow after half of its target.
package latency

import (
	"math"
	"sync"
	"time"
)

const (
	// minBound is the upper bound of the first bucket.
	minBound = time.Millisecond
	// buckets is the number of buckets; the last one, with a bound of about 20 minutes, also counts
	// everything longer.
	buckets = 120
	// bucketGrowth is the ratio of the bounds of consecutive buckets.
	bucketGrowth = 1.125
	// DecayThreshold is the sum of counts at which all counts are halved.
	DecayThreshold = 200
	// minSamples is the minimum sum of counts for a meaningful quantile.
	minSamples = 8
	// earliestQuantile and slowQuantile bound the quantile of successful responses from which a
	// request is slow. At slowQuantile, one request in twenty is hedged although it is about to
	// succeed, which fits into the usual retry budget.
	earliestQuantile = 0.75
	slowQuantile     = 0.95
	// median is the expected quantile of a hedge's response time.
	median = 0.5
	// defaultTargetShare is the part of the target after which a request is slow while there are too few
	// observations; the rest is left for a hedge.
	defaultTargetShare = 0.5
)

// Estimate is a decaying histogram of the response times of one route.
type Estimate struct {
	mu     sync.Mutex
	counts [buckets]float64
	sum    float64
}

// New returns an estimate without observations.
func New() *Estimate { return &Estimate{} }

// Observe records the duration of a successful response.
func (e *Estimate) Observe(duration time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.counts[bucketOf(duration)]++
	e.sum++
	if e.sum >= DecayThreshold {
		e.decay()
	}
}

// decay halves all counts.
func (e *Estimate) decay() {
	for i := range e.counts {
		e.counts[i] /= 2
	}
	e.sum /= 2
}

// SlowAfter returns how long a request of the route may run before it is slow. It returns zero, for
// no limit, if there is no target and too few observations.
func (e *Estimate) SlowAfter(target time.Duration) time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.sum < minSamples {
		return time.Duration(defaultTargetShare * float64(target))
	}
	slowAfter := e.quantile(slowQuantile)
	if hedgeStart := target - e.quantile(median); target > 0 && hedgeStart < slowAfter {
		slowAfter = max(hedgeStart, e.quantile(earliestQuantile))
	}
	return slowAfter
}

// Median returns the median duration of a successful response. It returns false while there are too
// few observations.
func (e *Estimate) Median() (time.Duration, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.sum < minSamples {
		return 0, false
	}
	return e.quantile(median), true
}

// quantile returns the upper bound of the bucket that contains the given quantile.
func (e *Estimate) quantile(q float64) time.Duration {
	below := 0.0
	for bucket, count := range e.counts {
		below += count
		if below >= q*e.sum {
			return bucketBound(bucket)
		}
	}
	return bucketBound(buckets - 1)
}

// bucketOf returns the bucket index of a duration.
func bucketOf(duration time.Duration) int {
	if duration <= minBound {
		return 0
	}
	bucket := math.Ceil(math.Log(float64(duration)/float64(minBound)) / math.Log(bucketGrowth))
	return min(buckets-1, int(bucket))
}

// bucketBound returns the upper bound of a bucket.
func bucketBound(bucket int) time.Duration {
	return time.Duration(float64(minBound) * math.Pow(bucketGrowth, float64(bucket)))
}
