package detect

import "slices"

// minReported is the minimum number of other servers with a reported rate: the median of three is not
// decided by a single unhealthy one.
const minReported = 3

// ReportedFailureRates holds the failure rates of a service's backend servers as their sidecars report them: the
// fraction of recent requests, from all senders, that failed. It serves observers that send each of
// many backend servers too few requests to compare them.
type ReportedFailureRates struct {
	byName map[string]float64
	sorted []float64
}

// NewReportedFailureRates returns the reported rates for a map keyed by the name of the backend server.
func NewReportedFailureRates(rates map[string]float64) ReportedFailureRates {
	r := ReportedFailureRates{byName: rates, sorted: make([]float64, 0, len(rates))}
	for _, rate := range rates {
		r.sorted = append(r.sorted, rate)
	}
	slices.Sort(r.sorted)
	return r
}

// Complete returns the baseline of the named backend server. If the observer does not know it, the
// failure rate is the median of those reported for the others; the other fields stay unknown.
func (r ReportedFailureRates) Complete(name string, b Baseline) Baseline {
	own, reported := r.byName[name]
	others := len(r.sorted)
	if reported {
		others--
	}
	if b.known() || others < minReported {
		return b
	}
	b.Failure = medianWithout(r.sorted, own, reported)
	return b
}
