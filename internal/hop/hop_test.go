package hop_test

import (
	"net/http"
	"testing"
	"time"

	"github.com/tideliftd/tidelift/internal/hop"
)

func TestCallTravels(t *testing.T) {
	want := hop.Call{
		BackendServer: "csepel/lookup-1", TimeLeft: 1500 * time.Millisecond, Customer: "county-7", Once: true,
		WantTicket: true, Ticket: "t", Reference: "1,2,3,4,5", Origin: "records", Priority: 2, Insist: true, NoWait: true,
		Proven: true, Host: "csepel-1", Aim: 500 * time.Millisecond, Target: 800 * time.Millisecond, Patience: 700 * time.Millisecond,
	}
	h := http.Header{}
	want.Encode(h)
	got, err := hop.Decode(h)
	if err != nil || got != want {
		t.Fatalf("%+v, %v", got, err)
	}
}

func TestCopyEndToEnd(t *testing.T) {
	in := http.Header{
		"Connection": {"close, X-Private"}, "X-Private": {"1"}, "Keep-Alive": {"1"}, "Te": {"trailers"},
		"Tidelift-Ticket": {"forged"}, "Accept": {"text/html", "text/plain"},
	}
	out := http.Header{}
	hop.CopyEndToEnd(out, in)
	if len(out) != 1 || len(out["Accept"]) != 2 {
		t.Fatalf("%v", out)
	}
}

// FuzzDecode reads what a peer may send: no header may panic, and none may be
// accepted without a backend server.
func FuzzDecode(f *testing.F) {
	f.Add("csepel/lookup-1", "1500000", "county-7")
	f.Add("", "", "")
	f.Add("x", "-9223372036854775808", "\x00")
	f.Fuzz(func(t *testing.T, backendServer, left, customer string) {
		call, err := hop.Decode(http.Header{
			hop.HeaderBackendServer: {backendServer}, hop.HeaderTimeLeft: {left}, hop.HeaderCustomer: {customer},
		})
		if err == nil && call.BackendServer == "" {
			t.Fatalf("accepted %+v", call)
		}
	})
}
