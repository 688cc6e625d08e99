package ingress

import (
	"time"

	"github.com/tideliftd/tidelift/internal/retry"
)

// retryLimit is a service's retry limit, as far as this host answers for it.
type retryLimit struct {
	book    *retry.Book
	service string
}

// left says whether a repeat may be made now.
func (l *retryLimit) left(now time.Time) bool { return l.book.Left(now, l.service) }

// take takes a repeat, or says that none is left. It must be ended.
func (l *retryLimit) take() bool { return l.book.Take(time.Now(), l.service) }

// end takes it that an attempt that took a repeat has ended, and whether it reached a backend
// server, or may have.
func (l *retryLimit) end(reached bool) { l.book.End(time.Now(), l.service, reached) }
