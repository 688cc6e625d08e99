package ingress

import (
	"net/http"

	"github.com/tideliftd/tidelift/internal/customer"
	"github.com/tideliftd/tidelift/internal/fleet"
	"github.com/tideliftd/tidelift/internal/result"
	"github.com/tideliftd/tidelift/internal/route"
)

// identity is the customer of a request.
type identity struct {
	// name is the customer's; empty if there is none.
	name string
	// priority is the customer's, or else its route's.
	priority int
}

// identify finds the customer of a request by its key, and leaves nothing of the key to
// whoever runs it. Where customers are declared, only a key makes a customer, whatever the
// caller's headers say; where none are, the customer header is taken as it comes.
//
// A key that is not known is refused on public routes as well: its owner should hear that it
// is no longer good, and no backend server learns of it.
func (s *state) identify(r *http.Request, match *route.Match) (identity, *result.Error) {
	header := s.index.Declaration.Callers.CustomerHeader
	who := identity{priority: match.Priority}
	if s.customers == nil {
		who.name = r.Header.Get(header)
		return who, nil
	}
	r.Header.Del(header)
	key, given := customer.KeyOf(r.Header)
	if !given {
		if match.Public {
			return who, nil
		}
		return who, result.New(result.KeyMissing)
	}
	r.Header.Del(customer.Header)
	found, ok := s.customers.Find(key)
	if !ok {
		return who, result.New(result.KeyUnknown)
	}
	who.name = found.Name
	if found.Priority != nil {
		who.priority = *found.Priority
	}
	r.Header.Set(header, found.Name)
	return who, nil
}

// mayBeSubrequest reports whether a backend server may have sent the request. Backend servers hold no
// customer's key, so that a request with one is no subrequest, however often the two fail together.
// Source: without that, on a day of high load most hosts took all routes for called, and one such
// request asked dozens of backend servers for a slot.
func (s *state) mayBeSubrequest(who identity) bool { return s.customers == nil || who.name == "" }

// queueCustomer returns the customer as which a request waits in queues, each of which has its turns. Where customers are known,
// what comes without one waits as its host: together they would be one customer among
// hundreds, and most of them are subrequests, without which a customer's request fails.
func (in *Ingress) queueCustomer(s *state, who identity) string {
	if who.name != "" || s.customers == nil {
		return who.name
	}
	return "host " + in.config.Host
}

// customersOf returns the table of the declared customers, which is the one before while the
// declaration is the same: hosts come and go far more often than customers do.
func (in *Ingress) customersOf(d fleet.Declaration) *customer.Table {
	if len(d.Customers) == 0 {
		return nil
	}
	if last := in.state.Load(); last != nil && fleet.SameCustomers(last.index.Declaration.Customers, d.Customers) {
		return last.customers
	}
	table, err := customer.NewTable(d.Customers)
	if err != nil {
		return &customer.Table{} // not reached: a declaration in force is checked; it knows no key
	}
	return table
}

// withinLimit refuses a request beyond its customer's limit, before it takes a slot, a hedge
// or a retry.
func (in *Ingress) withinLimit(customer string) *result.Error {
	if in.config.AdmitCustomer == nil || customer == "" {
		return nil
	}
	decision := in.config.AdmitCustomer(customer)
	if decision.Admitted {
		return nil
	}
	return result.New(result.CustomerLimit).WithDetail("customer %q", customer).WithRetryAfter(decision.RetryAfter)
}

// giveBack gives the customer's limit back what a request took that reached no backend server.
func (in *Ingress) giveBack(r *request) {
	if in.config.RefundCustomer != nil && r.customer != "" {
		in.config.RefundCustomer(r.customer)
	}
}
