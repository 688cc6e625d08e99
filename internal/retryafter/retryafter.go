// Package retryafter determines the delay after which a refused request may be sent again.
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
//   - The customer exceeds its limit: when its bucket holds a request again (quota.Gate).
//   - A backend server's queue is full: when the requests that run and wait there now have been
//     served, estimated from the durations of recent requests (admission.Queue.RetryAfter).
//   - The daemon has no declaration, or is stopping: NotReady.
//   - No backend server of the service accepts requests: NoneAble.
//   - The daemon has no memory left for the request's body: BodyMemory.
//   - The daemon has no room left for the connection or the request: Crowded.
//   - The request is quarantined: never, so the answer has no Retry-After.
//   - Any other refusal that promises that the request was not run: Unspecified.
//
// An ingress passes a backend server over for as long as its sidecar's refusal says: Ejected,
// Probation, or a time set by the sidecar's suspicion.
//
// The package has no clock and no state.
package retryafter

import "time"

const (
	// NotReady is the delay after a refusal by a daemon that has no declaration or is stopping. It
	// is the minimum that Retry-After can express in whole seconds.
	NotReady = time.Second
	// NoneAble is the delay after a refusal because no backend server of the service can serve the
	// request. An ejected or crashed backend server takes seconds to return.
	NoneAble = time.Second
	// BodyMemory is the delay after a refusal for lack of memory for the request's body. Bodies are held
	// until their requests are answered, which takes up to a few seconds.
	BodyMemory = time.Second
	// Crowded is the delay after a refusal for lack of room for a connection or a request. What others hold is given up within
	// some seconds.
	Crowded = time.Second
	// Unspecified is the delay after a refusal without a more specific one.
	Unspecified = 250 * time.Millisecond
	// Probation is the time for which an ingress passes a backend server over while a probation
	// request runs there.
	Probation = 200 * time.Millisecond
	// maxEjected bounds the result of Ejected: the floor may call the backend server back at any
	// time, and it should then get requests soon.
	maxEjected = time.Second
)

// Ejected returns the time for which an ingress passes over a backend server that stays ejected for
// that long.
func Ejected(left time.Duration) time.Duration { return min(left, maxEjected) }
