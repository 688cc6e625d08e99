package sidecar

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/google/uuid"

	"github.com/tideliftd/tidelift/internal/hop"
	"github.com/tideliftd/tidelift/internal/result"
)

// TicketLife is how long a ticket is good for, by the sidecar's clock.
const TicketLife = time.Second

// ticket is a slot kept for a request that must not run more than once, until
// the request itself arrives. It is good for one request and for a short time,
// so that a request that was held up on its way, or in the buffer of a process
// that stood still, is refused when it comes at last.
type ticket struct {
	server  *server
	slot    *slot
	waited  time.Duration
	expires time.Time
	lapse   *time.Timer
}

// tickets are those that were granted and not used yet.
type tickets struct {
	mu   sync.Mutex
	byID map[string]*ticket
}

func newTickets() *tickets { return &tickets{byID: make(map[string]*ticket)} }

// Ticket waits for a slot, keeps it for the request for TicketLife and returns the
// leave to run it.
func (s *Sidecar) Ticket(ctx context.Context, call hop.Call) (string, error) {
	server, slot, waited, err := s.acquire(ctx, call)
	if err != nil {
		return "", err
	}
	id := uuid.NewString()
	t := &ticket{server: server, slot: slot, waited: waited, expires: time.Now().Add(TicketLife)}
	t.lapse = time.AfterFunc(TicketLife, func() { s.tickets.drop(id) })
	s.tickets.mu.Lock()
	defer s.tickets.mu.Unlock()
	s.tickets.byID[id] = t
	return id, nil
}

// drop gives the slot of an unused ticket back.
func (x *tickets) drop(id string) {
	if t, ok := x.take(id); ok {
		t.slot.release()
	}
}

func (x *tickets) take(id string) (*ticket, bool) {
	x.mu.Lock()
	defer x.mu.Unlock()
	t, ok := x.byID[id]
	delete(x.byID, id)
	return t, ok
}

// redeem returns the ticket if it is good for the call. After that it is not
// good for any.
func (x *tickets) redeem(call hop.Call, now time.Time) (*ticket, error) {
	t, ok := x.take(call.Ticket)
	if !ok {
		return nil, result.New(result.TicketExpired)
	}
	t.lapse.Stop()
	if now.After(t.expires) || t.server.declared.Load().BackendServer.Name != call.BackendServer {
		t.slot.release()
		return nil, result.New(result.TicketExpired)
	}
	return t, nil
}

// serveTicket answers an ingress that asks for a ticket.
func (s *Sidecar) serveTicket(ctx context.Context, w http.ResponseWriter, call hop.Call) {
	id, err := s.Ticket(ctx, call)
	if err != nil {
		refused := result.From(err)
		s.refused.Inc(refused.Code)
		writeRefusal(w, refused)
		return
	}
	w.Header().Set(hop.HeaderTicket, id)
	w.WriteHeader(http.StatusNoContent)
}
