package detect

import "slices"

// minTold is of how many others something has to be told. Not measured: the middle of three is not decided by one
// that is sick.
const minTold = 3

// ReportedFailureRates is what the sidecars of a service's backend servers say of these: the share of the recent requests that
// failed, whoever sent them. An observer that sends each of many backend servers few requests sees too little to
// compare them by itself.
type ReportedFailureRates struct {
	byName map[string]float64
	sorted []float64
}

// NewReportedFailureRates returns what was told, by the name of the backend server.
func NewReportedFailureRates(shares map[string]float64) ReportedFailureRates {
	t := ReportedFailureRates{byName: shares, sorted: make([]float64, 0, len(shares))}
	for _, share := range shares {
		t.sorted = append(t.sorted, share)
	}
	slices.Sort(t.sorted)
	return t
}

// Complete returns the baseline of that backend server, with the share of failures that is told of the others in
// place of one that the observer does not know. The rest stays unknown.
func (t ReportedFailureRates) Complete(name string, b Baseline) Baseline {
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
