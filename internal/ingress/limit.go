package ingress

import (
	"context"
	"time"

	"github.com/tideliftd/tidelift/internal/retry"
)

// retryGrant says which host granted a retry.
type retryGrant string

const (
	// grantNone means that no retry was taken.
	grantNone retryGrant = ""
	// grantOwn means a retry from this host's budget; it must be ended.
	grantOwn retryGrant = "own"
	// grantBorrowed means a retry that another host lent and accounts for.
	grantBorrowed retryGrant = "lent"
)

// retryLimit is this host's share of a service's retry limit.
type retryLimit struct {
	budgets *retry.Budgets
	service string
	borrow  func(ctx context.Context, service string) bool // nil disables borrowing
}

// likelyAvailable reports whether a retry is likely to be available. It is called for every
// request, so the far cheaper check of borrowing comes first.
func (l *retryLimit) likelyAvailable(now time.Time) bool {
	return l.budgets.MayBorrow(now, l.service) || l.budgets.Available(now, l.service)
}

// takeOwn takes a retry from this host's budget, and reports whether one was left.
func (l *retryLimit) takeOwn() bool { return l.budgets.Take(time.Now(), l.service) }

// takeOrBorrow takes a retry from this host's budget, or else borrows one from another host and
// returns until when it may be made.
func (l *retryLimit) takeOrBorrow(ctx context.Context) (grant retryGrant, loanUntil time.Time) {
	if l.takeOwn() {
		return grantOwn, time.Time{}
	}
	asked := time.Now()
	if l.borrow != nil && l.borrow(ctx, l.service) {
		return grantBorrowed, asked.Add(l.budgets.LoanTTL(l.service))
	}
	return grantNone, time.Time{}
}

// release returns an unused retry.
func (l *retryLimit) release(r retryGrant) { l.end(r, false) }

// end ends the retry of an attempt. It counts against the budget if the attempt reached, or may
// have reached, a backend server.
func (l *retryLimit) end(r retryGrant, reached bool) {
	if r == grantOwn {
		l.budgets.End(time.Now(), l.service, reached)
	}
}
