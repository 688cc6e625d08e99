package bench

import (
	"math"
	"testing"

	"github.com/go-faster/errors"
)

func TestMeanOf(t *testing.T) {
	mean, standardError := meanOf([]float64{1, 2, 3, 4})
	if mean != 2.5 || math.Abs(standardError-math.Sqrt(5.0/12)) > 1e-12 {
		t.Fatalf("mean %v, standard error %v", mean, standardError)
	}
	if _, one := meanOf([]float64{1}); !math.IsNaN(one) {
		t.Fatalf("standard error of one value is %v, want NaN", one)
	}
}

func TestPairsOmitFailedPlays(t *testing.T) {
	day := func(name string, err error) Outcome {
		return Outcome{Play: Play{Day: name}, Err: err}
	}
	pairs := Pairs([]Outcome{day("a", nil), day("a", nil), day("b", nil), day("b", errors.New("lost"))})
	if len(pairs) != 1 || len(FilterByDay(pairs, "a")) != 1 || len(FilterByDay(pairs, "b")) != 0 {
		t.Fatalf("got %d pairs, want only that of day a", len(pairs))
	}
}
