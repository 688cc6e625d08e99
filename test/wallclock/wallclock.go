// Package wallclock creates times as a program has read them before a step of its host's wall clock, since a
// test cannot step the clock itself.
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

// secondsShift is the offset in bits of the seconds in the first word of a time.Time with a monotonic reading.
const secondsShift = 30

// ReadBeforeStepBack returns the time t, which must have a monotonic reading, as read before the wall clock was
// stepped back by whole seconds. It panics if the internal format of time.Time has changed.
func ReadBeforeStepBack(t time.Time, back time.Duration) time.Time {
	read := t
	wall := (*uint64)(unsafe.Pointer(&read)) // no exported API creates such a time; the format is verified below
	*wall += uint64(back/time.Second) << secondsShift
	if read.Sub(t) != 0 || read.UnixNano()-t.UnixNano() != int64(back) {
		panic(fmt.Sprintf("time.Time has an unexpected format: got %s for %s with its wall clock %s ahead", read, t, back))
	}
	return read
}
