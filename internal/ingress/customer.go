package ingress

import (
	"net/http"

	"github.com/tideliftd/tidelift/internal/customer"
	"github.com/tideliftd/tidelift/internal/fleet"
	"github.com/tideliftd/tidelift/internal/result"
	"github.com/tideliftd/tidelift/internal/route"
)

// identity is the customer and the priority of a request.
type identity struct {
	// name is the customer's name; empty if there is none.
	name string
	// priority is the customer's priority, or else the route's.
	priority int
}

// identify finds the customer of a request by its key and removes the key from the headers, so that
// no backend server sees it. If customers are declared, the key alone determines the customer and
// the caller's customer header is dropped; otherwise the customer header is trusted.
//
// An unknown key is refused on public routes as well, so that its owner notices that it is no
// longer valid.
func (s *state) identify(r *http.Request, match *route.Match) (identity, *result.Error) {
	header := s.index.Declaration.Callers.CustomerHeader
	caller := identity{priority: match.Priority}
	if s.customers == nil {
		caller.name = r.Header.Get(header)
		return caller, nil
	}
	r.Header.Del(header)
	key, given := customer.KeyOf(r.Header)
	if !given {
		if match.Public {
			return caller, nil
		}
		return caller, result.New(result.KeyMissing)
	}
	r.Header.Del(customer.Header)
	found, ok := s.customers.Find(key)
	if !ok {
		return caller, result.New(result.KeyUnknown)
	}
	caller.name = found.Name
	if found.Priority != nil {
		caller.priority = *found.Priority
	}
	r.Header.Set(header, found.Name)
	return caller, nil
}

// mayBeSubrequest reports whether a backend server may have sent the request. Backend servers hold
// no customer keys, so a request with a key is never a subrequest, even if its failures coincide
// with those of a backend server. Without this rule, high load makes most hosts classify all routes
// as subrequests.
func (s *state) mayBeSubrequest(caller identity) bool { return s.customers == nil || caller.name == "" }

// queueCustomer returns the customer under which a request is queued; queues serve customers in
// turn. If customers are declared, a request without one is queued under its host: a single
// customer for all of them would get one turn among hundreds, although most of them are
// subrequests, whose failure fails a customer's request.
func (in *Ingress) queueCustomer(s *state, caller identity) string {
	if caller.name != "" || s.customers == nil {
		return caller.name
	}
	return "host " + in.config.Host
}

// customerTable returns the table of the declared customers, or nil if callers need no key. It reuses the current table while the
// customers are unchanged, since hosts change far more often.
func (in *Ingress) customerTable(d fleet.Declaration) *customer.Table {
	if !d.KeysRequired() {
		return nil
	}
	if last := in.state.Load(); last != nil && fleet.SameCustomers(last.index.Declaration.Customers, d.Customers) {
		return last.customers
	}
	table, err := customer.NewTable(d.Customers)
	if err != nil {
		return &customer.Table{} // unreachable, as declarations are validated; rejects every key
	}
	return table
}

// checkCustomerLimit refuses a request beyond its customer's limit, before it uses a slot, a hedge
// or a retry.
func (in *Ingress) checkCustomerLimit(customer string) *result.Error {
	if in.config.AdmitCustomer == nil || customer == "" {
		return nil
	}
	decision := in.config.AdmitCustomer(customer)
	if decision.Admitted {
		return nil
	}
	return result.New(result.CustomerLimit).WithDetail("customer %q", customer).WithRetryAfter(decision.RetryAfter)
}

// refundCustomer refunds the customer's limit for a request that reached no backend server.
func (in *Ingress) refundCustomer(r *request) {
	if in.config.RefundCustomer != nil && r.customer != "" {
		in.config.RefundCustomer(r.customer)
	}
}
