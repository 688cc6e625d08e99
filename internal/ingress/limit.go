package ingress

import (
	"sync/atomic"
	"time"
)

// limitedFor is how long a service's retry limit counts as reached after a sidecar said so.
// Source: a few times the pause between two looks for a hedge, so that what depends on a retry
// being left does not count on one that was refused a moment ago.
const limitedFor = 250 * time.Millisecond

// retryLimit is what an ingress knows of a service's retry limit, which the sidecars keep.
type retryLimit struct{ reached atomic.Int64 } // when it was last, in Unix nanoseconds

// hit takes it that a retry was refused.
func (l *retryLimit) hit(now time.Time) { l.reached.Store(now.UnixNano()) }

// left says whether a retry is likely to be granted.
func (l *retryLimit) left(now time.Time) bool {
	return now.UnixNano()-l.reached.Load() >= int64(limitedFor)
}
