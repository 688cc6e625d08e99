package bench

import (
	"fmt"
	"math"
)

// bytesPrice is the bench's name of the price of bytes between data centres.
const bytesPrice = "GB between zones"

// Pair is two plays of the same day with the same seed, with two builds or two settings.
type Pair struct {
	Before, After Outcome
}

// Pairs pairs adjacent plays and omits pairs with a failed play.
func Pairs(outcomes []Outcome) []Pair {
	var pairs []Pair
	for i := 0; i+1 < len(outcomes); i += 2 {
		p := Pair{Before: outcomes[i], After: outcomes[i+1]}
		if p.Before.Err == nil && p.After.Err == nil {
			pairs = append(pairs, p)
		}
	}
	return pairs
}

// FilterByDay returns the pairs of one day.
func FilterByDay(pairs []Pair, day string) []Pair {
	var found []Pair
	for _, p := range pairs {
		if p.Before.Play.Day == day {
			found = append(found, p)
		}
	}
	return found
}

// figure returns one number of a report.
type figure func(Report) float64

func worth(r Report) float64  { return r.Worth }
func served(r Report) float64 { return r.Served }

// bytes returns the price of bytes between data centres.
func bytes(r Report) float64 {
	for _, p := range r.Prices {
		if p.Name == bytesPrice {
			return p.Worth
		}
	}
	return 0
}

// FormatLine formats a line of the table for some pairs: the mean difference of the second play from
// the first and its standard error, for the worth, the share of requests served and the price
// of bytes between data centres.
func FormatLine(name string, pairs []Pair) string {
	return fmt.Sprintf("%-14s %3d pairs  worth %s  served %s  bytes %s", name, len(pairs),
		formatDifference(pairs, worth), formatDifference(pairs, served), formatDifference(pairs, bytes))
}

// formatDifference formats the means of both plays, the mean change and its standard error.
func formatDifference(pairs []Pair, value figure) string {
	differences := make([]float64, 0, len(pairs))
	before, after := 0.0, 0.0
	for _, p := range pairs {
		b, a := value(p.Before.Report), value(p.After.Report)
		before += b / float64(len(pairs))
		after += a / float64(len(pairs))
		differences = append(differences, a-b)
	}
	mean, standardError := meanOf(differences)
	return fmt.Sprintf("%.3f to %.3f (%+.3f ±%.3f)", before, after, mean, standardError)
}

// meanOf returns the mean of the values and its standard error, which is NaN for fewer than
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
