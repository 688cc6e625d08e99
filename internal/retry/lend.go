package retry

import "time"

// borrowBackoff is the time for which no other host is queried for a retry of a service after none
// had one to lend. While many requests fail, a query for each would cost as much as the retries.
const borrowBackoff = 250 * time.Millisecond

// lent is a retry that another host borrowed and makes before the until time.
type lent struct {
	service string
	until   time.Time
}

// Lend takes a retry for another host, and reports whether one was left. The other host may make it
// within LoanTTL; it counts here as if it were made at the end of that time.
func (b *Budgets) Lend(now time.Time, service string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.endExpiredLoans(now)
	if !b.budget(service).Take(now) {
		return false
	}
	b.lent = append(b.lent, lent{service, now.Add(LoanTTL(b.limits[service].Window))})
	return true
}

// LoanTTL returns the time within which a borrowed retry of the service has to be made.
func (b *Budgets) LoanTTL(service string) time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	return LoanTTL(b.limits[service].Window)
}

// endExpiredLoans ends the loans whose retries can no longer be made. The caller holds mu.
func (b *Budgets) endExpiredLoans(now time.Time) {
	for len(b.lent) > 0 && now.After(b.lent[0].until) {
		b.budget(b.lent[0].service).End(now, true)
		b.lent = b.lent[1:]
	}
}

// RecordRefused records that no other host had a retry of the service to lend.
func (b *Budgets) RecordRefused(now time.Time, service string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.refusedAt[service] = now
}

// MayBorrow reports whether another host may be queried for a retry of the service.
func (b *Budgets) MayBorrow(now time.Time, service string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.mayBorrow(now, service)
}

// mayBorrow implements MayBorrow. The caller holds mu.
func (b *Budgets) mayBorrow(now time.Time, service string) bool {
	return b.config.Borrows && now.Sub(b.refusedAt[service]) >= borrowBackoff
}
