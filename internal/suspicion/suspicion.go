// Package suspicion decides whether a backend server is trusted with requests that
// must not run twice.
//
// Package detect weighs evidence and takes seconds, since what it decides takes
// a backend server out of service. Suspicion takes nothing out of service: it puts
// a backend server last for a while, at the first sign of failing, so that
// requests go where one has just succeeded. An idempotent request now and then
// finds out whether it is well again, and one that nobody else takes is sent
// all the same.
//
// It also knows whether the backend server seems to hang: a request has run longer than
// nearly all others of its route do, and no later one has been answered well. Requests that
// must not run twice are best sent elsewhere then, long before the slow one ends.
//
// What begins and ends it is in suspicion.go, hanging in proof.go.
//
// A Suspicion is the aggregate of one backend server. It takes outcomes and the time;
// it has no clock, goroutine or socket. The sidecar's task owns it.
//
// # Usage
//
//	d := suspicion.New()
//	d.Bad(now, suspicion.Broken)
//	if d.Suspected() && d.MayProbe(now) { d.Probe(now) }
//	d.Good(now, began)
package suspicion

import "time"

const (
	// Broken is the weight of a connection that broke or an answer that was
	// spoilt: one is enough. Source: a backend server that is well breaks less
	// than one in a thousand.
	Broken = 1.0
	// Failed is the weight of an answer that says that the backend server failed.
	// Source: about one in eighty does at one that is well, so that two in a row
	// are chance once in six thousand.
	Failed = 0.5
	// usualFailing is the share of failed answers of the other backend servers up to
	// which one here has its whole weight, and commonFailing the share from which it has
	// none. Source: a backend server that is well fails about one answer in eighty; where
	// a called service fails for two requests in three and a third of the requests call
	// it, the share of all is a fifth.
	usualFailing  = 0.03
	commonFailing = 0.15
	// Overdue is the weight of a request that takes far longer than others.
	Overdue = 0.5

	// Slow is the weight of a good answer that took longer than its route's target, or
	// to a request that was overdue before. Source: at a backend server that is well
	// a few in a hundred take that long, three in a row hardly ever.
	Slow = 0.4

	// enough is the sum of weights from which a backend server is suspected.
	enough = 1.0
	// fade is what a good answer leaves of the sum.
	fade = 0.4
	// proofs is how many good answers in a row end the suspicion. Source: a backend
	// server that fails six in seven for nine seconds is probed some ten times;
	// with two in a row one such time in four ended the suspicion too early, with
	// three one in thirty.
	proofs = 3
	// survives is how long a probe has to run to outlive connections that break. Source:
	// one that a failing backend server breaks is broken within milliseconds; a reservation's
	// request comes a round trip after its slot was granted.
	survives = 40 * time.Millisecond
	// firstPause and longestPause bound the time between probes; each that fails
	// doubles it. Source: failing probes are retries, which are a fifth of the
	// requests at most; a server that is well again should not wait for seconds.
	firstPause   = 200 * time.Millisecond
	longestPause = time.Second
	// probeLasts is how long one probe keeps others from being sent.
	probeLasts = time.Second
	// riskAfter is how long a probe may be overdue before one that must not run
	// twice makes it. Source: a service of which all requests are such must get
	// its backend servers back; where some are idempotent one comes within it.
	riskAfter = 2 * time.Second
	// riskAgain is the same after a probe that went well.
	riskAgain = 500 * time.Millisecond
)

// FailedAmong is the weight of an answer that says that the backend server failed where
// that share of the others' answers says so too. What fails everywhere is a service that
// they all call, or the requests; suspecting them all would leave nobody to serve.
func FailedAmong(othersFailing float64) float64 {
	own := (commonFailing - othersFailing) / (commonFailing - usualFailing)
	return Failed * max(0, min(1, own))
}

// Suspicion is what is held against one backend server.
type Suspicion struct {
	sum       float64
	late      float64 // the part of the sum that is of outcomes that came late or not at all
	suspected bool
	good      int // good answers in a row while suspected
	pause     time.Duration
	next      time.Time // when the next probe may be sent
	broke     bool      // the last bad outcome was a broken connection
	probed    time.Time // when a probe began of which nothing is known yet
	// survived counts the probes that were counted before their answers came.
	survived int
	proof    proof
}

// New returns the suspicion of a backend server that nothing is held against.
func New() *Suspicion { return &Suspicion{} }

// BadLate takes a bad outcome that came late or not at all, of that weight, and says whether
// suspicion begins with it.
func (d *Suspicion) BadLate(now time.Time, weight float64) bool {
	d.late += weight
	return d.Bad(now, weight)
}

// MostlyLate says whether most of what is held against the backend server came late or not
// at all. An idempotent request loses little there, since a hedge of it is sent elsewhere
// before it is too late; where requests fail at once each costs a retry.
func (d *Suspicion) MostlyLate() bool { return 2*d.late > d.sum }

// Bad takes a bad outcome of that weight and says whether suspicion begins with it.
func (d *Suspicion) Bad(now time.Time, weight float64) bool {
	d.sum += weight
	d.broke = weight >= Broken
	d.probed = time.Time{}
	d.survived = 0
	if d.suspected {
		d.waitFor(now, min(2*d.pause, longestPause))
		return false
	}
	if d.sum < enough {
		return false
	}
	d.suspected = true
	d.waitFor(now, firstPause)
	return true
}

// waitFor puts the next probe off, after which proofs are counted anew.
func (d *Suspicion) waitFor(now time.Time, pause time.Duration) {
	d.good = 0
	d.pause = pause
	d.next = now.Add(pause)
}

// Good takes a good answer to a request that began then and says whether suspicion ends with
// it.
func (d *Suspicion) Good(now, began time.Time) bool {
	d.sum *= fade
	d.late *= fade
	d.proof.goodSince(began)
	if !d.suspected {
		return false
	}
	if d.survived > 0 {
		d.survived-- // it was counted when it had survived
		return false
	}
	return d.count(now)
}

// Survived counts a probe that has not been broken for long enough, if the last bad
// outcome was a broken connection, and says whether suspicion ends with it.
func (d *Suspicion) Survived(now time.Time) bool {
	if !d.suspected || !d.broke || d.probed.IsZero() || now.Sub(d.probed) < survives {
		return false
	}
	d.survived++
	return d.count(now)
}

// count counts a proof and says whether suspicion ends with it.
func (d *Suspicion) count(now time.Time) bool {
	d.probed = time.Time{}
	d.good++
	d.next = now
	if d.good < proofs {
		return false
	}
	d.suspected = false
	d.sum = 0
	d.late = 0
	return true
}

// Suspected says whether the backend server is suspected.
func (d *Suspicion) Suspected() bool { return d.suspected }

// GoodInARow returns how many proofs in a row there were since suspicion began.
func (d *Suspicion) GoodInARow() int { return d.good }

// MayProbe says whether an idempotent request may be sent to find out.
func (d *Suspicion) MayProbe(now time.Time) bool { return !now.Before(d.next) }

// MayRisk says whether no idempotent request has come for so long that any other
// may find out.
func (d *Suspicion) MayRisk(now time.Time) bool {
	after := riskAfter
	if d.good > 0 {
		after = riskAgain
	}
	return !now.Before(d.next.Add(after))
}

// Probe takes it that one is being sent.
func (d *Suspicion) Probe(now time.Time) {
	d.next = now.Add(probeLasts)
	d.probed = now
}

// AvoidedFor returns when to come back with a request.
func (d *Suspicion) AvoidedFor(now time.Time) time.Duration { return max(firstPause, d.next.Sub(now)) }
