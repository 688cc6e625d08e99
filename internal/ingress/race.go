package ingress

import (
	"context"
	"net/http"
	"slices"
	"time"

	"github.com/tideliftd/tidelift/internal/attempts"
)

// race is an attempt of a request and, once that is slow, hedges of it at other backend servers.
// The first complete answer wins and the other attempts are cancelled. The slow attempt continues
// in the meantime, since it may still answer first. attempts.Hedging decides when and where a hedge
// is sent.
//
// One goroutine owns the race; each attempt runs in its own goroutine and sends its outcome.
type race struct {
	in       *Ingress
	request  *request
	progress *progress
	running  []*attempt
	hedging  attempts.Hedging
	failed   *outcome // the last failure, not yet recorded in progress
	done     chan outcome
}

// outcome is the result of an attempt.
type outcome struct {
	attempt      *attempt
	response     *http.Response
	err          error
	hedgeRefused bool // a hedge that was not sent, as no slot was reserved for it
}

// isAnswer reports whether the attempt has an answer that is final for the caller.
func (o outcome) isAnswer() bool {
	return o.err == nil && !o.attempt.request.attemptRequest.MayImprove(o.response)
}

// runRace runs the attempt and, if it is slow, hedges of it. It returns the outcome with the
// answer, or else the last failure; the other failures are recorded in p.
func (in *Ingress) runRace(ctx context.Context, first *attempt, p *progress) outcome {
	r := &race{
		in:       in,
		request:  first.request,
		progress: p,
		hedging:  attempts.NewHedging(first.request.attemptRequest, first.request.slowAfter(), &p.History),
		done:     make(chan outcome),
	}
	r.start(ctx, first)
	hedgeTimer := r.newHedgeTimer()
	defer hedgeTimer.Stop()
	for {
		select {
		case o := <-r.done:
			if end := r.handle(o); end != nil {
				return *end
			}
		case <-hedgeTimer.C:
			r.tryHedge(ctx)
			hedgeTimer.Reset(r.hedging.CheckInterval())
		}
	}
}

// newHedgeTimer returns the timer for the next hedge. It never fires if the request may not be
// hedged.
func (r *race) newHedgeTimer() *time.Timer {
	after, ok := r.hedging.FirstCheck()
	timer := time.NewTimer(after)
	if !ok {
		timer.Stop()
	}
	return timer
}

// handle records the outcome of an attempt. It returns the outcome that ends the race, or nil if
// the race continues.
func (r *race) handle(o outcome) *outcome {
	r.running = slices.DeleteFunc(r.running, func(a *attempt) bool { return a == o.attempt })
	if o.hedgeRefused {
		r.hedging.RecordRefused(o.attempt.Target)
		if len(r.running) == 0 {
			return r.failed // the attempt that the hedge was for
		}
		return nil
	}
	r.recordFailed()
	if o.isAnswer() {
		r.cancelRemaining(o.attempt)
		return &o
	}
	if len(r.running) == 0 {
		return &o
	}
	r.failed = &o
	return nil
}

// recordFailed records the pending failure in the progress, once another attempt has ended after
// it.
func (r *race) recordFailed() {
	if r.failed == nil {
		return
	}
	o := *r.failed
	r.failed = nil
	failure := r.progress.record(o)
	r.in.logAttempt(r.request, o.attempt, r.progress, failure, true)
}

// start starts an attempt in its own goroutine.
func (r *race) start(ctx context.Context, a *attempt) {
	ctx, a.cancel = context.WithCancelCause(ctx)
	a.startedAt = time.Now()
	r.running = append(r.running, a)
	r.hedging.RecordSent(a.Target)
	go func() { r.done <- a.execute(ctx) }()
}

// tryHedge sends a hedge if one is due and this host has a retry left for it.
func (r *race) tryHedge(ctx context.Context) {
	choice := r.hedging.Choose(time.Now(), &r.progress.History, r.inFlight())
	if choice.Target == nil || !r.request.service.limit.takeOwn() {
		return
	}
	r.start(ctx, &attempt{in: r.in, request: r.request, Choice: choice, grant: grantOwn, isHedge: true})
}

// inFlight returns the state of the request's running attempts.
func (r *race) inFlight() attempts.InFlight {
	running := attempts.InFlight{
		Count: len(r.running), LastStartedAt: r.running[len(r.running)-1].startedAt,
		BodyConsumed: r.request.body.Consumed(), Stopping: r.in.isShuttingDown(),
	}
	if r.failed != nil {
		running.Failed = 1
	}
	return running
}

// cancelRemaining cancels the attempts that are still running. Those that began before the winner
// are overdue, which is evidence.
func (r *race) cancelRemaining(winner *attempt) {
	for _, a := range r.running {
		if attempts.IsOvertaken(a.startedAt, winner.startedAt) {
			a.cancel(errOverdue)
			continue
		}
		a.cancel(nil)
	}
	go r.drain(len(r.running))
}

// drain waits for the cancelled attempts and closes their answers.
func (r *race) drain(count int) {
	for range count {
		o := <-r.done
		if o.response != nil {
			_ = o.response.Body.Close() // the answer is discarded
		}
	}
}
