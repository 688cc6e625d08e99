package detect

import (
	"math"
	"time"
)

// evidence is the cumulative sum for one kind of badness.
type evidence struct {
	sum      float64   // up to the interval before the present one
	net      float64   // what the present interval adds, not below -sum
	interval time.Time // when the present interval began
	since    time.Time // when the sum last left zero
	count    float64   // observations since then
	bad      float64   // the bad ones among them
	expected float64   // how many would be bad if the subject were like the others
	seen     float64   // all observations
	rate     float64   // share of bad observations in the recent past
	longRate float64   // the same, further back
}

// rateWeight and longRateWeight are the weight of the newest observation in the recent and in
// the longer rate, as one part in so many. Measured together with Rules, not alone.
const (
	rateWeight     = 10
	longRateWeight = 100
)

// add takes one observation. The rate normal is the others'.
func (e *evidence) add(now time.Time, bad bool, normal, sickShare float64, rules Rules) {
	e.seen++
	e.rate += (indicator(bad) - e.rate) / math.Min(e.seen, rateWeight)
	e.longRate += (indicator(bad) - e.longRate) / math.Min(e.seen, longRateWeight)
	if now.Sub(e.interval) >= rules.Interval {
		e.sum = e.total(rules)
		e.net = 0
		e.interval = now
	}
	if e.total(rules) == 0 {
		e.since = now
		e.count, e.bad, e.expected = 0, 0, 0
	}
	e.count++
	e.bad += indicator(bad)
	e.expected += normal
	e.net = math.Max(e.net+logRatio(bad, normal, sickShare), -e.sum)
}

// total is the cumulative sum with the present interval's part.
func (e *evidence) total(rules Rules) float64 {
	return math.Max(0, e.sum+math.Min(e.net, rules.IntervalCap))
}

// normal is what the rate says to others about what is normal: the higher of
// the recent past, in which a cause that all share shows first, and of further
// back, which is steadier.
func (e *evidence) normal() float64 { return math.Max(e.rate, e.longRate) }

// convinces reports whether the evidence is enough to call the subject sick. The
// others' sum is taken off: what they all show is no fault of the subject.
func (e *evidence) convinces(now time.Time, normal, othersSum float64, rules Rules) bool {
	return e.total(rules)-othersSum >= rules.Threshold &&
		e.bad >= rules.MinBad &&
		now.Sub(e.since) >= rules.MinSpan &&
		e.rate >= normal+rules.Margin &&
		e.deviates(rules)
}

// deviates reports whether there are more bad observations than chance would put
// there, by the deviations that the rules ask for.
func (e *evidence) deviates(rules Rules) bool {
	return e.deviatesFrom(e.expected/e.count, rules)
}

func (e *evidence) deviatesFrom(normal float64, rules Rules) bool {
	deviation := math.Sqrt(e.count * normal * (1 - normal))
	return e.bad-e.count*normal >= rules.Deviations*deviation
}

func indicator(bad bool) float64 {
	if bad {
		return 1
	}
	return 0
}

// logRatio is the logarithm of how much likelier the observation is if the
// subject is sick than if it is like the others.
func logRatio(bad bool, normal, sickShare float64) float64 {
	sick := normal + (1-normal)*sickShare
	if bad {
		return math.Log(sick / normal)
	}
	return math.Log((1 - sick) / (1 - normal))
}
