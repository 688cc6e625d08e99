// Package quota decides whether a customer's request is within the customer's limit, which
// applies to the whole fleet.
//
// No decision waits for another daemon. Each daemon counts the requests that its callers send
// and those that it admits (Gate), and reports the counts several times a second to a
// collector of its data centre (Collector), which adds up the reports and forwards the sum to
// one daemon of the fleet (Ledger). The ledger keeps a token bucket for each customer. While
// the bucket has room, gates admit every request. Otherwise the ledger sends the share of the
// customer's requests to admit, and each gate admits that share of its own requests. A
// customer far below its limit thus costs one line in a report, and no request waits for an
// answer.
//
// # Usage
//
//	gate := quota.NewGate("csepel-1")
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
//   - A request admitted before its count has arrived is still taken from the bucket, whose
//     level may become negative; the debt is repaid by admitting less. A count that is less
//     than a second late therefore shifts requests within a window, but adds none to it.
//
//   - A partition of the fleet has its own collector and ledger, which counts the hosts that
//     report and fills the bucket by their share of the known hosts. The shares of all
//     partitions add up to the limit.
//
//   - A new ledger adopts the levels that collectors last received. Without any, as after a
//     simultaneous restart of all daemons, buckets begin with the tokens that accrue while
//     daemons start, so that a restart does not grant a burst.
//
//   - A request that never reached a backend server is refunded.
//
//   - A report that may have been lost is sent again: a count that arrives twice makes the
//     limit stricter for a moment, whereas a lost one would make it laxer.
//
//   - A gate that has used up its share of a customer's burst without a verdict of the ledger
//     reports immediately and refuses requests until the report is answered. This bounds the
//     requests of a flood that are admitted before the ledger has counted it.
//
// The bound: in any time w all partitions together admit at most rate*w + burst, plus the
// requests that arrive within one reporting delay after the customer's rate rises, as far as
// the bucket has not recovered them by the end of w, plus one request for each partition
// (see TestSimulatedFleetKeepsLimits).
//
// Units: rates are in requests per second; bursts, levels and counts in requests; shares from
// 0 to 1. A Gate, Collector or Ledger has no clock, socket or goroutine and is not safe for
// concurrent use; the daemon's task owns it.
package quota

// Limit is the request limit of a customer for the whole fleet.
type Limit struct {
	// Rate is in requests per second and greater than zero.
	Rate float64
	// Burst is the number of requests allowed beyond the rate in a burst.
	Burst float64
}

// Count holds the number of requests of one customer since the last report.
type Count struct {
	Customer string `json:"c"`
	// Requested counts all requests, Admitted the admitted ones without those refunded.
	Requested int `json:"a"`
	Admitted  int `json:"d"`
}

// Report holds the counts of one daemon or one data centre since its last report.
type Report struct {
	// From is the name of the reporting host.
	From string `json:"from"`
	// Hosts is the number of hosts whose counts are included.
	Hosts  int     `json:"hosts"`
	Counts []Count `json:"counts,omitempty"`
	// HadVerdict means that the reporter, or a daemon that reported to it, has received a
	// verdict before, so that not all daemons have just started.
	HadVerdict bool `json:"follows,omitempty"`
	// LastVerdict is the last verdict that the reporter received, from which a new ledger
	// continues.
	LastVerdict Verdict `json:"heard,omitzero"`
}

// Verdict holds the shares of the customers' requests that gates admit.
type Verdict struct {
	// Known is false if there is no verdict of a ledger, or no recent one.
	Known bool `json:"known,omitempty"`
	// LedgerHost is the name of the ledger's host.
	LedgerHost string `json:"by,omitempty"`
	// Allowances holds the customers near or beyond their limit; all requests of other customers
	// are admitted.
	Allowances []Allowance `json:"standings,omitempty"`
}

// Allowance is what one customer is allowed until the next verdict.
type Allowance struct {
	Customer string `json:"c"`
	// Share is the share of its requests that is admitted.
	Share float64 `json:"s"`
	// Level is the level of the bucket; a negative level is a debt.
	Level float64 `json:"l"`
}

// merge adds the counts to the sums by customer.
func merge(into map[string]Count, counts []Count) {
	for _, c := range counts {
		sum := into[c.Customer]
		into[c.Customer] = Count{Customer: c.Customer, Requested: sum.Requested + c.Requested, Admitted: sum.Admitted + c.Admitted}
	}
}

// drain returns the non-zero counts and clears the map.
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
