package retry

import "time"

// refusedFor is how long no other host is asked for a retry of a service after none had one to
// spare. Source: where many requests fail at once, asking for each would cost as much as the
// retries.
const refusedFor = 250 * time.Millisecond

// lent is a retry that another host makes, until then at the latest.
type lent struct {
	service string
	until   time.Time
}

// Lend takes a retry for another host, and reports whether there was one to spare. The other may make it
// within LentFor; it counts here as if it were made at the end of that time.
func (b *Budgets) Lend(now time.Time, service string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.endLent(now)
	if !b.budget(service).Take(now) {
		return false
	}
	b.lent = append(b.lent, lent{service, now.Add(LentFor(b.sizes[service].Window))})
	return true
}

// endLent ends the retries that were lent and must have been made. The caller holds mu.
func (b *Budgets) endLent(now time.Time) {
	for len(b.lent) > 0 && now.After(b.lent[0].until) {
		b.budget(b.lent[0].service).End(now, true)
		b.lent = b.lent[1:]
	}
}

// Refused records that no other host had a retry of the service to spare.
func (b *Budgets) Refused(now time.Time, service string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.refused[service] = now
}

// MayBorrow reports whether it is worth while to ask another host for a retry of the service.
func (b *Budgets) MayBorrow(now time.Time, service string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.mayBorrow(now, service)
}

// mayBorrow is MayBorrow. The caller holds mu.
func (b *Budgets) mayBorrow(now time.Time, service string) bool {
	return b.config.Borrows && now.Sub(b.refused[service]) >= refusedFor
}
