package ingress

import (
	"context"
	"net/http"
	"slices"
	"time"

	"github.com/tideliftd/tidelift/internal/attempts"
	"github.com/tideliftd/tidelift/internal/balance"
	"github.com/tideliftd/tidelift/internal/event"
	"github.com/tideliftd/tidelift/internal/experiment"
	"github.com/tideliftd/tidelift/internal/failures"
	"github.com/tideliftd/tidelift/internal/result"
)

const (
	// hedgeLooks is how often another backend server is looked for in the time after
	// which a request is slow, from then on.
	hedgeLooks = 4
	// shortestLook bounds that, so that looking costs little where answers take
	// milliseconds. Source: a few round trips between data centres.
	shortestLook = 10 * time.Millisecond
)

// round is an attempt of a request and, once that is slow and if the request may be
// retried, hedges of it at other backend servers. The first whole answer wins and the
// rest is cancelled. A hedge is sent only where a slot is kept for it; that of a call of a
// backend server waits for one, since such calls go first. The slow attempt goes on meanwhile,
// since its answer may be the first.
//
// One goroutine owns the round; each attempt runs in its own and tells what became of it.
type round struct {
	in        *Ingress
	request   *request
	progress  *progress
	running   []*attempt
	avoid     []*balance.Target // where a hedge is not sent
	failed    *finished         // the last that failed, which is not in the trace yet
	slowAfter time.Duration     // after which an attempt is slow; zero if none is
	refused   []*balance.Target // that had no slot or no retry for a hedge; asked again after all others
	asked     bool              // all have been asked once
	done      chan finished
}

// finished is what became of an attempt.
type finished struct {
	attempt  *attempt
	response *http.Response
	err      error
	unsent   bool // it is a hedge for which no slot was found
}

// isAnswer says whether the attempt has an answer that is passed on.
func (f finished) isAnswer() bool {
	return f.err == nil && !f.attempt.request.terms.MayImprove(f.response)
}

// runRound runs the attempt and, where it is slow, hedges of it. It returns the one that
// has the answer, or the last that failed; the failures of the others are in the trace.
func (in *Ingress) runRound(ctx context.Context, first *attempt, p *progress) finished {
	r := &round{
		in:        in,
		request:   first.request,
		progress:  p,
		avoid:     p.NotBusy(),
		slowAfter: first.request.slowAfter(),
		done:      make(chan finished),
	}
	r.start(ctx, first)
	look := r.firstLook()
	defer look.Stop()
	for {
		select {
		case f := <-r.done:
			if end := r.take(f); end != nil {
				return *end
			}
		case <-look.C:
			r.tryHedge(ctx)
			look.Reset(max(r.slowAfter/hedgeLooks, shortestLook))
		}
	}
}

// firstLook returns the timer of the looks for a hedge. It never fires if none may be sent.
func (r *round) firstLook() *time.Timer {
	look := time.NewTimer(r.slowAfter)
	if r.slowAfter == 0 || r.request.terms.NonIdempotent || r.in.config.Off.Has(experiment.Hedges) {
		look.Stop()
	}
	return look
}

// take takes what became of an attempt, and returns the one that ends the round; nil if it
// goes on.
func (r *round) take(f finished) *finished {
	r.running = slices.DeleteFunc(r.running, func(a *attempt) bool { return a == f.attempt })
	if f.unsent {
		r.avoid = slices.DeleteFunc(r.avoid, func(t *balance.Target) bool { return t == f.attempt.Target })
		r.refused = append(r.refused, f.attempt.Target)
		if len(r.running) == 0 {
			return r.failed // the attempt that it was to be a hedge of
		}
		return nil
	}
	r.noteFailed()
	if f.isAnswer() {
		r.cancelRest(f.attempt)
		return &f
	}
	if len(r.running) == 0 {
		return &f
	}
	r.failed = &f
	return nil
}

// noteFailed puts the last failure into the trace, once another attempt has ended after
// it.
func (r *round) noteFailed() {
	if r.failed == nil {
		return
	}
	f := *r.failed
	r.failed = nil
	failure := r.progress.record(f)
	r.in.logAttempt(r.request, f.attempt, r.progress, failure, true)
}

