package main

import (
	"fmt"
	"math"

	"github.com/tideliftd/tidelift/test/bench"
)

// bytesPrice is how the bench calls the price of bytes between data centres.
const bytesPrice = "GB between zones"

// pairOf is two plays of the same day with the same seed.
type pairOf struct {
	before, after bench.Outcome
}

// pair puts the plays together that follow each other; one that failed leaves its pair
// out.
func pair(outcomes []bench.Outcome) []pairOf {
	var pairs []pairOf
	for i := 0; i+1 < len(outcomes); i += 2 {
		p := pairOf{before: outcomes[i], after: outcomes[i+1]}
		if p.before.Err == nil && p.after.Err == nil {
			pairs = append(pairs, p)
		}
	}
	return pairs
}

// ofDay returns the pairs of one day.
func ofDay(pairs []pairOf, day string) []pairOf {
	var found []pairOf
	for _, p := range pairs {
		if p.before.Play.Day == day {
			found = append(found, p)
		}
	}
	return found
}

// figure is one number of a report.
type figure func(bench.Report) float64

func worth(r bench.Report) float64  { return r.Worth }
func served(r bench.Report) float64 { return r.Served }

// bytes returns the price of bytes between data centres.
func bytes(r bench.Report) float64 {
	for _, p := range r.Prices {
		if p.Of == bytesPrice {
			return p.Worth
		}
	}
	return 0
}

// line is the line of some pairs in the table.
func line(name string, pairs []pairOf) string {
	return fmt.Sprintf("%-14s %3d pairs  worth %s  served %s  bytes %s", name, len(pairs),
		difference(pairs, worth), difference(pairs, served), difference(pairs, bytes))
}

// difference tells the means of both, the mean difference and its standard error.
func difference(pairs []pairOf, of figure) string {
	differences := make([]float64, 0, len(pairs))
	before, after := 0.0, 0.0
	for _, p := range pairs {
		b, a := of(p.before.Report), of(p.after.Report)
		before += b / float64(len(pairs))
		after += a / float64(len(pairs))
		differences = append(differences, a-b)
	}
	mean, standardError := meanOf(differences)
	return fmt.Sprintf("%.3f to %.3f (%+.3f ±%.3f)", before, after, mean, standardError)
}

// meanOf returns the mean and its standard error, which is not a number for fewer than
// two values.
func meanOf(values []float64) (mean, standardError float64) {
	n := float64(len(values))
	for _, v := range values {
		mean += v / n
	}
	squares := 0.0
	for _, v := range values {
		squares += (v - mean) * (v - mean)
	}
	return mean, math.Sqrt(squares / (n - 1) / n)
}
