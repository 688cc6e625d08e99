package ingress

import (
	"context"
	"time"

	"github.com/tideliftd/tidelift/internal/balance"
	"github.com/tideliftd/tidelift/internal/hop"
	"github.com/tideliftd/tidelift/internal/result"
)

// reserve asks another backend server for a slot for a request whose attempt is
// overdue, and returns the choice that has it. Until then the attempt goes on: given
// up too early it would leave the request with nobody to run it. It says false if the
// one asked takes nothing now; the next look asks another.
//
// It runs beside the attempt and reads nothing that the attempt changes.
func (a *attempt) reserve(ctx context.Context) (choice, bool) {
	budget := a.request.service.budget
	if !budget.Spend(time.Now()) {
		return choice{}, false
	}
	next, ok := a.pickOther()
	if !ok {
		budget.GiveBack(time.Now())
		return choice{}, false
	}
	ticket, err := a.in.ticket(ctx, a.request, next)
	if err != nil {
		budget.GiveBack(time.Now())
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
	a.reserves++
	target, ok := a.request.service.pool.Pick(time.Now(), a.avoid)
	return choice{target: target, noWait: true, proven: a.reserves <= maxUnproven}, ok
}

// ticket asks the target's sidecar to keep a slot for the request.
func (in *Ingress) ticket(ctx context.Context, r *request, c choice) (string, error) {
	call := in.call(r, c)
	if call.TimeLeft <= 0 {
		return "", result.New(result.DeadlineBeforeRun)
	}
	if address, remote := in.remote(c.target); remote {
		return in.askTicket(ctx, call, address)
	}
	return in.config.LocalTicket(ctx, call)
}

// remote returns the address of the target's daemon, and false if that is this one.
func (in *Ingress) remote(target *balance.Target) (string, bool) {
	host := target.Placement().Host
	return host.PeersFrom(in.config.DataCentre), host.Name != in.config.Host
}

// call says what is asked of the target's sidecar.
func (in *Ingress) call(r *request, c choice) hop.Call {
	return hop.Call{
		BackendServer: c.target.Name,
		TimeLeft:      time.Until(r.deadline),
		Aim:           time.Until(r.aim),
		Patience:      time.Until(r.patient),
		Target:        r.aim.Sub(r.began),
		Customer:      r.customer,
		Once:          r.once,
		Insist:        c.insist,
		NoWait:        c.noWait,
		Proven:        c.proven,
		Ticket:        c.ticket,
		Host:          in.config.Host,
		Origin:        in.config.Service,
		Priority:      r.priority,
		Reference:     c.target.Reference(),
	}
}