// start runs an attempt beside the round.
func (r *round) start(ctx context.Context, a *attempt) {
	ctx, a.cancel = context.WithCancelCause(ctx)
	a.startedAt = time.Now()
	r.running = append(r.running, a)
	r.avoid = append(r.avoid, a.Target)
	go func() { r.done <- a.finish(ctx) }()
}

// tryHedge sends a hedge if the attempt sent last is slow and another may be sent.
func (r *round) tryHedge(ctx context.Context) {
	if !r.mayHedge() {
		return
	}
	target, ok := r.pick(time.Now())
	if !ok || !r.request.service.limit.takeOwn() {
		return
	}
	r.start(ctx, &attempt{
		in:      r.in,
		request: r.request,
		hedge:   true,
		Choice:  attempts.Choice{Target: target, RefuseIfBusy: !r.request.terms.Subrequest, RefuseIfHanging: !r.asked},
		grant:   grantOwn,
	})
}

// pick chooses where a hedge may be sent: one that has not refused one yet, and once all have,
// any again, also one that seems to hang.
func (r *round) pick(now time.Time) (*balance.Target, bool) {
	pool := r.request.service.pool
	if target, ok := pool.Pick(now, slices.Concat(r.avoid, r.refused)); ok {
		return target, true
	}
	r.refused = nil
	r.asked = true
	return pool.Pick(now, r.avoid)
}

// mayHedge says whether the request may have another hedge now. In a planned stop none is
// sent, since others may not take it any more.
func (r *round) mayHedge() bool {
	if r.slowAfter == 0 || r.request.terms.NonIdempotent || r.in.settling.Load() || r.request.body.Spent() {
		return false
	}
	if r.sent() >= r.request.terms.MaxSent {
		return false
	}
	newest := r.running[len(r.running)-1]
	return time.Since(newest.startedAt) >= r.slowAfter
}

// sent counts the backend servers that the request has reached or may yet reach.
func (r *round) sent() int {
	sent := r.progress.Sent + len(r.running)
	if r.failed != nil {
		sent++
	}
	return sent
}

// cancelRest ends the attempts that the winner leaves over. Those that began before it
// are overdue, which is evidence.
func (r *round) cancelRest(winner *attempt) {
	for _, a := range r.running {
		if a.startedAt.Before(winner.startedAt) {
			a.cancel(errOverdue)
			continue
		}
		a.cancel(nil)
	}
	go r.drain(len(r.running))
}

// drain takes what becomes of the attempts that were left over.
func (r *round) drain(count int) {
	for range count {
		f := <-r.done
		if f.response != nil {
			_ = f.response.Body.Close() // it is not needed, whether it is whole or not
		}
	}
}

// finish runs the attempt. One that retries the request has taken a retry, which ends here.
func (a *attempt) finish(ctx context.Context) finished {
	f := a.runKept(ctx)
	reached := f.err == nil || failures.Of(result.From(f.err).Code).Reached
	if reached {
		a.request.reached.Store(true)
	}
	a.request.service.limit.end(a.grant, reached)
	return f
}

// runKept runs the attempt, a hedge only once a slot is kept for it.
func (a *attempt) runKept(ctx context.Context) finished {
	if a.hedge {
		if err := a.takeSlot(ctx); err != nil {
			return finished{attempt: a, err: err, unsent: true}
		}
	}
	response, err := a.run(ctx) //nolint:bodyclose // whoever takes it closes it
	return finished{attempt: a, response: response, err: err}
}

// takeSlot has the target keep a slot for the hedge, and takes a refusal as evidence.
func (a *attempt) takeSlot(ctx context.Context) error {
	reservation, err := a.reserve(ctx)
	if err != nil {
		a.learn(result.From(err), 0)
		return err
	}
	a.reservation = reservation
	event.Log(a.in.config.Logger, event.RequestHedged,
		"request", a.in.requestID(a.request.Request), "service", a.request.name, "backend_server", a.Target.Name,
		"after_ms", time.Since(a.request.terms.Began).Milliseconds())
	return nil
}
