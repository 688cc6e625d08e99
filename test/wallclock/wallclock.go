// Package wallclock makes the moments that a program has read before its host's wall clock stepped. A test
// cannot step the clock itself.
//
// # Usage
//
//	seen := wallclock.ReadBeforeStepBack(time.Now().Add(-time.Minute), time.Hour)
//	health.Seen(seen) // a minute ago by the monotonic clock, in 59 minutes by the wall clock
package wallclock

import (
	"fmt"
	"time"
	"unsafe"
)

// secondsShift is where the seconds begin in the first word of a time.Time that has a monotonic reading.
const secondsShift = 30

// ReadBeforeStepBack returns the moment t, which has a monotonic reading, as it was read before the wall clock
// went back by whole seconds. It panics if the standard library keeps times in another form.
func ReadBeforeStepBack(t time.Time, back time.Duration) time.Time {
	read := t
	wall := (*uint64)(unsafe.Pointer(&read)) // there is no other way to such a time; checked below
	*wall += uint64(back/time.Second) << secondsShift
	if read.Sub(t) != 0 || read.UnixNano()-t.UnixNano() != int64(back) {
		panic(fmt.Sprintf("%s is not %s with its wall clock %s on", read, t, back))
	}
	return read
}
