package sidecar

import (
	"maps"
	"slices"
	"sync"
	"time"
)

// callerTTL is how long a host counts as a caller after a request.
const callerTTL = 10 * time.Second

// callers records the hosts whose ingresses send requests to this host's backend servers.
type callers struct {
	mu       sync.Mutex
	lastAt   map[string]time.Time
	prunedAt time.Time
}

func newCallers() *callers { return &callers{lastAt: make(map[string]time.Time)} }

// record records a request from the host.
func (c *callers) record(host string, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lastAt[host] = now
	if now.Sub(c.prunedAt) >= callerTTL {
		c.prune(now)
	}
}

// prune removes the hosts that no longer count as callers.
func (c *callers) prune(now time.Time) {
	c.prunedAt = now
	maps.DeleteFunc(c.lastAt, func(_ string, at time.Time) bool { return now.Sub(at) >= callerTTL })
}

// recent returns the hosts that count as callers, sorted by name.
func (c *callers) recent(now time.Time) []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.prune(now)
	return slices.Sorted(maps.Keys(c.lastAt))
}

// RecentCallers returns the hosts whose ingresses sent requests to this host's backend servers in
// the last few seconds, sorted by name.
func (s *Sidecar) RecentCallers() []string { return s.callers.recent(time.Now()) }
