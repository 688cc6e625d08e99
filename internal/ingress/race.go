package ingress

import (
	"context"
	"net/http"
	"slices"
	"time"

	"github.com/tideliftd/tidelift/internal/attempts"
)

// race is an attempt of a request and, once that is slow, hedges of it at other backend servers.
// The first whole answer wins and the rest is cancelled. The slow attempt goes on meanwhile, since
// its answer may be the first. When a hedge is sent, and where, is decided in attempts.Hedging.
//
// One goroutine owns the race; each attempt runs in its own and sends its outcome.
type race struct {
	in       *Ingress
	request  *request
	progress *progress
	running  []*attempt
	hedging  attempts.Hedging
	failed   *outcome // the last that failed, which is not in the progress yet
	done     chan outcome
}

// outcome is what became of an attempt.
type outcome struct {
	attempt      *attempt
	response     *http.Response
	err          error
	hedgeRefused bool // it is a hedge for which no slot was found
}

// isAnswer reports whether the attempt has an answer that is passed on.
func (o outcome) isAnswer() bool {
	return o.err == nil && !o.attempt.request.terms.MayImprove(o.response)
}

// runRace runs the attempt and, where it is slow, hedges of it. It returns the one that
// has the answer, or the last that failed; the failures of the others are in the progress.
func (in *Ingress) runRace(ctx context.Context, first *attempt, p *progress) outcome {
	r := &race{
		in:       in,
		request:  first.request,
		progress: p,
		hedging:  attempts.NewHedging(first.request.terms, first.request.slowAfter(), &p.History),
		done:     make(chan outcome),
	}
	r.start(ctx, first)
	look := r.firstLook()
	defer look.Stop()
	for {
		select {
		case o := <-r.done:
			if end := r.handle(o); end != nil {
				return *end
			}
		case <-look.C:
			r.tryHedge(ctx)
			look.Reset(r.hedging.CheckInterval())
		}
	}
}

// firstLook returns the timer of the looks for a hedge. It never fires if none may be sent.
func (r *race) firstLook() *time.Timer {
	after, ok := r.hedging.FirstCheck()
	look := time.NewTimer(after)
	if !ok {
		look.Stop()
	}
	return look
}

// handle records the outcome of an attempt, and returns the one that ends the race; nil if it
// goes on.
func (r *race) handle(o outcome) *outcome {
	r.running = slices.DeleteFunc(r.running, func(a *attempt) bool { return a == o.attempt })
	if o.hedgeRefused {
		r.hedging.RecordRefused(o.attempt.Target)
		if len(r.running) == 0 {
			return r.failed // the attempt that it was to be a hedge of
		}
		return nil
	}
	r.recordFailed()
	if o.isAnswer() {
		r.cancelRest(o.attempt)
		return &o
	}
	if len(r.running) == 0 {
		return &o
	}
	r.failed = &o
	return nil
}

// recordFailed enters the last failure in the progress, once another attempt has ended after it.
func (r *race) recordFailed() {
	if r.failed == nil {
		return
	}
	o := *r.failed
	r.failed = nil
	failure := r.progress.record(o)
	r.in.logAttempt(r.request, o.attempt, r.progress, failure, true)
}

// start starts an attempt, which runs beside the race's own goroutine.
func (r *race) start(ctx context.Context, a *attempt) {
	ctx, a.cancel = context.WithCancelCause(ctx)
	a.startedAt = time.Now()
	r.running = append(r.running, a)
	r.hedging.RecordSent(a.Target)
	go func() { r.done <- a.finish(ctx) }()
}

// tryHedge sends a hedge if one may be sent now and this host has a retry for it.
func (r *race) tryHedge(ctx context.Context) {
	choice := r.hedging.Choose(time.Now(), &r.progress.History, r.runs())
	if choice.Target == nil || !r.request.service.limit.takeOwn() {
		return
	}
	r.start(ctx, &attempt{in: r.in, request: r.request, Choice: choice, grant: grantOwn, isHedge: true})
}

// runs returns what runs of the request.
func (r *race) runs() attempts.InFlight {
	running := attempts.InFlight{
		Count: len(r.running), LastStartedAt: r.running[len(r.running)-1].startedAt,
		BodyConsumed: r.request.body.Spent(), Stopping: r.in.settling.Load(),
	}
	if r.failed != nil {
		running.Failed = 1
	}
	return running
}

// cancelRest ends the attempts that the winner leaves over. Those that began before it
// are overdue, which is evidence.
func (r *race) cancelRest(winner *attempt) {
	for _, a := range r.running {
		if attempts.IsOvertaken(a.startedAt, winner.startedAt) {
			a.cancel(errOverdue)
			continue
		}
		a.cancel(nil)
	}
	go r.drain(len(r.running))
}

// drain waits for the attempts that were left over.
func (r *race) drain(count int) {
	for range count {
		o := <-r.done
		if o.response != nil {
			_ = o.response.Body.Close() // it is not needed, whether it is whole or not
		}
	}
}
