package detect_test

import (
	"testing"
	"time"

	"github.com/tideliftd/tidelift/internal/detect"
)

// TestToldFailuresCompleteABaseline guards against failures that all backend servers share and that are held
// against each, since the observer has seen too little of them itself.
func TestToldFailuresCompleteABaseline(t *testing.T) {
	shared := map[string]float64{"a": 0.9, "b": 0.3, "c": 0.25, "d": 0.2, "e": 0}
	known := detect.Baseline{Failure: 0.01, TypicalLatency: time.Second}
	tests := []struct {
		name string
		told map[string]float64
		own  detect.Baseline
		want detect.Baseline
	}{
		{"nothing is told", nil, detect.Baseline{}, detect.Baseline{}},
		{"too few are told of", map[string]float64{"a": 0.5, "b": 0.5, "c": 0.5}, detect.Baseline{}, detect.Baseline{}},
		{"the middle of the others is told", shared, detect.Baseline{}, detect.Baseline{Failure: 0.25}},
		{"the observer knows by itself", shared, known, known},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			got := detect.NewReportedFailureRates(test.told).Complete("a", test.own)
			if got != test.want {
				t.Fatalf("got %+v, want %+v", got, test.want)
			}
			read, err := detect.ParseBaseline(got.Encode())
			if err != nil || read != got {
				t.Fatalf("written and read it is %+v, %v", read, err)
			}
		})
	}
}
