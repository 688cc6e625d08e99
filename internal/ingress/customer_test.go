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

// customersIngress returns an ingress with a customer with priority 0, a customer without a
// priority, and a public route.
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

// newCustomerRequest returns a request to the path with the key, if not empty, and a forged
// customer header.
func newCustomerRequest(path, key string) *http.Request {
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
		{name: "without the last slash of the public path", path: "/open", code: result.NoRoute},
		{name: "with that slash encoded", path: "/open%2Fx", code: result.NoRoute},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			r := newCustomerRequest(test.path, test.key)
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
				t.Errorf("customer %q, queues as %q, priority %d, may be a subrequest: %v", admitted.customer, admitted.queueCustomer, admitted.priority, admitted.mayBeSubrequest)
			}
			if got := admitted.Header.Get(fleet.DefaultCustomerHeader); got != test.customer {
				t.Errorf("the backend server receives customer %q", got)
			}
			if got := admitted.Header.Get("Authorization"); got != "" {
				t.Errorf("the key is forwarded: %q", got)
			}
		})
	}
}

// TestNoCustomerLeft guards against callers that need no key, and may name any customer, once the last customer was removed.
func TestNoCustomerLeft(t *testing.T) {
	in := customersIngress(t, Config{Host: "csepel-1"})
	d := in.state.Load().index.Declaration
	d.Customers = []fleet.Customer{}
	in.Reconfigure(fleet.NewIndex(d))
	for key, want := range map[string]result.Code{"": result.KeyMissing, "county-key": result.KeyUnknown} {
		if _, err := in.admit(httptest.NewRecorder(), newCustomerRequest("/closed/x", key), time.Now()); err == nil || result.From(err).Code != want {
			t.Errorf("key %q: got %v, want %s", key, err, want.Name)
		}
	}
	admitted, err := in.admit(httptest.NewRecorder(), newCustomerRequest("/open/x", ""), time.Now())
	if err != nil {
		t.Fatal(err)
	}
	if got := admitted.Header.Get(fleet.DefaultCustomerHeader); got != "" || admitted.queueCustomer != "host csepel-1" {
		t.Errorf("public: the backend server receives customer %q, queued as %q; want none of the caller's", got, admitted.queueCustomer)
	}
	d.Customers = nil
	in.Reconfigure(fleet.NewIndex(d))
	if admitted, err = in.admit(httptest.NewRecorder(), newCustomerRequest("/closed/x", ""), time.Now()); err != nil || admitted.customer != "forged" {
		t.Errorf("without a list of customers: got %v; want the caller's customer", err)
	}
}

// TestCustomerRequestIsNotSubrequest guards against classifying a customer's request as a
// subrequest because its failures coincide with those of the host's backend server.
func TestCustomerRequestIsNotSubrequest(t *testing.T) {
	in := customersIngress(t, Config{Host: "csepel-1"})
	fail := func(path, key string) *request {
		for range 8 {
			r, err := in.admit(httptest.NewRecorder(), newCustomerRequest(path, key), time.Now())
			if err != nil {
				t.Fatal(err)
			}
			in.reportFailed(r, result.New(result.NoneAble))
			in.ServerAnswered(false)
			time.Sleep(120 * time.Millisecond) // so that the next failure counts separately
		}
		r, err := in.admit(httptest.NewRecorder(), newCustomerRequest(path, key), time.Now())
		if err != nil {
			t.Fatal(err)
		}
		return r
	}
	if fail("/closed/x", "school-key").attemptRequest.Subrequest {
		t.Error("a request with a key is classified as a subrequest")
	}
	if !fail("/open/x", "").attemptRequest.Subrequest {
		t.Error("invalid test: a request without a key is not classified as a subrequest either")
	}
}

// TestCustomerLimitAndRefund guards against counting requests that reached no backend server,
// and against applying a limit to requests without a customer.
func TestCustomerLimitAndRefund(t *testing.T) {
	within, refunded := true, 0
	in := customersIngress(t, Config{
		Host: "csepel-1",
		AdmitCustomer: func(string) quota.Decision {
			return quota.Decision{Admitted: within, RetryAfter: 1700 * time.Millisecond}
		},
		RefundCustomer: func(string) { refunded++ },
	})
	w := httptest.NewRecorder()
	in.ServeHTTP(w, newCustomerRequest("/closed/x", "school-key")) // the service has no backend servers
	if w.Code != http.StatusServiceUnavailable || refunded != 1 {
		t.Fatalf("status %d, %d refunded", w.Code, refunded)
	}
	within = false
	w = httptest.NewRecorder()
	in.ServeHTTP(w, newCustomerRequest("/closed/x", "school-key"))
	if w.Code != http.StatusTooManyRequests || w.Header().Get("Retry-After") != "2" || refunded != 1 {
		t.Fatalf("status %d, Retry-After %q, %d refunded", w.Code, w.Header().Get("Retry-After"), refunded)
	}
	w = httptest.NewRecorder()
	in.ServeHTTP(w, newCustomerRequest("/open/x", ""))
	if w.Code == http.StatusTooManyRequests {
		t.Fatal("a request without a customer was limited")
	}
}
