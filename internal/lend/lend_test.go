package lend_test

import (
	"context"
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

// TestBorrow asks hosts for a retry of which some lend, are away or are none to ask.
func TestBorrow(t *testing.T) {
	self := fleet.Host{Name: "csepel-1", DataCentre: "csepel"}
	near := fleet.Host{Name: "csepel-2", DataCentre: "csepel"}
	far := fleet.Host{Name: "obuda-1", DataCentre: "obuda"}
	tests := map[string]struct {
		hosts      []fleet.Host
		undeclared bool
		away       string
		lends      string // the host that lends
		want       bool
	}{
		"one of the data centre lends":    {hosts: []fleet.Host{near}, lends: near.Name, want: true},
		"one elsewhere lends":             {hosts: []fleet.Host{far}, lends: far.Name, want: true},
		"nobody lends":                    {hosts: []fleet.Host{near, far}},
		"this host is not asked":          {hosts: []fleet.Host{self}, lends: self.Name},
		"one that is away is not asked":   {hosts: []fleet.Host{near}, lends: near.Name, away: near.Name},
		"without a declaration nobody is": {hosts: []fleet.Host{near}, lends: near.Name, undeclared: true},
		"without an answer there is none": {hosts: []fleet.Host{near}, lends: "csepel-3"},
		"there is no host to ask":         {},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			lender := lend.New(lend.Config{
				Host:        self.Name,
				DataCentre:  self.DataCentre,
				Budgets:     retry.NewBudgets(retry.Config{StartedAt: time.Now(), Borrows: true}),
				Hosts:       func() ([]fleet.Host, bool) { return test.hosts, !test.undeclared },
				Unreachable: func(host string) bool { return host == test.away },
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

// TestBorrowAsksItsDataCentreFirst has hosts of both to ask, of which all lend.
func TestBorrowAsksItsDataCentreFirst(t *testing.T) {
	var asked []string
	lender := lend.New(lend.Config{
		Host:       "csepel-1",
		DataCentre: "csepel",
		Budgets:    retry.NewBudgets(retry.Config{StartedAt: time.Now(), Borrows: true}),
		Hosts: func() ([]fleet.Host, bool) {
			near := slices.Repeat([]fleet.Host{{Name: "csepel-2", DataCentre: "csepel"}}, 32)
			return append(near, fleet.Host{Name: "obuda-1", DataCentre: "obuda"}), true
		},
		Unreachable: func(string) bool { return false },
		Call: func(_ context.Context, host fleet.Host, _ control.Method, _, answer any) error {
			asked = append(asked, host.Name)
			answer.(*control.LendResponse).Granted = true
			return nil
		},
		Scope: tally.NoopScope,
	})
	if !lender.Borrow(context.Background(), "lookup") || len(asked) != 1 || asked[0] != "csepel-2" {
		t.Fatalf("asked %v", asked)
	}
}
