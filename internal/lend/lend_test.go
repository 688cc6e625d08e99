package lend_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"github.com/uber-go/tally/v4"

	"github.com/tideliftd/tidelift/internal/control"
	"github.com/tideliftd/tidelift/internal/fleet"
	"github.com/tideliftd/tidelift/internal/lend"
	"github.com/tideliftd/tidelift/internal/retry"
)

// TestBorrow guards against borrowing from hosts that cannot lend, and against failing to borrow
// from those that can.
func TestBorrow(t *testing.T) {
	self := fleet.Host{Name: "csepel-1", DataCentre: "csepel"}
	local := fleet.Host{Name: "csepel-2", DataCentre: "csepel"}
	remote := fleet.Host{Name: "obuda-1", DataCentre: "obuda"}
	tests := map[string]struct {
		hosts       []fleet.Host
		undeclared  bool
		unreachable string
		lends       string // name of the host that lends
		want        bool
	}{
		"a host of the data centre lends":          {hosts: []fleet.Host{local}, lends: local.Name, want: true},
		"a remote host lends":                      {hosts: []fleet.Host{remote}, lends: remote.Name, want: true},
		"no host lends":                            {hosts: []fleet.Host{local, remote}},
		"this host is not queried":                 {hosts: []fleet.Host{self}, lends: self.Name},
		"an unreachable host is not queried":       {hosts: []fleet.Host{local}, lends: local.Name, unreachable: local.Name},
		"no host is queried without a declaration": {hosts: []fleet.Host{local}, lends: local.Name, undeclared: true},
		"no retry without an answer":               {hosts: []fleet.Host{local}, lends: "csepel-3"},
		"no hosts":                                 {},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			lender := lend.New(lend.Config{
				Host:        self.Name,
				DataCentre:  self.DataCentre,
				Budgets:     retry.NewBudgets(retry.Config{StartedAt: time.Now(), Borrows: true}),
				Hosts:       func() ([]fleet.Host, bool) { return test.hosts, !test.undeclared },
				Unreachable: func(host string) bool { return host == test.unreachable },
				Call: func(_ context.Context, host fleet.Host, method control.Method, _, answer any) error {
					if method != control.MethodLend || host.Name == self.Name {
						t.Errorf("%s is called at %s", method, host.Name)
					}
					if host.Name != test.lends {
						return errors.New("no answer")
					}
					answer.(*control.LendResponse).Granted = true
					return nil
				},
				Scope: tally.NoopScope,
			})
			if got := lender.Borrow(context.Background(), "lookup"); got != test.want {
				t.Fatalf("borrowed: %t, want %t", got, test.want)
			}
		})
	}
}

// TestBorrowQueriesItsDataCentreFirst guards against a first query to another data centre when both
// could lend.
func TestBorrowQueriesItsDataCentreFirst(t *testing.T) {
	var queried []string
	lender := lend.New(lend.Config{
		Host:       "csepel-1",
		DataCentre: "csepel",
		Budgets:    retry.NewBudgets(retry.Config{StartedAt: time.Now(), Borrows: true}),
		Hosts: func() ([]fleet.Host, bool) {
			local := slices.Repeat([]fleet.Host{{Name: "csepel-2", DataCentre: "csepel"}}, 32)
			return append(local, fleet.Host{Name: "obuda-1", DataCentre: "obuda"}), true
		},
		Unreachable: func(string) bool { return false },
		Call: func(_ context.Context, host fleet.Host, _ control.Method, _, answer any) error {
			queried = append(queried, host.Name)
			answer.(*control.LendResponse).Granted = true
			return nil
		},
		Scope: tally.NoopScope,
	})
	if !lender.Borrow(context.Background(), "lookup") || len(queried) != 1 || queried[0] != "csepel-2" {
		t.Fatalf("queried %v", queried)
	}
}

// TestBorrowFindsOneOfFewLenders guards against a request that fails for want of a retry while most of a
// large fleet's retries are unused: each host's share is small, and often used up.
func TestBorrowFindsOneOfFewLenders(t *testing.T) {
	const hosts, borrowed = 200, 500
	all := make([]fleet.Host, 0, hosts)
	for n := range hosts {
		all = append(all, fleet.Host{Name: fmt.Sprintf("csepel-%d", n), DataCentre: "csepel"})
	}
	queries, found := 0, 0
	for range borrowed {
		lender := lend.New(lend.Config{
			Host: "csepel-0", DataCentre: "csepel",
			Budgets:     retry.NewBudgets(retry.Config{StartedAt: time.Now(), Borrows: true}),
			Hosts:       func() ([]fleet.Host, bool) { return all, true },
			Unreachable: func(string) bool { return false },
			Call: func(_ context.Context, _ fleet.Host, _ control.Method, _, answer any) error {
				queries++
				answer.(*control.LendResponse).Granted = rand.IntN(2) == 0 // half of the hosts have one
				return nil
			},
			Scope: tally.NoopScope,
		})
		if lender.Borrow(context.Background(), "lookup") {
			found++
		}
	}
	if found < borrowed*97/100 {
		t.Errorf("%d of %d requests borrowed a retry that half of the hosts would lend", found, borrowed)
	}
	if queries > 3*borrowed {
		t.Errorf("%d queries for %d retries", queries, borrowed)
	}
}
