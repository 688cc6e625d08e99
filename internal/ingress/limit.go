package ingress

import (
	"context"
	"time"

	"github.com/tideliftd/tidelift/internal/retry"
)

// repeat says who answers for a repeat that was taken.
type repeat string

const (
	// repeatNone means that none was taken.
	repeatNone repeat = ""
	// repeatOwn means that this host does, so that it must be ended.
	repeatOwn repeat = "own"
	// repeatLent means that another host does, which has lent it.
	repeatLent repeat = "lent"
)

// retryLimit is a service's retry limit, as far as this host answers for it.
type retryLimit struct {
	book    *retry.Book
	service string
	borrow  func(ctx context.Context, service string) bool // nil if no other host is asked
}

// left says whether a repeat is likely to be had now. Every request asks it, and whether others may
// be asked is the cheaper question of the two by far.
func (l *retryLimit) left(now time.Time) bool {
	return l.book.MayBorrow(now, l.service) || l.book.Left(now, l.service)
}

// takeOwn takes a repeat of this host, or says that none is left.
func (l *retryLimit) takeOwn() bool { return l.book.Take(time.Now(), l.service) }

// takeAny takes a repeat of this host, or else of another if that has one to spare.
func (l *retryLimit) takeAny(ctx context.Context) repeat {
	switch {
	case l.takeOwn():
		return repeatOwn
	case l.borrow != nil && l.borrow(ctx, l.service):
		return repeatLent
	default:
		return repeatNone
	}
}

// giveBack gives a repeat back that was taken and not used.
func (l *retryLimit) giveBack(r repeat) { l.end(r, false) }

// end takes it that an attempt for which a repeat was taken has ended, and whether it reached a
// backend server, or may have.
func (l *retryLimit) end(r repeat, reached bool) {
	if r == repeatOwn {
		l.book.End(time.Now(), l.service, reached)
	}
}
