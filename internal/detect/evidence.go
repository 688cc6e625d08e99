package detect

import (
	"math"
	"time"
)

// evidence is the cumulative sum for one kind of bad observation: failures or slow responses.
type evidence struct {
	sum           float64   // sum up to the start of the current interval
	intervalSum   float64   // contribution of the current interval, at least -sum
	intervalStart time.Time // start of the current interval
	since         time.Time // when the sum last left zero
	count         float64   // observations since then
	bad           float64   // bad observations since then
	expected      float64   // bad observations expected since then at the baseline rate
	observed      float64   // all observations
	rate          float64   // recent rate of bad observations
	longRate      float64   // rate of bad observations over a longer period
}

// rateWeight and longRateWeight are the divisors of the exponential moving averages rate and
// longRate: a new observation has a weight of one divided by it, or by the number of observations
// if that is smaller.
const (
	rateWeight     = 10
	longRateWeight = 100
)

// add records one observation.
func (e *evidence) add(now time.Time, bad bool, baselineRate, unhealthyRate float64, rules Rules) {
	e.observed++
	e.rate += (indicator(bad) - e.rate) / math.Min(e.observed, rateWeight)
	e.longRate += (indicator(bad) - e.longRate) / math.Min(e.observed, longRateWeight)
	if now.Sub(e.intervalStart) >= rules.Interval {
		e.sum = e.total(rules)
		e.intervalSum = 0
		e.intervalStart = now
	}
	if e.total(rules) == 0 {
		e.since = now
		e.count, e.bad, e.expected = 0, 0, 0
	}
	e.count++
	e.bad += indicator(bad)
	e.expected += baselineRate
	e.intervalSum = math.Max(e.intervalSum+logRatio(bad, baselineRate, unhealthyRate), -e.sum)
}

// total returns the cumulative sum including the current interval, whose part is capped.
func (e *evidence) total(rules Rules) float64 {
	return math.Max(0, e.sum+math.Min(e.intervalSum, rules.IntervalCap))
}

// baselineRate returns the rate that the subject contributes to the baseline of others: the higher of the
// recent rate, which shows a shared cause first, and the longer-term rate, which is more stable.
func (e *evidence) baselineRate() float64 { return math.Max(e.rate, e.longRate) }

// isSufficient reports whether the evidence suffices for an unhealthy verdict. The median sum of the
// other servers is subtracted, since a shared cause is not a fault of the subject.
func (e *evidence) isSufficient(now time.Time, baselineRate, othersSum float64, rules Rules) bool {
	return e.total(rules)-othersSum >= rules.Threshold &&
		e.bad >= rules.MinBad &&
		now.Sub(e.since) >= rules.MinSpan &&
		e.rate >= baselineRate+rules.Margin &&
		e.isSignificant(rules)
}

// isSignificant reports whether the bad observations exceed the expected number by Rules.Deviations
// standard deviations.
func (e *evidence) isSignificant(rules Rules) bool {
	return e.isSignificantAgainst(e.expected/e.count, rules)
}

func (e *evidence) isSignificantAgainst(expectedRate float64, rules Rules) bool {
	deviation := math.Sqrt(e.count * expectedRate * (1 - expectedRate))
	return e.bad-e.count*expectedRate >= rules.Deviations*deviation
}

func indicator(bad bool) float64 {
	if bad {
		return 1
	}
	return 0
}

// logRatio returns the log-likelihood ratio of the observation: unhealthy against baseline.
func logRatio(bad bool, baselineRate, unhealthyRate float64) float64 {
	expectedRate := baselineRate + (1-baselineRate)*unhealthyRate
	if bad {
		return math.Log(expectedRate / baselineRate)
	}
	return math.Log((1 - expectedRate) / (1 - baselineRate))
}
