package ingress

import (
	"context"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/uber-go/tally/v4"

	"github.com/tideliftd/tidelift/internal/experiment"
	"github.com/tideliftd/tidelift/internal/fleet"
	"github.com/tideliftd/tidelift/internal/hop"
	"github.com/tideliftd/tidelift/internal/result"
	"github.com/tideliftd/tidelift/internal/sidecar"
)

// BenchmarkServe measures the ingress's own work on a request to a local backend server that
// answers immediately: idempotent, non-idempotent, and refused by the first backend server.
func BenchmarkServe(b *testing.B) {
	for _, name := range []string{"idempotent", "once", "busy"} {
		method := http.MethodGet
		if name == "once" {
			method = http.MethodPost
		}
		b.Run(name, func(b *testing.B) {
			queried := 0
			in, cleanUp := New(Config{
				Host: "h1", DataCentre: "dc", Logger: slog.New(slog.DiscardHandler), Scope: tally.NoopScope, HeaderBytes: 1 << 16,
				Off: experiment.Off{experiment.Hedges}, // most answers take microseconds, so one of a millisecond would be hedged
				Local: func(_ context.Context, call hop.Call, r *http.Request) (sidecar.Answer, error) {
					queried++
					if name == "busy" && queried%2 == 1 {
						return sidecar.Answer{}, result.New(result.Busy)
					}
					return answered(call, r), nil
				},
			})
			defer cleanUp()
			declaration, err := fleet.Parse("fleet.yaml", []byte(twoServers))
			if err != nil {
				b.Fatal(err)
			}
			in.Reconfigure(fleet.NewIndex(declaration))
			for b.Loop() {
				w := httptest.NewRecorder()
				in.ServeHTTP(w, httptest.NewRequest(method, "http://a.example/x", nil))
				if w.Code != http.StatusOK {
					b.Fatal(w.Code)
				}
			}
		})
	}
}
