// Package retryafter decides when whoever was refused may come back.
//
// # Usage
//
//	return result.New(result.NotReady).WithRetryAfter(retryafter.NotReady)
//	return result.New(result.Ejected).WithRetryAfter(retryafter.Ejected(timeLeft))
//
// # Rules
//
// The first that applies, for a caller:
//
//   - The customer is beyond its limit: once its bucket holds a request again
//     (quota.Gate).
//   - A backend server's queue is full: once what runs and waits there now has been
//     served, by the durations of recent requests (admission.Queue.RetryAfter).
//   - The daemon has no declaration, or stops: NotReady.
//   - No backend server of the service takes work: NoneAble.
//   - The request is quarantined: never, so the answer says nothing.
//   - Any other refusal that promises that the request was not run: Unspecified.
//
// An ingress that a sidecar refuses passes the backend server over for as long as the
// refusal says: Ejected, Probation, or by the sidecar's suspicion.
//
// It has no clock and no state.
package retryafter

import "time"

const (
	// NotReady is when to come back to a daemon that has no declaration or is stopping.
	// Not measured: the least that Retry-After in whole seconds can say; another daemon may
	// be asked meanwhile.
	NotReady = time.Second
	// NoneAble is when to come back to a service that no backend server can serve. Not
	// measured: a backend server that was ejected or has crashed is back in seconds at the
	// earliest (detect.Rules.EjectionTime).
	NoneAble = time.Second
	// Unspecified is when to come back after a refusal of which nothing better is known.
	// Source: a backend server that takes no work for a moment has a free slot after one
	// request, some hundreds of milliseconds.
	Unspecified = 250 * time.Millisecond
	// Probation is how long an ingress stays away while a probation request runs. Not
	// measured: a request takes some hundreds of milliseconds.
	Probation = 200 * time.Millisecond
	// longestEjected bounds what Ejected returns: the floor may call the backend server
	// back at any time, and it should then get work soon.
	longestEjected = time.Second
)

// Ejected returns how long an ingress stays away from a backend server that stays ejected
// for that long.
func Ejected(left time.Duration) time.Duration { return min(left, longestEjected) }
