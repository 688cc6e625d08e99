package hop_test

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/tideliftd/tidelift/internal/hop"
)

func TestCallRoundTrip(t *testing.T) {
	want := hop.Call{
		BackendServer: "csepel/lookup-1", TimeLeft: 1500 * time.Millisecond, Customer: "county-7", NonIdempotent: true,
		WantReservation: true, Reservation: "t", Baseline: "1,2,3,4,5", Origin: "records", Priority: 2, DespiteSuspicion: true, RefuseIfBusy: true,
		RefuseIfHanging: true, Host: "csepel-1", LatencyTargetLeft: 500 * time.Millisecond, LatencyTarget: 800 * time.Millisecond, TypicalLatency: 700 * time.Millisecond,
		SlowAfter: 300 * time.Millisecond, Route: "lookup.example/search",
	}
	h := http.Header{}
	if err := want.Encode(h); err != nil {
		t.Fatal(err)
	}
	got, err := hop.Decode(h)
	if err != nil || got != want {
		t.Fatalf("got %+v, %v", got, err)
	}
}

func TestCopyEndToEnd(t *testing.T) {
	in := http.Header{
		"Connection": {"close, X-Private"}, "X-Private": {"1"}, "Keep-Alive": {"1"}, "Te": {"trailers"},
		"Tidelift-Reservation": {"forged"}, "Accept": {"text/html", "text/plain"},
	}
	out := http.Header{}
	hop.CopyEndToEnd(out, in)
	if len(out) != 1 || len(out["Accept"]) != 2 {
		t.Fatalf("copied headers %v, want only Accept", out)
	}
}

// TestRouteRoundTrip guards against a route name that is lost or altered on its way, or that net/http
// refuses to send, so that requests of the route fail.
func TestRouteRoundTrip(t *testing.T) {
	headers := make(chan http.Header, 1)
	server := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) { headers <- r.Header }))
	defer server.Close()
	for _, route := range []string{"", "/", "*", "a.example/search", "a.example/sökning/ 100%25 ", "/tab\t\r\nX: y", "/a:b?c#d"} {
		r, err := http.NewRequest(http.MethodGet, server.URL, http.NoBody)
		if err != nil {
			t.Fatal(err)
		}
		hop.EncodeRoute(r.Header, route)
		response, err := server.Client().Do(r)
		if err != nil {
			t.Errorf("%q: %v", route, err)
			continue
		}
		_ = response.Body.Close()
		received := <-headers
		if _, sent := received[hop.HeaderRoute]; sent != (route != "") || hop.DecodeRoute(received) != route {
			t.Errorf("%q is received as %q", route, hop.DecodeRoute(received))
		}
	}
	if got := hop.DecodeRoute(http.Header{hop.HeaderRoute: {"/%zz"}}); got != "" {
		t.Errorf("a malformed name is read as %q", got)
	}
}

// TestCallWithoutARoute guards against a call of an older daemon that is refused, or that gets a route.
func TestCallWithoutARoute(t *testing.T) {
	h := http.Header{}
	if err := (hop.Call{BackendServer: "csepel/lookup-1", Retry: true}).Encode(h); err != nil {
		t.Fatal(err)
	}
	if _, sent := h[hop.HeaderRoute]; sent {
		t.Error("a route is sent though there is none")
	}
	call, err := hop.Decode(h)
	if err != nil || call.Route != "" || !call.Retry {
		t.Errorf("got %+v, %v", call, err)
	}
}

// FuzzDecode guards against a panic on any header that a peer may send, and against a call without
// a backend server.
func FuzzDecode(f *testing.F) {
	h := http.Header{}
	if err := (hop.Call{BackendServer: "csepel/lookup-1", TimeLeft: time.Second, Customer: "county-7"}).Encode(h); err != nil {
		f.Fatal(err)
	}
	f.Add(h.Get(hop.HeaderCall))
	f.Add("")
	f.Add("jGF4O__________")
	f.Add("\x00")
	f.Fuzz(func(t *testing.T, text string) {
		call, err := hop.Decode(http.Header{hop.HeaderCall: {text}})
		if err == nil && call.BackendServer == "" {
			t.Fatalf("accepted %+v", call)
		}
	})
}

// TestACallIsShort guards against growth of the encoded call, which travels between data centres
// with each request and each reservation.
func TestACallIsShort(t *testing.T) {
	h := http.Header{}
	call := hop.Call{
		BackendServer: "lookup-123", TimeLeft: 1500 * time.Millisecond, LatencyTargetLeft: 500 * time.Millisecond, LatencyTarget: 800 * time.Millisecond,
		TypicalLatency: 700 * time.Millisecond, NonIdempotent: true, WantReservation: true, RefuseIfBusy: true, RefuseIfHanging: true, Origin: "records",
		Host: "host-twenty-letters1",
	}
	if err := call.Encode(h); err != nil {
		t.Fatal(err)
	}
	const most = 110
	if size := len(h.Get(hop.HeaderCall)); size > most {
		t.Fatalf("encoded call has %d bytes, want at most %d", size, most)
	}
}

func TestServedRoundTrip(t *testing.T) {
	h := http.Header{}
	hop.EncodeServed(h, 1.25, 1500*time.Microsecond)
	load, waited := hop.DecodeServed(h)
	if load != 1.25 || waited != 1500*time.Microsecond {
		t.Fatalf("got %v, %v", load, waited)
	}
}

// TestFailingIsAShare guards against a share that is lost or altered, and against other texts taken
// for a share.
func TestFailingIsAShare(t *testing.T) {
	for share, want := range map[float64]float64{0: 0, 0.004: 0, 0.256: 0.26, 1: 1} {
		h := make(http.Header)
		hop.EncodeFailing(h, share)
		if got := hop.DecodeFailing(h); got != want {
			t.Errorf("%v is read as %v, want %v", share, got, want)
		}
	}
	for _, text := range []string{"x", "NaN", "-1", "1.5", "Inf"} {
		if got := hop.DecodeFailing(http.Header{hop.HeaderFailing: {text}}); got != 0 {
			t.Errorf("%q is read as %v", text, got)
		}
	}
}
