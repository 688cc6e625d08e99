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

// ReservationLife is how long a reservation is good for, by the sidecar's clock. Not measured: the
// request follows its reservation by a round trip; one that was called indeterminate begins no later
// than this after it was sent.
const ReservationLife = time.Second

// reservation is a slot kept for a request that must not run more than once, until
// the request itself arrives. It is good for one request and for a short time,
// so that a request that was held up on its way, or in the buffer of a process
// that stood still, is refused when it comes at last.
type reservation struct {
	slot    *slot
	expires time.Time
	lapse   *time.Timer
}

// reservations are those that were granted and not used yet.
type reservations struct {
	mu   sync.Mutex
	byID map[string]*reservation
}

func newReservations() *reservations { return &reservations{byID: make(map[string]*reservation)} }

// Reserve waits for a slot, keeps it for the request for ReservationLife and returns the
// leave to run it.
func (s *Sidecar) Reserve(ctx context.Context, call hop.Call) (string, error) {
	slot, err := s.acquire(ctx, call)
	if err != nil {
		return "", err
	}
	id := uuid.NewString()
	kept := &reservation{slot: slot, expires: time.Now().Add(ReservationLife)}
	kept.lapse = time.AfterFunc(ReservationLife, func() { s.reservations.drop(id) })
	s.reservations.mu.Lock()
	defer s.reservations.mu.Unlock()
	s.reservations.byID[id] = kept
	return id, nil
}

// drop gives the slot of an unused reservation back.
func (r *reservations) drop(id string) {
	if kept, ok := r.take(id); ok {
		kept.slot.release()
	}
}

// take removes the reservation and returns it.
func (r *reservations) take(id string) (*reservation, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	kept, ok := r.byID[id]
	delete(r.byID, id)
	return kept, ok
}

// redeem returns the slot that was kept if the reservation is good for the call. After that
// it is not good for any.
func (r *reservations) redeem(call hop.Call, now time.Time) (*slot, error) {
	kept, ok := r.take(call.Reservation)
	if !ok {
		return nil, result.New(result.ReservationExpired)
	}
	kept.lapse.Stop()
	if now.After(kept.expires) || kept.slot.server.declared.Load().BackendServer.Name != call.BackendServer {
		kept.slot.release()
		return nil, result.New(result.ReservationExpired)
	}
	return kept.slot, nil
}

// serveReservation answers an ingress that asks for a reservation.
func (s *Sidecar) serveReservation(ctx context.Context, w http.ResponseWriter, call hop.Call) {
	id, err := s.Reserve(ctx, call)
	if err != nil {
		refused := result.From(err)
		s.refused.Inc(refused.Code)
		writeRefusal(w, refused)
		return
	}
	w.Header().Set(hop.HeaderReservation, id)
	w.WriteHeader(http.StatusNoContent)
}
