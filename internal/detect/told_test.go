package detect_test

import (
	"testing"
	"time"

	"github.com/tideliftd/tidelift/internal/detect"
)

// TestReportedFailuresCompleteBaseline guards against a shared failure rate that is attributed to each
// backend server because the observer has too few observations of its own.
func TestReportedFailuresCompleteBaseline(t *testing.T) {
	shared := map[string]float64{"a": 0.9, "b": 0.3, "c": 0.25, "d": 0.2, "e": 0}
	known := detect.Baseline{Failure: 0.01, TypicalLatency: time.Second}
	tests := []struct {
		name     string
		reported map[string]float64
		own      detect.Baseline
		want     detect.Baseline
	}{
		{"no reports", nil, detect.Baseline{}, detect.Baseline{}},
		{"too few reports", map[string]float64{"a": 0.5, "b": 0.5, "c": 0.5}, detect.Baseline{}, detect.Baseline{}},
		{"median of the other reports", shared, detect.Baseline{}, detect.Baseline{Failure: 0.25}},
		{"own observations suffice", shared, known, known},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			got := detect.NewReportedFailureRates(test.reported).Complete("a", test.own)
			if got != test.want {
				t.Fatalf("got %+v, want %+v", got, test.want)
			}
			parsed, err := detect.ParseBaseline(got.Encode())
			if err != nil || parsed != got {
				t.Fatalf("encoded and parsed: %+v, %v", parsed, err)
			}
		})
	}
}
