package ingress

import (
	"context"
	"time"

	"github.com/tideliftd/tidelift/internal/result"
)

// reserve asks another backend server for a slot for a request whose attempt is
// overdue at one that is suspect, and returns the choice that has it. Until then the
// attempt goes on: given up too early it would leave the request with nobody to run it.
// It says false if the one asked takes nothing now; the next look asks another.
//
// It runs beside the attempt and reads nothing that the attempt changes.
func (a *attempt) reserve(ctx context.Context) (choice, bool) {
	if !a.target.Suspect() || !a.request.service.budget.Spend(time.Now()) {
		return choice{}, false
	}
	next, ok := a.askOther(ctx)
	if !ok {
		a.giveBackRetry()
	}
	return next, ok
}

// giveBackUnused returns the retry of a move that is not made since the answer is here.
// The slot is free again when its ticket expires.
func (a *attempt) giveBackUnused() {
	if a.reserved != nil {
		a.giveBackRetry()
	}
}

// giveBackRetry returns the retry that was spent for a move that is not made.
func (a *attempt) giveBackRetry() { a.request.service.budget.GiveBack(time.Now()) }

// askOther asks another backend server for a slot, and takes a refusal as evidence.
func (a *attempt) askOther(ctx context.Context) (choice, bool) {
	next, ok := a.pickOther()
	if !ok {
		return choice{}, false
	}
	ticket, err := a.in.ticket(ctx, a.request, next)
	if err != nil {
		asked := &attempt{in: a.in, request: a.request, choice: next}
		asked.learn(result.From(err), 0)
		return choice{}, false
	}
	next.ticket = ticket
	return next, true
}

// pickOther chooses whom to ask for a slot: first those that have just shown that
// they are well, after a few looks any.
func (a *attempt) pickOther() (choice, bool) {
	a.reserveLooks++
	target, ok := a.request.service.pool.Pick(time.Now(), a.avoid)
	return choice{target: target, noWait: true, proven: a.reserveLooks <= maxUnproven}, ok
}
