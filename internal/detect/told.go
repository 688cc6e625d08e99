package detect

import "slices"

// minTold is the minimum number of other servers with a reported rate: the median of three is not
// decided by a single unhealthy one.
const minTold = 3

// Told holds the failure rates of a service's backend servers as their sidecars report them: the
// fraction of recent requests, from all senders, that failed. It serves observers that send each of
// many backend servers too few requests to compare them.
type Told struct {
	byName map[string]float64
	sorted []float64
}

// NewTold returns the reported rates for a map keyed by the name of the backend server.
func NewTold(shares map[string]float64) Told {
	t := Told{byName: shares, sorted: make([]float64, 0, len(shares))}
	for _, share := range shares {
		t.sorted = append(t.sorted, share)
	}
	slices.Sort(t.sorted)
	return t
}

// Complete returns the baseline of the named backend server. If the observer does not know it, the
// failure rate is the median of those reported for the others; the other fields stay unknown.
func (t Told) Complete(name string, b Baseline) Baseline {
	own, among := t.byName[name]
	others := len(t.sorted)
	if among {
		others--
	}
	if b.known() || others < minTold {
		return b
	}
	b.Failure = middleWithout(t.sorted, own, among)
	return b
}
