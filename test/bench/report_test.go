package bench_test

import (
	"testing"

	"github.com/tideliftd/tidelift/test/bench"
)

func TestParseReportInvalid(t *testing.T) {
	for _, text := range []string{`{`, `{"prices":[["only a name"]]}`, `{"prices":[[1,2,3]]}`} {
		if _, err := bench.ParseReport([]byte(text)); err == nil {
			t.Errorf("ParseReport(%q) returned no error", text)
		}
	}
}
