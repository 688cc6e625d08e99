package main

import (
	"maps"
	"slices"
	"time"

	"github.com/tideliftd/tidelift/internal/event"
	"github.com/tideliftd/tidelift/test/harness"
)

// The numbers of the events that the lab reads.
var (
	eventAvoided  = event.ServerAvoided.Number
	eventEjected  = event.ServerEjected.Number
	eventReturned = event.ServerReturned.Number

	eventStarted   = event.DaemonStarted.Number
	eventFloorHeld = event.FloorHeld.Number
)

const (
	// quietIntervals is how many usual intervals without work show that a
	// backend server has lost its traffic.
	quietIntervals = 10
	// quietLeast is the least such time.
	quietLeast = 500 * time.Millisecond
)

// detection returns how long after the fault the sick backend server got its
// last work before it lost its traffic, in milliseconds, and how much work it
// got in all after the fault.
func (g grayCase) detection(x *grayFleet, streams ...string) (millis int64, work int, err error) {
	if !g.sick {
		return 0, 0, nil
	}
	sick := x.fleet.Backends[sickServer]
	var starts []time.Time
	if g.name == "one-way-back" {
		// Nothing arrives any more, so what was sent is read from what callers
		// had to wait for.
		starts = sentTo(x, streams)
	} else {
		ledger, err := sick.Ledger()
		if err != nil {
			return 0, 0, err
		}
		for _, stream := range streams {
			for _, micros := range ledger.Starts[stream] {
				starts = append(starts, time.UnixMicro(micros))
			}
		}
	}
	slices.SortFunc(starts, func(a, b time.Time) int { return a.Compare(b) })
	before, after := splitAt(starts, x.faultAt)
	if len(before) == 0 {
		return neverMs, len(after), nil
	}
	usual := grayWarm / time.Duration(len(before))
	quiet := max(quietLeast, quietIntervals*usual)
	end := x.faultAt.Add(g.after)
	last := x.faultAt
	for _, start := range append(after, end) {
		if start.Sub(last) >= quiet {
			return last.Sub(x.faultAt).Milliseconds(), len(after), nil
		}
		last = start
	}
	return neverMs, len(after), nil
}

// sentTo returns when requests were due that took much longer than usual.
func sentTo(x *grayFleet, streams []string) []time.Time {
	var times []time.Time
	sick := x.fleet.Backends[sickServer].Name
	for _, stream := range streams {
		for _, s := range x.samples[stream] {
			late := s.at.After(x.faultAt) && s.took > quietLeast/2
			if s.server == sick || late {
				times = append(times, s.at)
			}
		}
	}
	return times
}

func splitAt(times []time.Time, at time.Time) (before, after []time.Time) {
	for i, t := range times {
		if t.After(at) {
			return times[:i], times[i:]
		}
	}
	return times, nil
}

// leastServing returns the fewest backend servers that were not ejected at
// any moment, over the whole fleet, from the sidecars' own logs.
func leastServing(events []harness.Logged, servers int) int {
	slices.SortStableFunc(events, func(a, b harness.Logged) int { return a.Time.Compare(b.Time) })
	ejected := make(map[string]string) // by backend server: the daemon
	least := servers
	for _, e := range events {
		if e.Event == eventStarted {
			maps.DeleteFunc(ejected, func(_, daemon string) bool { return daemon == e.Daemon })
		}
		if e.Observer != "" {
			continue // an ingress avoids, which ejects nobody
		}
		switch e.Event {
		case eventEjected:
			ejected[e.BackendServer] = e.Daemon
		case eventReturned:
			delete(ejected, e.BackendServer)
		}
		least = min(least, servers-len(ejected))
	}
	return least
}

// decides says whether the event takes a backend server's traffic away.
func decides(e harness.Logged) bool { return e.Event == eventEjected || e.Event == eventAvoided }

// codes counts the result codes.
func codes(samples []sample) map[int]int {
	counts := make(map[int]int)
	for _, s := range samples {
		if s.code != 0 {
			counts[s.code]++
		}
	}
	return counts
}

// countEvents returns how often the event was logged.
func countEvents(events []harness.Logged, number int) int {
	n := 0
	for _, e := range events {
		if e.Event == number {
			n++
		}
	}
	return n
}

// howBroken returns the errors of the connections that broke, each once.
func howBroken(samples []sample) []string {
	var errs []string
	for _, s := range samples {
		if s.outcome == outcomeBroken && !slices.Contains(errs, s.err) {
			errs = append(errs, s.err)
		}
	}
	return errs
}
