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

// ReservationLife is how long a reservation is valid, by the sidecar's clock. A request whose
// outcome was reported as indeterminate starts no later than this after it was sent.
const ReservationLife = time.Second

// reservation is a slot held for a request that must not run more than once, until the request
// arrives. It is valid for one request and for a short time, so that a request that was delayed on
// its way, or in the buffer of a suspended process, is refused when it arrives.
type reservation struct {
	slot      *slot
	expiresAt time.Time
	expiry    *time.Timer
}

// reservations holds the reservations that were granted and not yet used.
type reservations struct {
	mu   sync.Mutex
	byID map[string]*reservation
}

func newReservations() *reservations { return &reservations{byID: make(map[string]*reservation)} }

// Reserve waits for a slot, holds it for the request for ReservationLife and returns the ID of the
// reservation.
func (s *Sidecar) Reserve(ctx context.Context, call hop.Call) (string, error) {
	slot, err := s.acquire(ctx, call)
	if err != nil {
		return "", err
	}
	id := uuid.NewString()
	held := &reservation{slot: slot, expiresAt: time.Now().Add(ReservationLife)}
	held.expiry = time.AfterFunc(ReservationLife, func() { s.reservations.expire(id) })
	s.reservations.mu.Lock()
	defer s.reservations.mu.Unlock()
	s.reservations.byID[id] = held
	return id, nil
}

// expire releases the slot of an unused reservation, if there is one with the ID.
func (r *reservations) expire(id string) {
	if held, ok := r.take(id); ok {
		held.slot.release()
	}
}

// take removes the reservation and returns it.
func (r *reservations) take(id string) (*reservation, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	held, ok := r.byID[id]
	delete(r.byID, id)
	return held, ok
}

// redeem returns the reserved slot if the reservation is valid for the call, and invalidates the
// reservation.
func (r *reservations) redeem(call hop.Call, now time.Time) (*slot, error) {
	held, ok := r.take(call.Reservation)
	if !ok {
		return nil, result.New(result.ReservationExpired)
	}
	held.expiry.Stop()
	if now.After(held.expiresAt) || held.slot.server.declared.Load().BackendServer.Name != call.BackendServer {
		held.slot.release()
		return nil, result.New(result.ReservationExpired)
	}
	return held.slot, nil
}

// serveReservation answers an ingress that requests a reservation.
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
