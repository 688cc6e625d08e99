package ingress

import (
	"log/slog"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/tideliftd/tidelift/internal/fleet"
)

// TestMayPipeline guards against running a request beside others, and more than once, that its route does not allow to, and
// against a change for requests that are not long.
func TestMayPipeline(t *testing.T) {
	tests := []struct {
		name, method, url string
		target            time.Duration
		want              bool
	}{
		{"long", "GET", "http://a.example/long/x?y=z", time.Second, true},
		{"declared idempotent, but not safe", "PUT", "http://a.example/long/x", time.Second, false},
		{"safe", "HEAD", "http://a.example/long/x", time.Second, true},
		{"as long as the target", "GET", "http://a.example/short/x", 300 * time.Millisecond, true},
		{"short", "GET", "http://a.example/short/x", time.Second, false},
		{"not idempotent", "POST", "http://a.example/long/x", time.Second, false},
		{"no route", "GET", "http://a.example/other", time.Second, false},
		{"in a route that ends with a slash", "GET", "http://a.example/loans/hold/7", time.Second, true},
		{"without that slash", "GET", "http://a.example/loans/hold", time.Second, false},
		{"with that slash encoded", "GET", "http://a.example/loans/hold%2F7", time.Second, false},
		{"none is long", "GET", "http://a.example/long/x", 0, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			in, cleanUp := New(Config{Logger: slog.New(slog.DiscardHandler), Scope: tally.NoopScope, LongLatencyTarget: test.target})
			t.Cleanup(cleanUp)
			r := httptest.NewRequest(test.method, test.url, nil)
			if in.MayPipeline(r) {
				t.Fatal("true without a declaration")
			}
			in.Reconfigure(fleet.NewIndex(fleet.Declaration{
				Services: []fleet.Service{{Name: "lookup", FloorShare: 0.7}},
				Routes: []fleet.Route{
					{Path: "/long", Service: "lookup", Target: time.Second, Idempotent: []string{"GET", "HEAD", "PUT"}},
					{Path: "/short", Service: "lookup", Target: 300 * time.Millisecond},
					{Path: "/loans/", Service: "lookup", Target: time.Second, Idempotent: []string{}},
					{Path: "/loans/hold/", Service: "lookup", Target: time.Second, Idempotent: []string{"GET"}},
				},
			}.Complete()))
			if got := in.MayPipeline(r); got != test.want {
				t.Fatalf("got %t, want %t", got, test.want)
			}
		})
	}
}
