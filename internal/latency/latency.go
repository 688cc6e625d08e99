// Package latency learns how long good answers of one kind of request take, and says from
// when on a running one is slow.
//
// Requests of one service differ more by what they ask for than by who answers: a call of
// a tenth of a second and a search of half a second may run side by side. So what is
// usual is learned for each route, from its own good answers, and no part of it is a
// constant of one fleet.
//
// An Estimate is the aggregate of one route at one daemon. It takes durations and gives
// durations; it has no clock, goroutine or socket. It is safe for concurrent use.
//
// # Usage
//
//	estimate := latency.New()
//	estimate.Good(180 * time.Millisecond)         // for each good answer
//	slow := estimate.SlowAfter(400 * time.Millisecond) // the route's latency target
//
// # Rules
//
//   - Durations are counted in classes that grow by an eighth each, so that a quantile is
//     known to that precision in a fixed space. Old counts fade: of Memory answers the
//     half that came first weighs half.
//   - A request is slow once it has run longer than nearly all good answers did. It is
//     slow earlier if a hedge could otherwise not be back within the target, but
//     not before it has run longer than most.
//   - Until enough answers are known, a request is slow after half of its target.
package latency

import (
	"math"
	"sync"
	"time"
)

const (
	// firstBound is the upper bound of the first class.
	firstBound = time.Millisecond
	// classes is how many there are; the last counts what is longer. Source: 1 ms times
	// 1.125 to the 120th is 23 minutes.
	classes = 120
	// growth is how much longer the bound of a class is than that of the one before.
	growth = 1.125
	// Memory is how many answers are counted before all counts are halved. Source: some
	// minutes of a route at one daemon of a small fleet.
	Memory = 200
	// minAnswers is how many answers have to be known for a quantile to say something.
	minAnswers = 8
	// earliestQuantile and slowQuantile are the shares of good answers that a request has outlasted when it
	// may be slow and when it is. Source: of requests that run as long as nearly all, one
	// in twenty would have been answered in a moment; a hedge for these is a
	// quarter of what a service's retry limit usually allows.
	earliestQuantile = 0.75
	slowQuantile     = 0.95
	// median is the quantile that a hedge is expected to take.
	median = 0.5
	// shareOfTarget is the part of the target after which a request is slow while too little
	// is known: the other half is for a hedge.
	shareOfTarget = 0.5
)

// Estimate is what is known of one route's good answers.
type Estimate struct {
	mu     sync.Mutex
	counts [classes]float64
	sum    float64
}

// New returns an estimate of which nothing is known.
func New() *Estimate { return &Estimate{} }

// Observe records how long a good answer took.
func (e *Estimate) Observe(took time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.counts[classOf(took)]++
	e.sum++
	if e.sum >= Memory {
		e.fade()
	}
}

// fade halves all counts.
func (e *Estimate) fade() {
	for i := range e.counts {
		e.counts[i] /= 2
	}
	e.sum /= 2
}

// SlowAfter returns how long a request of the route runs before it is slow. Without a target
// and with too little known it returns zero: nothing is slow.
func (e *Estimate) SlowAfter(target time.Duration) time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.sum < minAnswers {
		return time.Duration(shareOfTarget * float64(target))
	}
	slowAfter := e.quantile(slowQuantile)
	if inTime := target - e.quantile(median); target > 0 && inTime < slowAfter {
		slowAfter = max(inTime, e.quantile(earliestQuantile))
	}
	return slowAfter
}

// Median returns how long a good answer of the route usually takes, and false while too
// little is known.
func (e *Estimate) Median() (time.Duration, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.sum < minAnswers {
		return 0, false
	}
	return e.quantile(median), true
}

// quantile returns the bound below which that share of the answers lies.
func (e *Estimate) quantile(share float64) time.Duration {
	below := 0.0
	for class, count := range e.counts {
		below += count
		if below >= share*e.sum {
			return boundOf(class)
		}
	}
	return boundOf(classes - 1)
}

// classOf returns the class of a duration.
func classOf(took time.Duration) int {
	if took <= firstBound {
		return 0
	}
	class := math.Ceil(math.Log(float64(took)/float64(firstBound)) / math.Log(growth))
	return min(classes-1, int(class))
}

// boundOf returns the longest duration of a class.
func boundOf(class int) time.Duration {
	return time.Duration(float64(firstBound) * math.Pow(growth, float64(class)))
}
