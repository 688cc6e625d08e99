// Package quota decides whether a customer's request is within the customer's limit, which
// holds for the whole fleet.
//
// Nobody is asked on a request's way. Each daemon counts what its callers ask and what it
// admits (Gate), and reports that a few times a second to a collector of its data centre
// (Collector), which adds up the reports and forwards the sum to one daemon of the fleet
// (Ledger). The ledger keeps a bucket of tokens for each customer. While there is room in
// the bucket, gates admit everything. When there is not, the ledger tells which share of the
// customer's requests to admit, and each gate admits that share of its own. So a customer
// that is far below its limit costs a line in a report, and no request waits for an answer.
//
// # Usage
//
//	gate := quota.NewGate()
//	gate.Reconfigure(limits, hosts)
//	if decision := gate.Admit("county-7"); !decision.Admitted { ... }
//	...
//	if gate.Due(now) {
//		counts := gate.Drain(now)
//		verdict := collector.Add(now, quota.Report{From: "csepel-1", Hosts: 1, Counts: counts})
//		gate.SetVerdict(verdict)
//	}
//
// # Rules
//
//   - What was admitted before its count arrived is taken from the bucket all the same, whose
//     level may be below zero: it is paid back by admitting less. So a count that is late by
//     less than a second moves requests within a window and adds none to it.
//
//   - A part of the fleet that is cut off has its own collector and ledger, which counts the
//     hosts that report and fills the bucket with their share of the known hosts. The shares
//     of all parts add up to the limit.
//
//   - A ledger that begins takes the levels that collectors last heard of. Without any, as
//     after a kill of all, buckets begin with what flows in while daemons start, so that no
//     start grants a burst.
//
//   - A request that never reached a backend server is given back.
//
//   - A report that may be lost is sent again: a count that arrives twice makes the limit
//     stricter for a moment, one that is lost would make it laxer.
//
//   - A gate that admits more of a customer's requests than its part of the burst without a
//     verdict of the ledger reports at once and refuses until it is answered. So a flood gets
//     little before the ledger knows of it.
//
// The bound: in any time w all parts together admit at most rate*w + burst, and in addition
// what is asked within one delay of the reports after the customer's rate rises, as far as
// the bucket has not got it back by the end of w, and one request for each part of a fleet
// in parts. TestSimulatedFleetKeepsLimits has the figures.
//
// Units: rates are in requests a second, bursts, levels and counts in requests, shares from
// 0 to 1. A Gate, Collector or Ledger has no clock, socket or goroutine and is not safe for
// concurrent use; the daemon's task owns it.
package quota

// Limit is what a customer may ask of the whole fleet.
type Limit struct {
	// Rate is in requests a second, more than zero.
	Rate float64
	// Burst is how many requests may come at once beyond the rate.
	Burst float64
}

// Count is what was counted of one customer since the last report.
type Count struct {
	Customer string `json:"c"`
	// Requested are all requests, Admitted those that were let through, less those given back.
	Requested int `json:"a"`
	Admitted  int `json:"d"`
}

// Report is what one daemon or one data centre counted since its last report.
type Report struct {
	// From names the host that reports.
	From string `json:"from"`
	// Hosts is how many hosts' counts are in it.
	Hosts  int     `json:"hosts"`
	Counts []Count `json:"counts,omitempty"`
	// HadVerdict says that the reporter, or who reported to it, has heard a verdict before: not
	// all have just started.
	HadVerdict bool `json:"follows,omitempty"`
	// LastVerdict is the last verdict that the reporter got, for a ledger that begins.
	LastVerdict Verdict `json:"heard,omitzero"`
}

// Verdict tells how much of their customers' requests gates admit.
type Verdict struct {
	// Known is false if no ledger has given one yet.
	Known bool `json:"known,omitempty"`
	// LedgerHost names the ledger's host.
	LedgerHost string `json:"by,omitempty"`
	// Allowances are of the customers near their limit or beyond; those of all others are
	// admitted whole.
	Allowances []Allowance `json:"standings,omitempty"`
}

// Allowance is where one customer stands.
type Allowance struct {
	Customer string `json:"c"`
	// Share of its requests is admitted.
	Share float64 `json:"s"`
	// Level is what the bucket holds; below zero it owes.
	Level float64 `json:"l"`
}

// merge adds the counts to those by customer.
func merge(into map[string]Count, counts []Count) {
	for _, c := range counts {
		sum := into[c.Customer]
		into[c.Customer] = Count{Customer: c.Customer, Requested: sum.Requested + c.Requested, Admitted: sum.Admitted + c.Admitted}
	}
}

// drain returns the counts that say something and forgets them.
func drain(from map[string]Count) []Count {
	counts := make([]Count, 0, len(from))
	for _, c := range from {
		if c.Requested != 0 || c.Admitted != 0 {
			counts = append(counts, c)
		}
	}
	clear(from)
	return counts
}
