package ingress

import (
	"log/slog"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/tideliftd/tidelift/internal/customer"
	"github.com/tideliftd/tidelift/internal/fleet"
	"github.com/tideliftd/tidelift/internal/quota"
	"github.com/tideliftd/tidelift/internal/result"
)

// customersIngress knows a customer with rank 0, one without a rank, and a public route.
func customersIngress(t *testing.T, config Config) *Ingress {
	t.Helper()
	config.Logger, config.Scope, config.HeaderBytes = slog.New(slog.DiscardHandler), tally.NoopScope, 1<<14
	in, cleanUp := New(config)
	t.Cleanup(cleanUp)
	first := 0
	in.Reconfigure(fleet.NewIndex(fleet.Declaration{
		Services: []fleet.Service{{Name: "lookup", FloorShare: 0.7}},
		Routes: []fleet.Route{
			{Path: "/closed/", Service: "lookup", Priority: 2, Attempts: 2},
			{Path: "/open/", Service: "lookup", Priority: 2, Attempts: 2, Public: true},
		},
		Customers: []fleet.Customer{
			{Name: "county", Keys: []string{customer.Digest("county-key")}, Priority: &first},
			{Name: "school", Keys: []string{customer.Digest("school-key")}},
		},
	}.Complete()))
	return in
}

// ask returns a request to the path with the key, if there is one, and a forged customer.
func ask(path, key string) *http.Request {
	r := httptest.NewRequest(http.MethodGet, path, nil)
	r.Header.Set(fleet.DefaultCustomerHeader, "forged")
	if key != "" {
		r.Header.Set("Authorization", "Bearer "+key)
	}
	return r
}

func TestAdmitFindsTheCustomer(t *testing.T) {
	in := customersIngress(t, Config{Host: "csepel-1"})
	tests := []struct {
		name, path, key string
		code            result.Code
		customer        string
		queueCustomer   string
		priority        int
		mayBeSubrequest bool
	}{
		{name: "a customer with a rank", path: "/closed/x", key: "county-key", customer: "county", queueCustomer: "county"},
		{name: "a customer without a rank", path: "/closed/x", key: "school-key", customer: "school", queueCustomer: "school", priority: 2},
		{name: "no key", path: "/closed/x", code: result.KeyMissing},
		{name: "an unknown key", path: "/closed/x", key: "other", code: result.KeyUnknown},
		{name: "public without a key", path: "/open/x", queueCustomer: "host csepel-1", priority: 2, mayBeSubrequest: true},
		{name: "public with a key", path: "/open/x", key: "school-key", customer: "school", queueCustomer: "school", priority: 2},
		{name: "public with an unknown key", path: "/open/x", key: "other", code: result.KeyUnknown},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			r := ask(test.path, test.key)
			admitted, err := in.admit(httptest.NewRecorder(), r, time.Now())
			if test.code.Number != 0 {
				if err == nil || result.From(err).Code != test.code {
					t.Fatalf("got %v, want %s", err, test.code.Name)
				}
				return
			}
			if err != nil {
				t.Fatal(err)
			}
			if admitted.customer != test.customer || admitted.queueCustomer != test.queueCustomer || admitted.priority != test.priority || admitted.mayBeSubrequest != test.mayBeSubrequest {
				t.Errorf("customer %q, queues as %q, priority %d, may be a call: %v", admitted.customer, admitted.queueCustomer, admitted.priority, admitted.mayBeSubrequest)
			}
			if got := admitted.Header.Get(fleet.DefaultCustomerHeader); got != test.customer {
				t.Errorf("the backend server is told %q", got)
			}
			if got := admitted.Header.Get("Authorization"); got != "" {
				t.Errorf("the key is passed on: %q", got)
			}
		})
	}
}

// TestACustomersRequestIsNoCall fails a customer's requests together with the host's backend
// server, until a route without customers would be taken for called.
func TestACustomersRequestIsNoCall(t *testing.T) {
	in := customersIngress(t, Config{Host: "csepel-1"})
	fail := func(path, key string) *request {
		for range 8 {
			r, err := in.admit(httptest.NewRecorder(), ask(path, key), time.Now())
			if err != nil {
				t.Fatal(err)
			}
			in.reportFailed(r, result.New(result.NoneAble))
			in.ServerAnswered(false)
			time.Sleep(120 * time.Millisecond) // until the next failure counts on its own
		}
		r, err := in.admit(httptest.NewRecorder(), ask(path, key), time.Now())
		if err != nil {
			t.Fatal(err)
		}
		return r
	}
	if fail("/closed/x", "school-key").terms.Subrequest {
		t.Error("a request with a key is taken for a call")
	}
	if !fail("/open/x", "").terms.Subrequest {
		t.Error("the test shows nothing: a request without a key is not taken for a call either")
	}
}

// TestBeyondTheLimitNothingIsAsked refuses one request and gives another back.
func TestBeyondTheLimitNothingIsAsked(t *testing.T) {
	within, givenBack := true, 0
	in := customersIngress(t, Config{
		Host: "csepel-1",
		AdmitCustomer: func(string) quota.Decision {
			return quota.Decision{Admitted: within, RetryAfter: 1700 * time.Millisecond}
		},
		RefundCustomer: func(string) { givenBack++ },
	})
	w := httptest.NewRecorder()
	in.ServeHTTP(w, ask("/closed/x", "school-key")) // nobody serves it
	if w.Code != http.StatusServiceUnavailable || givenBack != 1 {
		t.Fatalf("status %d, %d given back", w.Code, givenBack)
	}
	within = false
	w = httptest.NewRecorder()
	in.ServeHTTP(w, ask("/closed/x", "school-key"))
	if w.Code != http.StatusTooManyRequests || w.Header().Get("Retry-After") != "2" || givenBack != 1 {
		t.Fatalf("status %d, Retry-After %q, %d given back", w.Code, w.Header().Get("Retry-After"), givenBack)
	}
	w = httptest.NewRecorder()
	in.ServeHTTP(w, ask("/open/x", ""))
	if w.Code == http.StatusTooManyRequests {
		t.Fatal("a request without a customer was held to a limit")
	}
}
