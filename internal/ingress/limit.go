package ingress

import (
	"context"
	"time"

	"github.com/tideliftd/tidelift/internal/retry"
)

// retryGrant tells who answers for a retry that was taken.
type retryGrant string

const (
	// grantNone means that none was taken.
	grantNone retryGrant = ""
	// grantOwn means that this host does, so that it must be ended.
	grantOwn retryGrant = "own"
	// grantBorrowed means that another host does, which has lent it.
	grantBorrowed retryGrant = "lent"
)

// retryLimit is a service's retry limit, as far as this host answers for it.
type retryLimit struct {
	budgets *retry.Budgets
	service string
	borrow  func(ctx context.Context, service string) bool // nil if no other host is asked
}

// likelyLeft reports whether a retry is likely to be had now. Every request asks it, and whether others may
// be asked is the cheaper question of the two by far.
func (l *retryLimit) likelyLeft(now time.Time) bool {
	return l.budgets.MayBorrow(now, l.service) || l.budgets.Available(now, l.service)
}

// takeOwn takes a retry of this host, and reports whether there was one.
func (l *retryLimit) takeOwn() bool { return l.budgets.Take(time.Now(), l.service) }

// takeAny takes a retry of this host, or else of another if that has one to spare.
func (l *retryLimit) takeAny(ctx context.Context) retryGrant {
	switch {
	case l.takeOwn():
		return grantOwn
	case l.borrow != nil && l.borrow(ctx, l.service):
		return grantBorrowed
	default:
		return grantNone
	}
}

// giveBack gives a retry back that was taken and not used.
func (l *retryLimit) giveBack(r retryGrant) { l.end(r, false) }

// end ends the retry of an attempt, which counts if that reached a backend server, or may have.
func (l *retryLimit) end(r retryGrant, reached bool) {
	if r == grantOwn {
		l.budgets.End(time.Now(), l.service, reached)
	}
}
